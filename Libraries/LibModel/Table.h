#pragma once

#include "Address.h"
#include "Identifiers.h"
#include "Route.h"
#include "Row.h"
#include "Units.h"

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
    /// What a cold target bears from all entries together; zero means no limit.
    RequestsPerSecond coldLimit_;
    /// Connections of a target that registers itself, from all entries together.
    int connections_ = 0;
};

/// What callers may send, and how long they may take over it.
struct CallerLimits
{
    std::size_t headBytes_ = 16384;
    std::size_t bodyBytes_ = 1048576;
    Milliseconds request_{10000};
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

/// A part of the traffic of one origin that one failure domain gets.
struct DomainShare
{
    FailureDomainId domain_;
    Share share_;

    bool operator==(const DomainShare &) const = default;
};

/// Where the traffic of one service and origin stood when an edit moved its goal.
///
/// It is written in the edit's own transaction. Without it, two instances that learn of an edit at
/// different times, or one that starts in the middle of a shift, would each begin the shift
/// elsewhere, and their sum would pass the cap.
struct ShiftStart
{
    ServiceId service_;
    RegionId origin_;
    WallTime at_;
    std::vector<DomainShare> shares_;
    TableVersion changedAt_;

    bool operator==(const ShiftStart &) const = default;
};

/// The operators' table, whole and checked: an object of this class is always consistent.
///
/// Immutable after build(), so any number of threads may read it without a lock.
class Table
{
public:
    /// Returns every mistake in \a rows, deleted rows aside; none means that build() succeeds.
    ///
    /// Thread safety: any thread.
    static std::vector<CellError> check(const std::vector<Row> &rows);

    /// Builds a table from \a rows. Returns nothing if check() finds a mistake; the last reason
    /// then holds the first mistake. Thread safety: any thread.
    static std::optional<Table> build(TableVersion version, std::vector<Row> rows,
                                      std::vector<ShiftStart> shiftStarts);

    TableVersion version() const { return version_; }
    /// All rows, deleted ones included, sorted by key.
    const std::vector<Row> &rows() const { return rows_; }
    const std::vector<Region> &regions() const { return regions_; }
    const std::vector<FailureDomain> &domains() const { return domains_; }
    const std::vector<Service> &services() const { return services_; }
    const std::vector<CallerClass> &classes() const { return classes_; }
    const std::vector<Target> &targets() const { return targets_; }
    const RouteIndex &routes() const { return routes_; }
    const CallerLimits &callerLimits() const { return callerLimits_; }
    const std::vector<ShiftStart> &shiftStarts() const { return shiftStarts_; }

    /// Each returns nullptr where the table has no such row. Thread safety: any thread.
    const Service *service(const ServiceId &id) const;
    const FailureDomain *domain(const FailureDomainId &id) const;
    const Region *region(const RegionId &id) const;
    const Row *row(const RowKey &key) const;
    const ShiftStart *shiftStart(const ServiceId &service, const RegionId &origin) const;

    /// Returns the class of \a caller: the longest matching beginning of its name wins, then the
    /// class for every other caller, else nullptr. Thread safety: any thread.
    const CallerClass *classOf(const CallerId &caller) const;

    /// Returns the slots of \a service in \a domain. Thread safety: any thread.
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
    CallerLimits callerLimits_;
    std::vector<ShiftStart> shiftStarts_;
    std::map<std::pair<ServiceId, FailureDomainId>, Slots> slots_;
};

} // namespace Model
