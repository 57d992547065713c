#pragma once

#include <LibModel/LibModel.h>

#include <vector>

namespace Policy {

/// One share per row of Table::domains(), in that order.
struct ShareVector
{
    std::vector<double> shares_;

    bool operator==(const ShareVector &) const = default;
};

/// The failure domains that cannot serve, one flag per row of Table::domains().
/// An empty vector means that all can.
struct DomainOutage
{
    std::vector<bool> isOut_;

    bool isOut(std::size_t domain) const { return domain < isOut_.size() && isOut_[domain]; }
};

/// Limits on how fast traffic may move, in shares of one origin's traffic per second.
struct ShiftCaps
{
    Model::SharePerSecond betweenDomains_;
    Model::SharePerSecond betweenRegions_;
};

/// Returns the shift caps of \a service. Thread safety: any thread.
ShiftCaps capsOf(const Model::Service &service);

/// Returns the goal shares of the traffic of \a origin at \a now, without the domains of
/// \a outage: in the origin's own region by weight and slots while any of its failure domains can
/// serve, else in the other regions.
///
/// Returns all zeros if no failure domain can serve. Thread safety: any thread.
ShareVector goalShares(const Model::Table &table, const Model::ServiceId &service,
                       const Model::RegionId &origin, Model::WallTime now,
                       const DomainOutage &outage);

/// Returns the fraction of the shift from \a from to \a to that the caps allow in \a elapsed, 0
/// to 1.
///
/// Precondition: both vectors belong to \a table and each sums to one. Thread safety: any thread.
double allowedProgress(const Model::Table &table, const ShareVector &from, const ShareVector &to,
                       const ShiftCaps &caps, Model::Milliseconds elapsed);

/// Returns \a from shifted towards \a to as far as the caps allow in \a elapsed.
///
/// The vector is interpolated linearly, so the sum stays one and no pair of failure domains or
/// regions shifts faster than its cap. Thread safety: any thread.
ShareVector movedShares(const Model::Table &table, const ShareVector &from, const ShareVector &to,
                        const ShiftCaps &caps, Model::Milliseconds elapsed);

/// Returns the planned shares at \a now as a pure function of the table and the time.
///
/// Every process computes the same shares from the same rows, so a restart, a late edit or an
/// outage of the store changes nothing. If each entry kept the progress of a drain itself, a
/// restart would lose it and the shares would jump. Thread safety: any thread.
ShareVector plannedShares(const Model::Table &table, const Model::ServiceId &service,
                          const Model::RegionId &origin, Model::WallTime now);

/// Returns how long after \a now the planned shares reach their goal; zero if they are there.
///
/// Thread safety: any thread.
Model::Milliseconds timeToGoal(const Model::Table &table, const Model::ServiceId &service,
                               const Model::RegionId &origin, Model::WallTime now);

/// Returns the rows that an edit at \a now must store with its change: the planned shares of each
/// service and origin under \a before. Empty if \a after moves no traffic.
///
/// Thread safety: any thread.
std::vector<Model::ShiftStart> shiftStartsForEdit(const Model::Table &before,
                                                  const Model::Table &after, Model::WallTime now);

/// Convert \a shares to shares by name, and back, leaving out shares of unknown names.
///
/// Thread safety: any thread.
std::vector<Model::DomainShare> namedShares(const Model::Table &table, const ShareVector &shares);
ShareVector indexedShares(const Model::Table &table, const std::vector<Model::DomainShare> &shares);

} // namespace Policy
