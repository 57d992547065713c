#include "Columns.h"

#include "Address.h"
#include "TimeText.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace Model {

namespace {

using enum ColumnType;

/// A route waits for a whole day at most.
constexpr double maxTimeoutMs = 86400000;
/// A cell is never longer than the row of the store that it comes from.
constexpr double maxRowBytes = 1048576;

const std::vector<Column> regionColumns = {
    {.name_ = "weight",
     .type_ = Number,
     .minimum_ = 0,
     .maximum_ = 1000,
     .default_ = "100",
     .meaning_ = "weight of the region for traffic that leaves another region; 0 is none"},
};

const std::vector<Column> domainColumns = {
    {.name_ = "region",
     .type_ = Reference,
     .required_ = true,
     .references_ = RowKind::Region,
     .meaning_ = "the region in which the failure domain lies"},
    {.name_ = "weight",
     .type_ = Number,
     .minimum_ = 0,
     .maximum_ = 1000,
     .default_ = "100",
     .meaning_ = "share of traffic for each slot, relative to other failure domains"},
    {.name_ = "drain_start", .type_ = Time, .meaning_ = "when traffic begins to leave"},
    {.name_ = "drain_end", .type_ = Time, .meaning_ = "when traffic begins to come back"},
};

const std::vector<Column> serviceColumns = {
    {.name_ = "timeout_ms",
     .type_ = Integer,
     .minimum_ = 1,
     .maximum_ = 600000,
     .default_ = "2000",
     .meaning_ = "deadline of a request whose caller names none"},
    {.name_ = "queue_ms",
     .type_ = Integer,
     .minimum_ = 0,
     .maximum_ = 60000,
     .default_ = "200",
     .meaning_ = "longest wait for a slot before the request is refused"},
    {.name_ = "shift_cap",
     .type_ = Number,
     .minimum_ = 0.01,
     .maximum_ = 100,
     .default_ = "5",
     .meaning_ = "percent of the traffic that may move between failure domains in a second"},
    {.name_ = "region_shift_cap",
     .type_ = Number,
     .minimum_ = 0.01,
     .maximum_ = 100,
     .default_ = "5",
     .meaning_ = "percent of the traffic that may move between regions in a second"},
    {.name_ = "idempotent",
     .type_ = YesNo,
     .default_ = "no",
     .meaning_ = "whether requests other than GET and HEAD may run more than once"},
    {.name_ = "use_limit",
     .type_ = Number,
     .minimum_ = 1,
     .maximum_ = 100,
     .default_ = "100",
     .meaning_ = "percent of the slots that may be in use"},
    {.name_ = "cold_rps",
     .type_ = Number,
     .minimum_ = 0,
     .maximum_ = 1000000,
     .default_ = "0",
     .meaning_ = "requests a second that a cold target can take from all entries; 0 is no limit"},
    {.name_ = "connections",
     .type_ = Integer,
     .minimum_ = 1,
     .maximum_ = 1000000,
     .default_ = "400",
     .meaning_ = "total connections of a target that registers itself"},
};

const std::vector<Column> routeColumns = {
    {.name_ = "host",
     .type_ = Text,
     .maximum_ = maxRowBytes,
     .required_ = true,
     .meaning_ = "the host that a request names"},
    {.name_ = "prefix",
     .type_ = Text,
     .maximum_ = maxRowBytes,
     .required_ = true,
     .meaning_ = "prefix of the path, with a slash at both ends; the longest one wins"},
    {.name_ = "services",
     .type_ = Text,
     .maximum_ = maxRowBytes,
     .required_ = true,
     .meaning_ = "where the requests go: a service, or several with weights, as in a:90, b:10"},
    {.name_ = "idempotent",
     .type_ = YesNo,
     .default_ = "no",
     .meaning_ = "whether a request may run more than once"},
    {.name_ = "timeout_ms",
     .type_ = Integer,
     .minimum_ = 1,
     .maximum_ = maxTimeoutMs,
     .default_ = "2000",
     .meaning_ = "longest time that a request is kept waiting"},
    {.name_ = "latency_goal_ms",
     .type_ = Integer,
     .minimum_ = 1,
     .maximum_ = maxTimeoutMs,
     .default_ = "1000",
     .meaning_ = "an answer within this time is worth most to the caller"},
    {.name_ = "priority",
     .type_ = Integer,
     .minimum_ = 0,
     .maximum_ = 1000,
     .default_ = "0",
     .meaning_ = "rank while slots are short; 0 goes first"},
    {.name_ = "attempts",
     .type_ = Integer,
     .minimum_ = 1,
     .maximum_ = 100,
     .default_ = "1",
     .meaning_ = "targets to which one request may be sent"},
    {.name_ = "affinity",
     .type_ = YesNo,
     .default_ = "no",
     .meaning_ = "whether requests for one object are best served by one target"},
    {.name_ = "home_regions",
     .type_ = Text,
     .maximum_ = maxRowBytes,
     .meaning_ = "comma-separated regions in which requests must stay; empty is all"},
    {.name_ = "public",
     .type_ = YesNo,
     .default_ = "no",
     .meaning_ = "whether requests need no key of a workspace"},
    {.name_ = "large_answers",
     .type_ = YesNo,
     .default_ = "no",
     .meaning_ = "whether the transfer of an answer takes a notable part of the latency goal"},
};

const std::vector<Column> workspaceColumns = {
    {.name_ = "key_digests",
     .type_ = Text,
     .maximum_ = maxRowBytes,
     .meaning_ = "comma-separated digests of the keys that the workspace's callers present"},
    {.name_ = "priority",
     .type_ = OptionalInteger,
     .minimum_ = 0,
     .maximum_ = 1000,
     .meaning_ = "rank while slots are short; goes before the route's rank; empty is none"},
    {.name_ = "limit_rps",
     .type_ = Number,
     .minimum_ = 0,
     .maximum_ = 10000000,
     .default_ = "0",
     .meaning_ = "quota in requests a second over all instances; 0 is no limit"},
    {.name_ = "burst",
     .type_ = Number,
     .minimum_ = 0,
     .maximum_ = 10000000,
     .default_ = "0",
     .meaning_ = "requests that may exceed the quota at once"},
    {.name_ = "home_regions",
     .type_ = Text,
     .maximum_ = maxRowBytes,
     .meaning_ = "comma-separated regions in which requests must stay; empty is all"},
};

const std::vector<Column> limitsColumns = {
    {.name_ = "head_bytes",
     .type_ = Integer,
     .minimum_ = 256,
     .maximum_ = 1048576,
     .default_ = "16384",
     .meaning_ = "largest head of a caller's request"},
    {.name_ = "body_bytes",
     .type_ = Integer,
     .minimum_ = 0,
     .maximum_ = 268435456,
     .default_ = "1048576",
     .meaning_ = "largest body of a caller's request"},
    {.name_ = "request_ms",
     .type_ = Integer,
     .minimum_ = 10,
     .maximum_ = 600000,
     .default_ = "10000",
     .meaning_ = "how long the head of a request may take to arrive"},
    {.name_ = "idle_ms",
     .type_ = Integer,
     .minimum_ = 100,
     .maximum_ = 3600000,
     .default_ = "60000",
     .meaning_ = "how long a caller's connection may stay idle between requests"},
};

const std::vector<Column> classColumns = {
    {.name_ = "callers",
     .type_ = Text,
     .meaning_ = "comma-separated prefixes of the callers' names; '*' is every other caller"},
    {.name_ = "weight",
     .type_ = Number,
     .minimum_ = 1,
     .maximum_ = 1000,
     .default_ = "10",
     .meaning_ = "share of the slots relative to other classes while slots are short"},
    {.name_ = "bulk",
     .type_ = YesNo,
     .default_ = "no",
     .meaning_ = "whether the class only borrows slots that others leave idle"},
    {.name_ = "use_limit",
     .type_ = Number,
     .minimum_ = 1,
     .maximum_ = 100,
     .default_ = "100",
     .meaning_ = "percent of a service's slots that the class may hold"},
    {.name_ = "limit_rps",
     .type_ = Number,
     .minimum_ = 0,
     .maximum_ = 10000000,
     .default_ = "0",
     .meaning_ = "requests a second of the whole class; 0 is no limit"},
};

const std::vector<Column> targetColumns = {
    {.name_ = "service",
     .type_ = Reference,
     .required_ = true,
     .references_ = RowKind::Service,
     .meaning_ = "the service that the target runs"},
    {.name_ = "domain",
     .type_ = Reference,
     .required_ = true,
     .references_ = RowKind::Domain,
     .meaning_ = "the failure domain in which the target lies"},
    {.name_ = "address",
     .type_ = ColumnType::Address,
     .required_ = true,
     .meaning_ = "where the target listens"},
    {.name_ = "slots",
     .type_ = Integer,
     .minimum_ = 1,
     .maximum_ = 100000,
     .default_ = "4",
     .meaning_ = "requests that the target works on at the same time"},
    {.name_ = "connections",
     .type_ = Integer,
     .minimum_ = 1,
     .maximum_ = 1000000,
     .default_ = "400",
     .meaning_ = "total connections that the target accepts"},
};

std::optional<double> numberFromText(const std::string &text)
{
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        return std::nullopt;
    return value;
}

std::string numberText(double value)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.10g", value);
    return text;
}

/// Maximum length of the text in a column that states none.
constexpr double defaultTextLength = 4096;

double maxTextLength(const Column &column)
{
    return column.maximum_ > 0 ? column.maximum_ : defaultTextLength;
}

bool isPrintableText(const Column &column, const std::string &value)
{
    return static_cast<double>(value.size()) <= maxTextLength(column)
           && std::all_of(value.begin(), value.end(), [](unsigned char c) {
                  return c >= ' ' && c != 127;
              });
}

} // namespace

const std::vector<Column> &columnsOf(RowKind kind)
{
    switch (kind) {
    case RowKind::Region:
        return regionColumns;
    case RowKind::Domain:
        return domainColumns;
    case RowKind::Service:
        return serviceColumns;
    case RowKind::Class:
        return classColumns;
    case RowKind::Route:
        return routeColumns;
    case RowKind::Limits:
        return limitsColumns;
    case RowKind::Workspace:
        return workspaceColumns;
    case RowKind::Target:
        break;
    }
    return targetColumns;
}

std::string allowedText(const Column &column)
{
    const std::string range = numberText(column.minimum_) + " to " + numberText(column.maximum_);
    switch (column.type_) {
    case Integer:
        return "a whole number from " + range;
    case OptionalInteger:
        return "a whole number from " + range + ", or empty";
    case Number:
        return "a number from " + range;
    case YesNo:
        return "yes or no";
    case Time:
        return "a UTC time such as 2026-12-02T18:00:00Z, or empty";
    case Text:
        return "printable text of at most " + numberText(maxTextLength(column)) + " characters";
    case ColumnType::Address:
        return "IP:port";
    case Reference:
        return "the name of a " + toText(column.references_) + " row";
    }
    return "";
}

bool isAllowed(const Column &column, const std::string &value)
{
    if (value.empty()) {
        const bool mayBeEmpty
            = column.type_ == Time || column.type_ == Text || column.type_ == OptionalInteger;
        return mayBeEmpty && !column.required_;
    }

    const auto parsed = numberFromText(value);
    const bool isInRange = parsed && *parsed >= column.minimum_ && *parsed <= column.maximum_;
    switch (column.type_) {
    case Integer:
    case OptionalInteger:
        return isInRange && std::floor(*parsed) == *parsed;
    case Number:
        return isInRange;
    case YesNo:
        return value == "yes" || value == "no";
    case Time:
        return timeFromText(value).has_value();
    case Text:
        return isPrintableText(column, value);
    case ColumnType::Address:
        return addressFromText(value).has_value();
    case Reference:
        return true;
    }
    return false;
}

std::optional<std::string> nearestAllowed(const Column &column, const std::string &value)
{
    const bool isInteger = column.type_ == Integer || column.type_ == OptionalInteger;
    const auto parsed = numberFromText(value);
    if (!parsed || (!isInteger && column.type_ != Number))
        return std::nullopt;
    const double inRange = std::clamp(*parsed, column.minimum_, column.maximum_);
    return numberText(isInteger ? std::floor(inRange) : inRange);
}

std::string cellOrDefault(const Row &row, std::string_view name)
{
    const auto cell = row.cells_.find(std::string(name));
    if (cell != row.cells_.end())
        return cell->second;
    for (const auto &column : columnsOf(row.key_.kind_)) {
        if (column.name_ == name)
            return std::string(column.default_);
    }
    return "";
}

} // namespace Model
