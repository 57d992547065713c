#pragma once

#include "ResultCode.h"
#include "Units.h"

#include <compare>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Model {

/// The kind of a row in the operators' table.
enum class RowKind { Region, Domain, Service, Class, Target, Route, Limits, Workspace };

/// Identifies a row, for example "service gauging".
struct RowKey
{
    RowKind kind_ = RowKind::Region;
    std::string name_;

    auto operator<=>(const RowKey &) const = default;
};

/// A row as operators see it: the texts of its cells by column.
struct Row
{
    RowKey key_;
    std::map<std::string, std::string> cells_;
    /// The version of the table in which the row last changed; orders deltas between peers.
    TableVersion changedAt_;
    /// The row is deleted; it is kept so that a peer that still has it deletes it too.
    bool deleted_ = false;

    bool operator==(const Row &) const = default;
};

/// Returns "region", "domain", "service", "class", "target", "route", "limits" or "workspace".
/// Thread safety: any thread.
std::string toText(RowKind kind);
/// Returns for example "service gauging". Thread safety: any thread.
std::string toText(const RowKey &key);
/// Parses the form that toText() returns. Returns std::nullopt, with UnknownRowKind or
/// MalformedText as the last reason, for any other text.
///
/// Thread safety: any thread.
std::optional<RowKey> rowKeyFromText(const std::string &text);

/// An error in a cell, with what an operator needs to correct it.
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
