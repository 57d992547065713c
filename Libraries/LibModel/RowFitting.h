#pragma once

#include "Row.h"

#include <vector>

namespace Model {

/// Fits \a rows, which their writer has accepted under rules of its own, to those of Table: numbers
/// become the nearest allowed ones, a row that others refer to is added if it is missing, a second
/// route of the same name gets a name of its own, and a key of two workspaces stays with the first.
/// A row that cannot be used at all is left as it is. Returns what was changed.
///
/// Without it, one value beyond a column's range costs the whole table, and every other change with
/// it. Thread safety: any thread.
std::vector<CellError> fitToTable(std::vector<Row> &rows);

} // namespace Model
