#pragma once

#include "Row.h"

#include <string>
#include <string_view>
#include <vector>

namespace Model {

/// How the text of a cell is read.
enum class ColumnType { Integer, Number, YesNo, Time, Text, Address, Reference };

/// One column of the rows of one kind: what a cell may hold and what an empty cell means.
struct Column
{
    std::string_view name_;
    ColumnType type_;
    double minimum_ = 0;
    double maximum_ = 0;
    /// The value of a cell that is not given.
    std::string_view default_;
    bool required_ = false;
    /// For Reference: the kind of row that the cell names.
    RowKind references_ = RowKind::Region;
    std::string_view meaning_;
};

/// Returns the columns of rows of \a kind in the order in which they are shown.
///
/// Thread safety: any thread.
const std::vector<Column> &columnsOf(RowKind kind);

/// Returns what a cell of \a column may hold, as a sentence for operators. Thread safety: any
/// thread.
std::string allowedText(const Column &column);

/// Tells whether \a value is allowed in \a column, references aside. Thread safety: any thread.
bool isAllowed(const Column &column, const std::string &value);

/// Returns the cell of \a row in column \a name, or the column's default where it is not given.
///
/// Precondition: rows of that kind have the column. Thread safety: any thread.
std::string cellOrDefault(const Row &row, std::string_view name);

} // namespace Model
