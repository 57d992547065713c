#pragma once

#include "Store.h"

#include <map>
#include <optional>
#include <string>

namespace Platform {

/// Every row of the operators' table lives under this prefix.
constexpr const char *tablePrefix = "table/";
constexpr const char *versionKey = "table/version";
constexpr const char *auditPrefix = "audit/";
constexpr const char *editPrefix = "edit/";

/// The table's rows as they are known here, whoever told of them: the store or a peer.
///
/// Thread safety: none.
struct TableMirror
{
    Model::TableVersion version_;
    std::map<Model::RowKey, Model::Row> rows_;
    std::map<std::pair<Model::ServiceId, Model::RegionId>, Model::ShiftStart> shiftStarts_;
    /// The store's revision up to which everything has been read.
    Revision seen_;
    /// The revisions of the store's keys, for conditions of an edit.
    std::map<std::string, Revision> revisions_;
};

/// Takes in what readRows() returned for tablePrefix. Rows never go back to an older state.
///
/// Returns false, with PlatformBadAnswer or OldVersionRefused as the last reason and \a mirror
/// unchanged, if a row cannot be read or the answer's version is below the one held.
/// Thread safety: none.
bool takeIn(TableMirror &mirror, const StoredRows &rows);

/// What changed in a table after a version: what a peer that holds that version lacks.
struct TableDelta
{
    Model::TableVersion base_;
    Model::TableVersion version_;
    std::vector<Model::Row> rows_;
    std::vector<Model::ShiftStart> shiftStarts_;
};

/// Returns what changed after \a base. Thread safety: none.
TableDelta deltaSince(const TableMirror &mirror, Model::TableVersion base);

/// Takes in what a peer sent. Returns false, with OldVersionRefused or SnapshotInvalid as the last
/// reason and \a mirror unchanged, unless it leads from a version that is held to a newer one.
///
/// Thread safety: none.
bool takeIn(TableMirror &mirror, const TableDelta &delta);

/// Builds the checked table. Errors as for Model::Table::build(). Thread safety: none.
std::optional<Model::Table> buildTable(const TableMirror &mirror);

/// Returns the keys under which the store keeps a row and a shift's start, and their values.
///
/// Thread safety: any thread.
std::string storeKey(const Model::RowKey &row);
std::string storeKey(const Model::ShiftStart &start);
std::string storeValue(const Model::Row &row);
std::string storeValue(const Model::ShiftStart &start);

} // namespace Platform
