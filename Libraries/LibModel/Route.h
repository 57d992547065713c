#pragma once

#include "Identifiers.h"
#include "Units.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Model {

/// A service that gets a weighted share of the requests of a route.
struct WeightedSplit
{
    ServiceId service_;
    Weight weight_;

    bool operator==(const WeightedSplit &) const = default;
};

/// How requests for one host with one path prefix are routed.
struct Route
{
    RouteId id_;
    std::string host_;
    std::string prefix_;
    std::vector<WeightedSplit> splits_;
    /// Whether a request may run more than once.
    bool isIdempotent_ = false;
    /// Maximum time that a request is kept waiting.
    Milliseconds timeout_{0};
    /// An answer within this time is worth most to the caller.
    Milliseconds latencyGoal_{0};
    /// Rank while slots are short; 0 goes first.
    int priority_ = 0;
    /// Maximum number of targets to which a request may be sent.
    int attempts_ = 1;
    /// Whether requests for one object are best served by one target.
    bool hasAffinity_ = false;
    /// Regions in which requests must stay; empty allows all regions.
    std::vector<RegionId> allowedRegions_;
    /// Whether requests need no key of a workspace.
    bool isPublic_ = false;
    /// Whether answers are so large that their transfer takes a notable part of the latency goal.
    bool hasLargeAnswers_ = false;
};

/// Parses "a" or "a:90, b:10".
///
/// Returns std::nullopt, with BadValue as the last reason, for any other text or if no weight is
/// above zero. Thread safety: any thread.
std::optional<std::vector<WeightedSplit>> weightedSplitsFromText(const std::string &text);

/// Returns the form that weightedSplitsFromText() parses. Thread safety: any thread.
std::string toText(const std::vector<WeightedSplit> &splits);

/// Finds the route of a request by its host and the longest prefix of its path.
///
/// Thread safety: any number of threads may read while no thread calls add().
class RouteIndex
{
public:
    /// Adds \a route. It replaces an earlier route with the same host and prefix in find().
    void add(Route route);

    /// Returns the route for \a path (without its query) at \a host, or nullptr.
    const Route *find(std::string_view host, std::string_view path) const;

    const std::vector<Route> &all() const { return routes_; }
    /// Returns whether a route has large answers.
    bool hasLargeAnswers() const { return hasLargeAnswers_; }

private:
    struct TextHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const
        {
            return std::hash<std::string_view>()(text);
        }
    };
    using ByPrefix = std::unordered_map<std::string, std::size_t, TextHash, std::equal_to<>>;

    std::vector<Route> routes_;
    bool hasLargeAnswers_ = false;
    std::unordered_map<std::string, ByPrefix, TextHash, std::equal_to<>> byHost_;
};

} // namespace Model
