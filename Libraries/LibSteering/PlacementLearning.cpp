#include "PlacementEngine.h"

#include <algorithm>

namespace Steering {

using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;

namespace {

/// Weight of one new connection in the moving average of the round trip to a region.
constexpr double roundTripWeight = 0.2;

/// Weight of one answer in the mean processing time of a service's requests.
constexpr double serviceMeanWeight = 0.02;

/// Objects tracked for each target; targets themselves keep a few dozen loaded.
constexpr std::size_t maxTrackedObjects = 256;

} // namespace

void PlacementEngine::noteAnswer(const RequestContext &request, const Placement &placement,
                                 Microseconds took, SteadyTime now, std::optional<Model::Pace> pace)
{
    TargetState &target = *placement.target_;
    const auto roundTrip = roundTrips_[target.region_];
    const auto worked = Policy::atUsualPace(std::max(took - roundTrip, Microseconds(1)),
                                            pace.value_or(Model::Pace(1)));
    const auto expected = std::max(placement.maxUsualLatency_ - roundTrip, Microseconds(1));
    target.lastAnswerAt_ = now;
    Policy::noteReached(target.reachability_);
    Policy::learnAnswer(target.pace_, worked, expected, now);
    Policy::noteAccepted(target.rejections_);
    Policy::noteResult(results_[request.service_].failures_, false);

    std::optional<SteadyTime> sentBefore;
    if (request.hasObject_) {
        const auto sent = target.objects_.find(request.object_);
        if (sent != target.objects_.end())
            sentBefore = sent->second;
        if (target.objects_.size() >= maxTrackedObjects)
            target.objects_.clear();
        target.objects_[request.object_] = now;
    }
    // The time of a request that waited for a slot is not its processing time.
    const bool hadSlot = placement.load_ + 1 <= static_cast<double>(target.record_.slots_.value());
    if (!hadSlot || target.isCold(now))
        return;
    const auto occupied = static_cast<double>(std::max(took - roundTrip, Microseconds(1)).count());
    const auto [slotTime, isFirstAnswer] = slotTimeUs_.emplace(request.service_, occupied);
    if (!isFirstAnswer)
        slotTime->second += (occupied - slotTime->second) * serviceMeanWeight;
    RouteWork &work = workOf(*request.route_, request.service_);
    if (pace) {
        notePacedWork(work, placement, worked, now);
        if (placement.isKnownWarm_ && !Policy::looksWarm(work.times_, worked))
            return;
    }
    if (sentBefore) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - *sentBefore);
        Policy::learnRetention(memory_[request.service_], age,
                               Policy::looksWarm(work.times_, worked));
    }
    auto &others = work.peerWarmth_;
    if (!placement.isKnownWarm_ && placement.isHome_)
        Policy::learnWarmth(others.atHome_, work.times_, worked);
    if (!placement.isKnownWarm_ && placement.isRemoteHome_)
        Policy::learnWarmth(others.atRemoteHome_, work.times_, worked);
    Policy::learnWorkTime(work.times_, worked, false);
    const auto value = static_cast<double>(worked.count());
    const auto [mean, isFirst] = serviceMeanUs_.emplace(request.service_, value);
    if (!isFirst)
        mean->second += (value - mean->second) * serviceMeanWeight;
}

/// Answers of loaded objects show the distribution; a cold load would look like its tail.
void PlacementEngine::notePacedWork(RouteWork &work, const Placement &placement,
                                    Microseconds worked, SteadyTime now)
{
    const auto usual = placement.isKnownWarm_ ? work.times_.warmUs_ : work.times_.coldUs_;
    const double ratio = static_cast<double>(worked.count()) / std::max(1.0, usual);
    Policy::noteWork(placement.target_->recentWork_, ratio, now);
    if (placement.isKnownWarm_)
        work.distribution_.add(ratio);
}

void PlacementEngine::withdraw(const Placement &placement)
{
    placement.target_->reachability_.isProbed_ = false;
    Policy::releaseTrial(placement.target_->rejections_);
}

Microseconds PlacementEngine::secondTryDelay(const RequestContext &request,
                                             const Placement &placement, SteadyTime now)
{
    const RouteWork &work = workOf(*request.route_, request.service_);
    Policy::SecondTryTimes times;
    times.usual_ = placement.maxUsualLatency_;
    times.warm_ = Microseconds(static_cast<long long>(work.times_.warmUs_));
    const auto cold = Microseconds(static_cast<long long>(work.times_.coldUs_));
    times.second_ = placement.nextExpected_.value_or(cold);
    times.goalLeft_ = std::chrono::duration_cast<Microseconds>(
        request.arrivedAt_ + request.route_->latencyGoal_ - now);
    return Policy::secondTryDelay(times, work.distribution_);
}

void PlacementEngine::noteOvertaken(const RequestContext &request, const Placement &placement,
                                    Microseconds took, SteadyTime now)
{
    TargetState &target = *placement.target_;
    const double waited
        = static_cast<double>(took.count())
          / static_cast<double>(std::max<long long>(1, placement.maxUsualLatency_.count()));
    Policy::noteWork(target.recentWork_, std::max(1.0, waited), now);
    const bool hadSlot = placement.load_ + 1 <= static_cast<double>(target.record_.slots_.value());
    if (!hadSlot || !placement.isKnownWarm_ || target.isCold(now))
        return;
    RouteWork &work = workOf(*request.route_, request.service_);
    const double pace = Policy::slownessByReport(target.paceReport_, 1, now);
    const auto worked = std::max(took - roundTrips_[target.region_], Microseconds(1));
    work.distribution_.add(static_cast<double>(worked.count())
                           / std::max(1.0, work.times_.warmUs_ * pace));
}

void PlacementEngine::noteFailure(const Placement &placement, SteadyTime now)
{
    TargetState &target = *placement.target_;
    Policy::learnFailure(target.pace_, now);
    Policy::noteRejection(target.rejections_, now);
    Policy::noteResult(results_[target.record_.service_].failures_, true);
}

void PlacementEngine::noteNoAnswer(const Placement &placement, SteadyTime sentAt, bool wasSent,
                                   SteadyTime now)
{
    TargetState &target = *placement.target_;
    noteFailure(placement, now);
    // One lost answer does not make a target unreachable if it answered another request since.
    const bool hasAnsweredSince = target.lastAnswerAt_ >= sentAt;
    if (!wasSent || !hasAnsweredSince)
        Policy::noteUnreachable(target.reachability_, now);
    target.acceptsConnections_ = false;
}

Microseconds PlacementEngine::roundTripTo(const Model::RegionId &region) const
{
    const auto &regions = platformState_.table()->regions();
    for (std::size_t i = 0; i < regions.size() && i < roundTrips_.size(); ++i) {
        if (regions[i].id_ == region)
            return roundTrips_[i];
    }
    return *std::max_element(roundTrips_.begin(), roundTrips_.end());
}

Milliseconds PlacementEngine::connectTimeoutFor(const TargetState &target) const
{
    return Policy::connectionTimeout(roundTrips_[target.region_]);
}

void PlacementEngine::noteConnect(const TargetState &target, Microseconds took)
{
    auto &known = roundTrips_[target.region_];
    const double value = static_cast<double>(known.count())
                         + static_cast<double>((took - known).count()) * roundTripWeight;
    known = Microseconds(static_cast<long long>(value));
}

} // namespace Steering
