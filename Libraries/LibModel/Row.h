#pragma once

#include "ResultCode.h"
#include "Units.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Model {

/// What a row of the operators' table is about.
enum class RowKind { Region, Domain, Service, Class, Target, Route, Limits };

/// Names one row, for example "service gauging".
struct RowKey
{
    RowKind kind_ = RowKind::Region;
    std::string name_;

    auto operator<=>(const RowKey &) const = default;
};

/// A row as operators see it: the text of its cells by column.
struct Row
{
    RowKey key_;
    std::map<std::string, std::string> cells_;
    /// The version of the table in which the row changed last; orders deltas between peers.
    TableVersion changedAt_;
    /// A deleted row is kept as a mark, so that a peer that still has it learns of the deletion.
    bool deleted_ = false;

    bool operator==(const Row &) const = default;
};

/// Returns "region", "domain", "service", "class", "target", "route" or "limits". Thread safety:
/// any thread.
std::string toText(RowKind kind);
/// Returns "service gauging" and the like. Thread safety: any thread.
std::string toText(const RowKey &key);
/// Reads what toText() wrote; UnknownRowKind or MalformedText as the last reason otherwise.
///
/// Thread safety: any thread.
std::optional<RowKey> rowKeyFromText(const std::string &text);

/// What is wrong with one cell, in the words that an operator needs to mend it.
struct CellError
{
    ResultCode code_ = ResultCode::BadValue;
    RowKey row_;
    std::string column_;
    std::string value_;
    std::string allowed_;
};

/// Returns "[404] row 'service gauging', column 'timeout_ms', value 'x': allowed ...".
///
/// Thread safety: any thread.
std::string toText(const CellError &error);

} // namespace Model
