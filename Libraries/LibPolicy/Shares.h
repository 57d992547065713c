#pragma once

#include <LibModel/LibModel.h>

#include <vector>

namespace Policy {

/// One share for each row of Table::domains(), in that order.
struct ShareVector
{
    std::vector<double> shares_;

    bool operator==(const ShareVector &) const = default;
};

/// Which failure domains cannot serve now, one flag for each row of Table::domains().
/// An empty vector means that all can.
struct DomainOutage
{
    std::vector<bool> isOut_;

    bool isOut(std::size_t domain) const { return domain < isOut_.size() && isOut_[domain]; }
};

/// How fast traffic may move, in shares of the traffic of one origin in a second.
struct ShiftCaps
{
    Model::SharePerSecond betweenDomains_;
    Model::SharePerSecond betweenRegions_;
};

/// Returns the caps in the row of \a service. Thread safety: any thread.
ShiftCaps capsOf(const Model::Service &service);

/// Returns where the traffic of \a origin should go at \a now when \a outage is left out: to the
/// origin's own region by weight and slots while any of its failure domains can serve, else to the
/// other regions.
///
/// Returns all zeros if no failure domain can serve. Thread safety: any thread.
ShareVector goalShares(const Model::Table &table, const Model::ServiceId &service,
                       const Model::RegionId &origin, Model::WallTime now,
                       const DomainOutage &outage);

/// Returns the part of the way from \a from to \a to that the caps allow in \a elapsed, 0 to 1.
///
/// Precondition: both vectors belong to \a table and each sums to one. Thread safety: any thread.
double allowedProgress(const Model::Table &table, const ShareVector &from, const ShareVector &to,
                       const ShiftCaps &caps, Model::Milliseconds elapsed);

/// Returns \a from moved towards \a to as far as the caps allow in \a elapsed.
///
/// The whole vector moves in a straight line, so the sum stays one and no pair of failure domains
/// or regions moves faster than its cap. Thread safety: any thread.
ShareVector movedShares(const Model::Table &table, const ShareVector &from, const ShareVector &to,
                        const ShiftCaps &caps, Model::Milliseconds elapsed);

/// Returns the planned shares at \a now as a pure function of the table and the time.
///
/// What goes wrong without it: entries that each remember how far a drain has come start anew when
/// they restart, and jump. As every process works out the same line from the same rows, a restart,
/// a late edit or a store that is down changes nothing. Thread safety: any thread.
ShareVector plannedShares(const Model::Table &table, const Model::ServiceId &service,
                          const Model::RegionId &origin, Model::WallTime now);

/// Returns how long after \a now the planned shares go on moving; zero if they stand at their goal.
///
/// Thread safety: any thread.
Model::Milliseconds timeToGoal(const Model::Table &table, const Model::ServiceId &service,
                               const Model::RegionId &origin, Model::WallTime now);

/// Returns the rows that an edit made at \a now must store beside its own change: where the traffic
/// of each service and origin stands under \a before. Empty where \a after moves no traffic.
///
/// Thread safety: any thread.
std::vector<Model::ShiftStart> shiftStartsForEdit(const Model::Table &before,
                                                  const Model::Table &after, Model::WallTime now);

/// Returns \a shares by name; and the other way round, with shares of unknown names left out.
///
/// Thread safety: any thread.
std::vector<Model::DomainShare> namedShares(const Model::Table &table, const ShareVector &shares);
ShareVector indexedShares(const Model::Table &table, const std::vector<Model::DomainShare> &shares);

} // namespace Policy
