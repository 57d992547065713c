#include "Shares.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <numeric>

namespace Policy {

using Model::Milliseconds;
using Model::WallTime;

namespace {

constexpr double negligible = 1e-9;

bool isDraining(const Model::FailureDomain &domain, WallTime now)
{
    if (!domain.drainStart_ || now < *domain.drainStart_)
        return false;
    return !domain.drainEnd_ || now < *domain.drainEnd_;
}

double sum(const ShareVector &vector)
{
    return std::accumulate(vector.shares_.begin(), vector.shares_.end(), 0.0);
}

ShareVector normalised(ShareVector vector)
{
    const double total = sum(vector);
    if (total <= negligible)
        return vector;
    for (double &share : vector.shares_)
        share /= total;
    return vector;
}

/// Returns the times at which the goal changes by schedule, in order.
std::vector<WallTime> scheduledTimes(const Model::Table &table)
{
    std::vector<WallTime> times;
    for (const auto &domain : table.domains()) {
        if (domain.drainStart_)
            times.push_back(*domain.drainStart_);
        if (domain.drainEnd_)
            times.push_back(*domain.drainEnd_);
    }
    std::sort(times.begin(), times.end());
    return times;
}

/// The planned shares at a time.
struct PlanPoint
{
    ShareVector shares_;
    WallTime at_;
};

PlanPoint firstPoint(const Model::Table &table, const Model::ServiceId &service,
                     const Model::RegionId &origin, WallTime now)
{
    if (const auto *start = table.shiftStart(service, origin)) {
        const ShareVector shares = indexedShares(table, start->shares_);
        if (sum(shares) > negligible)
            return {normalised(shares), start->at_};
    }
    const auto times = scheduledTimes(table);
    const WallTime first = times.empty() ? now : std::min(now, times.front());
    return {goalShares(table, service, origin, first - Milliseconds(1), {}), first};
}

/// Returns the planned shares at \a now, applying each scheduled change in turn.
PlanPoint planAt(const Model::Table &table, const Model::Service &service,
                 const Model::RegionId &origin, WallTime now)
{
    const ShiftCaps caps = capsOf(service);
    PlanPoint point = firstPoint(table, service.id_, origin, now);
    const auto advanceTo = [&](WallTime until) {
        const ShareVector goal = goalShares(table, service.id_, origin, point.at_, {});
        point.shares_ = movedShares(table, point.shares_, goal, caps, until - point.at_);
        point.at_ = until;
    };
    for (WallTime time : scheduledTimes(table)) {
        if (time > point.at_ && time < now)
            advanceTo(time);
    }
    if (point.at_ < now)
        advanceTo(now);
    return point;
}

bool movesTraffic(const Model::CellChange &change)
{
    return change.row_.kind_ != Model::RowKind::Class;
}

} // namespace

ShiftCaps capsOf(const Model::Service &service)
{
    return {service.shiftCap_, service.regionShiftCap_};
}

ShareVector goalShares(const Model::Table &table, const Model::ServiceId &service,
                       const Model::RegionId &origin, WallTime now, const DomainOutage &outage)
{
    const auto &domains = table.domains();
    ShareVector own{std::vector<double>(domains.size(), 0.0)};
    ShareVector others = own;
    for (std::size_t i = 0; i < domains.size(); ++i) {
        const auto &domain = domains[i];
        if (outage.isOut(i) || isDraining(domain, now))
            continue;
        const auto slots = static_cast<double>(table.slotsIn(service, domain.id_).value());
        const double weight = domain.weight_.value() * slots;
        if (domain.region_ == origin) {
            own.shares_[i] = weight;
            continue;
        }
        const auto *region = table.region(domain.region_);
        others.shares_[i] = region ? weight * region->weight_.value() : 0.0;
    }
    return normalised(sum(own) > negligible ? own : others);
}

double allowedProgress(const Model::Table &table, const ShareVector &from, const ShareVector &to,
                       const ShiftCaps &caps, Milliseconds elapsed)
{
    double moved = 0;
    std::map<Model::RegionId, double> byRegion;
    for (std::size_t i = 0; i < to.shares_.size(); ++i) {
        const double change = to.shares_[i] - from.shares_[i];
        moved += std::max(change, 0.0);
        byRegion[table.domains()[i].region_] += change;
    }
    double crossed = 0;
    for (const auto &[region, change] : byRegion)
        crossed += std::max(change, 0.0);

    const double seconds = std::max(0.0, Model::inSeconds(elapsed));
    double progress = 1;
    if (moved > negligible)
        progress = std::min(progress, caps.betweenDomains_.value() * seconds / moved);
    if (crossed > negligible)
        progress = std::min(progress, caps.betweenRegions_.value() * seconds / crossed);
    return progress;
}

ShareVector movedShares(const Model::Table &table, const ShareVector &from, const ShareVector &to,
                        const ShiftCaps &caps, Milliseconds elapsed)
{
    // Without a goal the traffic stays where it is; requests are refused there.
    if (sum(to) <= negligible)
        return from;
    if (sum(from) <= negligible)
        return to;
    const double progress = allowedProgress(table, from, to, caps, elapsed);
    ShareVector result = from;
    for (std::size_t i = 0; i < result.shares_.size(); ++i)
        result.shares_[i] += progress * (to.shares_[i] - from.shares_[i]);
    return result;
}

ShareVector plannedShares(const Model::Table &table, const Model::ServiceId &service,
                          const Model::RegionId &origin, WallTime now)
{
    const auto *row = table.service(service);
    if (!row)
        return {std::vector<double>(table.domains().size(), 0.0)};
    return planAt(table, *row, origin, now).shares_;
}

Milliseconds timeToGoal(const Model::Table &table, const Model::ServiceId &service,
                        const Model::RegionId &origin, WallTime now)
{
    const auto *row = table.service(service);
    if (!row)
        return Milliseconds(0);
    const ShareVector shares = planAt(table, *row, origin, now).shares_;
    const ShareVector goal = goalShares(table, service, origin, now, {});
    if (sum(goal) <= negligible)
        return Milliseconds(0);
    double distance = 0;
    for (std::size_t i = 0; i < goal.shares_.size(); ++i)
        distance += std::abs(goal.shares_[i] - shares.shares_[i]);
    if (distance <= negligible)
        return Milliseconds(0);

    // Progress is linear in time, so one step determines the whole duration.
    const auto oneDay = std::chrono::hours(24);
    const double inADay = allowedProgress(table, shares, goal, capsOf(*row), oneDay);
    if (inADay < 1) {
        return Milliseconds(
            static_cast<long long>(std::ceil(Milliseconds(oneDay).count() / inADay)));
    }
    const double inAMillisecond
        = allowedProgress(table, shares, goal, capsOf(*row), Milliseconds(1));
    return Milliseconds(static_cast<long long>(std::ceil(1.0 / inAMillisecond)));
}

std::vector<Model::ShiftStart> shiftStartsForEdit(const Model::Table &before,
                                                  const Model::Table &after, WallTime now)
{
    const auto changes = Model::changesBetween(before.rows(), after.rows());
    if (std::none_of(changes.begin(), changes.end(), movesTraffic))
        return {};
    std::vector<Model::ShiftStart> starts;
    for (const auto &service : after.services()) {
        if (!before.service(service.id_))
            continue;
        for (const auto &region : after.regions()) {
            const ShareVector shares = plannedShares(before, service.id_, region.id_, now);
            if (sum(shares) <= negligible)
                continue;
            starts.push_back(
                {service.id_, region.id_, now, namedShares(before, shares), after.version()});
        }
    }
    return starts;
}

std::vector<Model::DomainShare> namedShares(const Model::Table &table, const ShareVector &shares)
{
    std::vector<Model::DomainShare> named;
    for (std::size_t i = 0; i < shares.shares_.size(); ++i) {
        if (shares.shares_[i] > 0)
            named.push_back({table.domains()[i].id_, Model::Share(shares.shares_[i])});
    }
    return named;
}

ShareVector indexedShares(const Model::Table &table, const std::vector<Model::DomainShare> &shares)
{
    ShareVector vector{std::vector<double>(table.domains().size(), 0.0)};
    for (const auto &share : shares) {
        for (std::size_t i = 0; i < vector.shares_.size(); ++i) {
            if (table.domains()[i].id_ == share.domain_)
                vector.shares_[i] = share.share_.value();
        }
    }
    return vector;
}

} // namespace Policy
