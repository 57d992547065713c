#pragma once

#include "Address.h"
#include "Identifiers.h"
#include "Route.h"
#include "Row.h"
#include "Units.h"
#include "WorkspaceIndex.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Model {

struct Region
{
    RegionId id_;
    Weight weight_;
};

struct FailureDomain
{
    FailureDomainId id_;
    RegionId region_;
    Weight weight_;
    std::optional<WallTime> drainStart_;
    std::optional<WallTime> drainEnd_;
};

struct Service
{
    ServiceId id_;
    Milliseconds timeout_{0};
    Milliseconds queueLimit_{0};
    SharePerSecond shiftCap_;
    SharePerSecond regionShiftCap_;
    bool isIdempotent_ = false;
    Share useLimit_;
    /// Rate that a cold target can take from all entries together; zero means no limit.
    RequestsPerSecond coldLimit_;
    /// Total connections from all entries to a target that registers itself.
    int connections_ = 0;
};

/// Limits on the size and duration of callers' requests.
struct CallerLimits
{
    std::size_t headBytes_ = 16384;
    std::size_t bodyBytes_ = 1048576;
    /// Maximum time for the head of a request to arrive.
    Milliseconds request_{10000};
    /// Maximum idle time of a connection between requests.
    Milliseconds idle_{60000};

    bool operator==(const CallerLimits &) const = default;
};

struct CallerClass
{
    CallerClassId id_;
    std::vector<std::string> callerPrefixes_;
    Weight weight_;
    bool isBulk_ = false;
    Share useLimit_;
    /// Zero means no limit.
    RequestsPerSecond limit_;
};

struct Target
{
    TargetId id_;
    ServiceId service_;
    FailureDomainId domain_;
    Address address_;
    Slots slots_;
    int connections_ = 0;
};

/// The share of one origin's traffic that a failure domain gets.
struct DomainShare
{
    FailureDomainId domain_;
    Share share_;

    bool operator==(const DomainShare &) const = default;
};

/// The shares of one service and origin at the time when an edit changed their goal.
///
/// It is written in the transaction of the edit. Without it, instances that learn of an edit at
/// different times, or that start in the middle of a shift, would begin the shift from different
/// shares, and the sum of their shifts would exceed the cap.
struct ShiftStart
{
    ServiceId service_;
    RegionId origin_;
    WallTime at_;
    std::vector<DomainShare> shares_;
    TableVersion changedAt_;

    bool operator==(const ShiftStart &) const = default;
};

/// The complete, validated operators' table. An object of this class is always consistent.
///
/// Immutable after build(), so any number of threads may read it without a lock.
class Table
{
public:
    /// Returns every mistake in \a rows, ignoring deleted rows. If it is empty, build() succeeds.
    ///
    /// Thread safety: any thread.
    static std::vector<CellError> check(const std::vector<Row> &rows);

    /// Builds a table from \a rows. Returns std::nullopt if check() finds a mistake; the last
    /// reason then holds the first mistake. Thread safety: any thread.
    static std::optional<Table> build(TableVersion version, std::vector<Row> rows,
                                      std::vector<ShiftStart> shiftStarts);

    TableVersion version() const { return version_; }
    /// Returns all rows, including deleted ones, sorted by key.
    const std::vector<Row> &rows() const { return rows_; }
    const std::vector<Region> &regions() const { return regions_; }
    const std::vector<FailureDomain> &domains() const { return domains_; }
    const std::vector<Service> &services() const { return services_; }
    const std::vector<CallerClass> &classes() const { return classes_; }
    const std::vector<Target> &targets() const { return targets_; }
    const RouteIndex &routes() const { return routes_; }
    const WorkspaceIndex &workspaces() const { return workspaces_; }
    const CallerLimits &callerLimits() const { return callerLimits_; }
    const std::vector<ShiftStart> &shiftStarts() const { return shiftStarts_; }

    /// Each returns nullptr if the table has no such row. Thread safety: any thread.
    const Service *service(const ServiceId &id) const;
    const FailureDomain *domain(const FailureDomainId &id) const;
    const Region *region(const RegionId &id) const;
    const Row *row(const RowKey &key) const;
    const ShiftStart *shiftStart(const ServiceId &service, const RegionId &origin) const;

    /// Returns the class with the longest matching prefix of the name of \a caller, else the class
    /// for every other caller, else nullptr. Thread safety: any thread.
    const CallerClass *classOf(const CallerId &caller) const;

    /// Returns the total slots of \a service in \a domain. Thread safety: any thread.
    Slots slotsIn(const ServiceId &service, const FailureDomainId &domain) const;

private:
    Table() = default;
    void addTypedRow(const Row &row);

    TableVersion version_;
    std::vector<Row> rows_;
    std::vector<Region> regions_;
    std::vector<FailureDomain> domains_;
    std::vector<Service> services_;
    std::vector<CallerClass> classes_;
    std::vector<Target> targets_;
    RouteIndex routes_;
    WorkspaceIndex workspaces_;
    CallerLimits callerLimits_;
    std::vector<ShiftStart> shiftStarts_;
    std::map<std::pair<ServiceId, FailureDomainId>, Slots> slots_;
};

} // namespace Model
