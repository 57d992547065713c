#include "TargetPicker.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

bool canTake(const TargetView &target)
{
    if (target.isLeaving_ || target.isSuspect_ || target.isOverLimit_)
        return false;
    if (target.pauseLeft_ > Model::Microseconds(0)
        || (target.returnWindow_ && target.ownInFlight_ >= *target.returnWindow_))
        return false;
    return likelyInFlight(target) < usableSlots(target);
}

std::int64_t othersInReport(const TargetView &target)
{
    return std::max<std::int64_t>(0, target.reportedInFlight_ - target.ownInFlightAtReport_);
}

/// In-flight requests by this entry's and its peers' counts.
std::int64_t knownInFlight(const TargetView &target)
{
    std::int64_t others = std::max<std::int64_t>(0, *target.peersInFlight_);
    if (target.reportAge_ < ownReportPrecedence)
        others = std::max(others, othersInReport(target));
    return target.ownInFlight_ + others;
}

Model::Microseconds reportLifetime(const TargetView &target)
{
    return std::clamp<Model::Microseconds>(target.latency_, minReportLifetime, maxReportLifetime);
}

/// Relative time to finish one more request: grows with the target's load and latency.
double cost(const TargetView &target)
{
    const auto usable = static_cast<double>(std::max<std::int64_t>(1, usableSlots(target)));
    const double load = static_cast<double>(likelyInFlight(target) + 1) / usable;
    const auto latency = static_cast<double>(std::max<long long>(1, target.latency_.count()));
    return load * std::sqrt(latency);
}

} // namespace

std::int64_t likelyInFlight(const TargetView &target)
{
    if (target.peersInFlight_)
        return knownInFlight(target);
    const double left
        = 1 - Model::inSeconds(target.reportAge_) / Model::inSeconds(reportLifetime(target));
    if (left <= 0)
        return target.ownInFlight_;
    return target.ownInFlight_
           + static_cast<std::int64_t>(
               std::ceil(static_cast<double>(othersInReport(target)) * left - 1e-9));
}

std::int64_t steadyInFlight(const TargetView &target)
{
    if (target.peersInFlight_)
        return knownInFlight(target);
    if (target.reportAge_ >= reportLifetime(target))
        return target.ownInFlight_;
    return target.ownInFlight_ + othersInReport(target);
}

std::int64_t usableSlots(const TargetView &target)
{
    if (target.inUseFor_ >= slowStartPeriod)
        return target.slots_;
    const double grown = Model::inSeconds(target.inUseFor_) / Model::inSeconds(slowStartPeriod);
    const double part = std::max(minSlowStartShare, grown);
    const auto usable = static_cast<std::int64_t>(static_cast<double>(target.slots_) * part);
    return std::max<std::int64_t>(1, usable);
}

std::optional<std::size_t> chooseTarget(const std::vector<TargetView> &targets,
                                        std::uint64_t firstDraw, std::uint64_t secondDraw)
{
    std::vector<std::size_t> free;
    free.reserve(targets.size());
    for (std::size_t i = 0; i < targets.size(); ++i) {
        if (canTake(targets[i]))
            free.push_back(i);
    }
    if (free.empty())
        return std::nullopt;
    const std::size_t first = free[firstDraw % free.size()];
    const std::size_t second = free[secondDraw % free.size()];
    return cost(targets[second]) < cost(targets[first]) ? second : first;
}

SlotUse slotUse(const std::vector<TargetView> &targets)
{
    SlotUse use;
    for (const auto &target : targets) {
        if (target.isLeaving_ || target.isSuspect_ || target.pauseLeft_ > Model::Microseconds(0))
            continue;
        use.slots_ += usableSlots(target);
        use.inFlight_ += std::min(target.slots_, steadyInFlight(target));
    }
    return use;
}

bool mayFillSlot(const SlotUse &use, double useLimit)
{
    const double limit
        = std::max(1.0, std::floor(static_cast<double>(use.slots_) * useLimit + 1e-6));
    return static_cast<double>(use.inFlight_ + 1) <= limit;
}

bool mayFillShared(const PoolUsage &notes, std::int64_t ownInFlight, double useLimit)
{
    const double limit = std::floor(static_cast<double>(notes.slots_) * useLimit + 1e-6);
    const double used = static_cast<double>(notes.ownInFlight_ + notes.peersInFlight_);
    const double entries = static_cast<double>(std::max<std::int64_t>(1, notes.waitingEntries_));
    const double change = std::floor((limit - used) / entries + notes.dither_);
    return static_cast<double>(ownInFlight + 1) <= static_cast<double>(notes.ownInFlight_) + change;
}

bool anyUsable(const std::vector<TargetView> &targets, Model::Microseconds longestWait)
{
    return std::any_of(targets.begin(), targets.end(), [&](const auto &target) {
        return !target.isLeaving_ && !target.isSuspect_ && target.pauseLeft_ <= longestWait;
    });
}

} // namespace Policy
