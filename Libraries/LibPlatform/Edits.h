#pragma once

#include "TableMirror.h"

#include <LibObserve/LibObserve.h>

#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// What an operator wants of one row.
struct RowEdit
{
    Model::RowKey row_;
    /// Cells to set; nothing takes the cell out, so that its default holds.
    std::map<std::string, std::optional<std::string>> cells_;
    bool removesRow_ = false;
};

/// One edit: all of its rows change together or none does.
struct Edit
{
    /// Chosen once for an edit and kept when it is repeated: settles a lost confirmation.
    Model::EditId id_;
    std::string operator_;
    Model::WallTime at_;
    std::vector<RowEdit> rows_;
    /// The version that the operator looked at. A row of the edit that changed since is a conflict.
    std::optional<Model::TableVersion> base_;
};

/// Returns the rows of \a mirror as they would be after \a edit.
///
/// Returns nothing with UnknownRow as the last reason if a row to be removed is not there.
/// Thread safety: none.
std::optional<std::vector<Model::Row>> rowsAfter(const TableMirror &mirror, const Edit &edit);

/// Commits \a edit with its audit record and the starts of the shifts that it causes, in one
/// transaction, and returns the new version.
///
/// An edit whose id was accepted before is not applied again; its version is returned. Returns
/// nothing, and nothing was applied, with the code of the first wrong cell, EditConflict or an
/// error of the platform; only EditOutcomeUnknown leaves it open, and then the same edit may be
/// repeated. Thread safety: as Store.
Http::Task<std::optional<Model::TableVersion>> commitEdit(Store &store, const Edit &edit);

/// Reads the whole table from the store. Errors as for readRows(). Thread safety: as Store.
Http::Task<std::optional<TableMirror>> readTable(Store &store);

/// Returns all audit records, oldest first. Errors as for readRows(). Thread safety: as Store.
Http::Task<std::optional<std::vector<Observe::AuditRecord>>> readHistory(Store &store);

} // namespace Platform
