#pragma once

#include "TableMirror.h"

#include <LibObserve/LibObserve.h>

#include <optional>
#include <string>
#include <vector>

namespace Platform {

/// A change to one row that an operator requests.
struct RowEdit
{
    Model::RowKey row_;
    /// Cells to set; std::nullopt removes the cell, so that its default applies.
    std::map<std::string, std::optional<std::string>> cells_;
    bool removesRow_ = false;
};

/// An edit, applied atomically: all of its rows change or none does.
struct Edit
{
    /// Chosen once per edit and kept when it is retried; identifies it after a lost confirmation.
    Model::EditId id_;
    std::string operator_;
    Model::WallTime at_;
    std::vector<RowEdit> rows_;
    /// The version that the operator saw. A row of the edit that changed since then is a conflict.
    std::optional<Model::TableVersion> base_;
};

/// Returns the rows of \a mirror with \a edit applied.
///
/// Returns std::nullopt with UnknownRow as the last reason if a row to be removed does not exist.
/// Thread safety: none.
std::optional<std::vector<Model::Row>> rowsAfter(const TableMirror &mirror, const Edit &edit);

/// Commits \a edit, its audit record and the starts of the shifts that it causes in one
/// transaction, and returns the new version.
///
/// An edit whose id was accepted before is not applied again; its version is returned. Returns
/// std::nullopt with the code of the first invalid cell, EditConflict or an error of the platform
/// if nothing was applied. After EditOutcomeUnknown the edit may or may not have been applied, and
/// the same edit may be retried. Thread safety: as Store.
Http::Task<std::optional<Model::TableVersion>> commitEdit(Store &store, const Edit &edit);

/// Reads the whole table from the store. Errors as for readRows(). Thread safety: as Store.
Http::Task<std::optional<TableMirror>> readTable(Store &store);

/// Returns all audit records, oldest first. Errors as for readRows(). Thread safety: as Store.
Http::Task<std::optional<std::vector<Observe::AuditRecord>>> readHistory(Store &store);

} // namespace Platform
