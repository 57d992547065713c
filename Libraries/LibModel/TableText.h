#pragma once

#include "Row.h"

#include <optional>
#include <string>
#include <vector>

namespace Model {

/// Parses the text form of a table: one INI section per row, one line per cell.
///
/// Returns std::nullopt, with the first mistake as the last reason, if the text does not have that
/// form. Does not check the cells. Thread safety: any thread.
std::optional<std::vector<Row>> rowsFromText(const std::string &text);

/// Returns \a rows in the form that rowsFromText() parses, sorted by key and without deleted rows,
/// so that equal tables have equal texts. Thread safety: any thread.
std::string toText(const std::vector<Row> &rows);

/// A cell that differs between two tables; a missing cell is empty.
struct CellChange
{
    RowKey row_;
    /// Empty if the whole row was added or removed.
    std::string column_;
    std::string before_;
    std::string after_;

    bool operator==(const CellChange &) const = default;
};

/// Returns the changes from \a before to \a after, sorted by key, removed rows first.
///
/// Thread safety: any thread.
std::vector<CellChange> changesBetween(const std::vector<Row> &before,
                                       const std::vector<Row> &after);

/// Returns for example "service gauging timeout_ms: '2000' -> '3000'". Thread safety: any thread.
std::string toText(const CellChange &change);

} // namespace Model
