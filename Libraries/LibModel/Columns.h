#pragma once

#include "Row.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Model {

/// How the text of a cell is parsed.
enum class ColumnType { Integer, OptionalInteger, Number, YesNo, Time, Text, Address, Reference };

/// A column of the rows of one kind: the allowed values of a cell and its default.
struct Column
{
    std::string_view name_;
    ColumnType type_;
    /// For numbers, the range; for Text, the maximum length, where it is not the usual one.
    double minimum_ = 0;
    double maximum_ = 0;
    /// The value of a missing cell.
    std::string_view default_;
    bool required_ = false;
    /// For Reference: the kind of the row that the cell names.
    RowKind references_ = RowKind::Region;
    std::string_view meaning_;
};

/// Returns the columns of rows of \a kind in display order.
///
/// Thread safety: any thread.
const std::vector<Column> &columnsOf(RowKind kind);

/// Returns a description of the allowed values of \a column, for operators. Thread safety: any
/// thread.
std::string allowedText(const Column &column);

/// Returns whether \a value is allowed in \a column. Does not check references. Thread safety: any
/// thread.
bool isAllowed(const Column &column, const std::string &value);

/// Returns the allowed number that is nearest to \a value, or std::nullopt if \a value is no number
/// or \a column holds none. Thread safety: any thread.
std::optional<std::string> nearestAllowed(const Column &column, const std::string &value);

/// Returns the cell of \a row in column \a name, or the column's default if it is missing.
///
/// Precondition: rows of this kind have the column. Thread safety: any thread.
std::string cellOrDefault(const Row &row, std::string_view name);

} // namespace Model
