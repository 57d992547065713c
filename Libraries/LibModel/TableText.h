#pragma once

#include "Row.h"

#include <optional>
#include <string>
#include <vector>

namespace Model {

/// Reads the text form of a table: one INI section for a row, one line for a cell.
///
/// Returns nothing, with the first mistake as the last reason, if the text is not of that form; the
/// cells are not checked yet. Thread safety: any thread.
std::optional<std::vector<Row>> rowsFromText(const std::string &text);

/// Returns \a rows in the form that rowsFromText() reads, in the order of their keys, deleted rows
/// left out: equal tables have equal texts, so the text diffs well. Thread safety: any thread.
std::string toText(const std::vector<Row> &rows);

/// One cell that differs between two tables; a missing cell is empty.
struct CellChange
{
    RowKey row_;
    /// Empty where the whole row was added or removed.
    std::string column_;
    std::string before_;
    std::string after_;

    bool operator==(const CellChange &) const = default;
};

/// Returns what changes from \a before to \a after, in the order of the keys.
///
/// Thread safety: any thread.
std::vector<CellChange> changesBetween(const std::vector<Row> &before,
                                       const std::vector<Row> &after);

/// Returns "service gauging timeout_ms: 2000 -> 3000" and the like. Thread safety: any thread.
std::string toText(const CellChange &change);

} // namespace Model
