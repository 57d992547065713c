#pragma once

#include "Store.h"

#include <map>
#include <optional>
#include <string>

namespace Platform {

/// The key prefix of all rows of the operators' table.
constexpr const char *tablePrefix = "table/";
constexpr const char *versionKey = "table/version";
constexpr const char *auditPrefix = "audit/";
constexpr const char *editPrefix = "edit/";

/// A local copy of the table's rows, updated from the store and from peers.
///
/// Thread safety: none.
struct TableMirror
{
    Model::TableVersion version_;
    std::map<Model::RowKey, Model::Row> rows_;
    std::map<std::pair<Model::ServiceId, Model::RegionId>, Model::ShiftStart> shiftStarts_;
    /// The store's revision up to which all changes have been read.
    Revision readRevision_;
    /// The revisions of the store's keys, for the conditions of an edit.
    std::map<std::string, Revision> revisions_;
};

/// Applies the result of readRows() for tablePrefix. Rows never revert to an older state.
///
/// Returns false, with PlatformBadAnswer or OldVersionRefused as the last reason and \a mirror
/// unchanged, if a row is invalid or the answer's version is lower than that of \a mirror.
/// Thread safety: none.
bool applyRows(TableMirror &mirror, const StoredRows &rows);

/// The changes to a table after a base version: the updates that a peer at that version is missing.
struct TableDelta
{
    Model::TableVersion base_;
    Model::TableVersion version_;
    std::vector<Model::Row> rows_;
    std::vector<Model::ShiftStart> shiftStarts_;
};

/// Returns the changes after \a base. Thread safety: none.
TableDelta deltaSince(const TableMirror &mirror, Model::TableVersion base);

/// Applies a delta from a peer. Returns false, with OldVersionRefused or SnapshotInvalid as the
/// last reason and \a mirror unchanged, unless its base is at most the version of \a mirror, its
/// version is newer and the resulting table is valid.
///
/// Thread safety: none.
bool applyDelta(TableMirror &mirror, const TableDelta &delta);

/// Builds the validated table. Errors as for Model::Table::build(). Thread safety: none.
std::optional<Model::Table> buildTable(const TableMirror &mirror);

/// Return the store's keys and values of a row and of the start of a shift.
///
/// Thread safety: any thread.
std::string storeKey(const Model::RowKey &row);
std::string storeKey(const Model::ShiftStart &start);
std::string storeValue(const Model::Row &row);
std::string storeValue(const Model::ShiftStart &start);

} // namespace Platform
