#pragma once

#include "Identifiers.h"
#include "Units.h"

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Model {

/// One of the services among which a route divides its requests.
struct RoutePart
{
    ServiceId service_;
    Weight weight_;

    bool operator==(const RoutePart &) const = default;
};

/// What becomes of requests for one host whose path begins with one prefix.
struct Route
{
    RouteId id_;
    std::string host_;
    std::string prefix_;
    std::vector<RoutePart> parts_;
    /// A request may run more than once.
    bool isIdempotent_ = false;
    /// Longest time that a request is kept waiting.
    Milliseconds timeout_{0};
    /// An answer within this time is worth most to the caller.
    Milliseconds latencyGoal_{0};
    /// 0 goes first while slots are short.
    int priority_ = 0;
    /// Targets to which one request may be sent.
    int attempts_ = 1;
    /// Requests for one object are best served by one target.
    bool hasAffinity_ = false;
    /// Regions in which requests must stay; empty is all.
    std::vector<RegionId> allowedRegions_;
};

/// Reads "a" or "a:90, b:10".
///
/// Returns nothing, with BadValue as the last reason, for any other text or if no weight is above
/// zero. Thread safety: any thread.
std::optional<std::vector<RoutePart>> routePartsFromText(const std::string &text);

/// Returns the form that routePartsFromText() reads. Thread safety: any thread.
std::string toText(const std::vector<RoutePart> &parts);

/// Finds the route of a request by its host and the longest prefix of its path.
///
/// Thread safety: any number of threads may read while none adds.
class RouteIndex
{
public:
    /// Adds \a route. Of two routes with one host and prefix the last one counts.
    void add(Route route);

    /// Returns the route for \a path (without its query) at \a host, or nullptr.
    const Route *find(std::string_view host, std::string_view path) const;

    const std::vector<Route> &all() const { return routes_; }

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
    std::unordered_map<std::string, ByPrefix, TextHash, std::equal_to<>> byHost_;
};

} // namespace Model
