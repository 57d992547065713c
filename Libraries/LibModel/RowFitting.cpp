#include "RowFitting.h"

#include "Columns.h"
#include "Route.h"
#include "TextList.h"

#include <algorithm>
#include <set>

namespace Model {

namespace {

void fitNumbers(Row &row, std::vector<CellError> &changes)
{
    for (const auto &column : columnsOf(row.key_.kind_)) {
        const auto cell = row.cells_.find(std::string(column.name_));
        if (cell == row.cells_.end() || isAllowed(column, cell->second))
            continue;
        const auto nearest = nearestAllowed(column, cell->second);
        if (!nearest)
            continue;
        changes.push_back({ResultCode::BadValue, row.key_, cell->first, cell->second,
                           allowedText(column) + "; used: " + *nearest});
        cell->second = *nearest;
    }
}

/// Renames a second route of the same name, which may have another prefix; drops a second row of
/// any other kind.
void fitNames(std::vector<Row> &rows, std::vector<CellError> &changes)
{
    std::set<RowKey> keys;
    std::vector<Row> kept;
    kept.reserve(rows.size());
    for (auto &row : rows) {
        const RowKey key = row.key_;
        if (keys.contains(key)) {
            changes.push_back({ResultCode::DuplicateRow, key, "", "", "each row once"});
            if (key.kind_ == RowKind::Route)
                row.key_.name_ += ":" + cellOrDefault(row, "prefix");
        }
        if (keys.insert(row.key_).second)
            kept.push_back(std::move(row));
    }
    rows = std::move(kept);
}

void fitKeys(std::vector<Row> &rows, std::vector<CellError> &changes)
{
    constexpr const char *column = "key_digests";
    std::set<std::string> seen;
    for (auto &row : rows) {
        if (row.key_.kind_ != RowKind::Workspace)
            continue;
        std::string kept;
        bool hasRepeated = false;
        for (const auto &digest : listFromText(cellOrDefault(row, column))) {
            if (seen.insert(digest).second) {
                kept += (kept.empty() ? "" : ",") + digest;
            } else {
                hasRepeated = true;
            }
        }
        if (!hasRepeated)
            continue;
        changes.push_back({ResultCode::BadValue, row.key_, column, "", "a key of one workspace"});
        row.cells_[column] = kept;
    }
}

/// Returns the rows that \a row names in its cells.
std::vector<RowKey> referencesOf(const Row &row)
{
    std::vector<RowKey> references;
    if (row.key_.kind_ == RowKind::Route || row.key_.kind_ == RowKind::Workspace) {
        for (const auto &region : listFromText(cellOrDefault(row, "home_regions")))
            references.push_back({RowKind::Region, region});
    }
    if (row.key_.kind_ == RowKind::Route) {
        const auto splits = weightedSplitsFromText(cellOrDefault(row, "services"));
        for (const auto &split : splits.value_or(std::vector<WeightedSplit>()))
            references.push_back({RowKind::Service, split.service_.value()});
    }
    return references;
}

void addMissingRows(std::vector<Row> &rows, std::vector<CellError> &changes)
{
    std::set<RowKey> keys;
    for (const auto &row : rows)
        keys.insert(row.key_);
    std::vector<Row> missing;
    for (const auto &row : rows) {
        for (const auto &key : referencesOf(row)) {
            if (!keys.insert(key).second)
                continue;
            changes.push_back({ResultCode::DanglingReference, row.key_, "", toText(key),
                               "the name of a row; used with its defaults"});
            missing.push_back({key, {}, {}, false});
        }
    }
    rows.insert(rows.end(), std::make_move_iterator(missing.begin()),
                std::make_move_iterator(missing.end()));
}

} // namespace

std::vector<CellError> fitToTable(std::vector<Row> &rows)
{
    std::vector<CellError> changes;
    for (auto &row : rows)
        fitNumbers(row, changes);
    fitNames(rows, changes);
    fitKeys(rows, changes);
    addMissingRows(rows, changes);
    return changes;
}

} // namespace Model
