#include "TargetChoice.h"

#include <algorithm>

namespace Policy {

namespace {

Model::Microseconds scaled(Model::Microseconds duration, double factor)
{
    return Model::Microseconds(
        static_cast<long long>(static_cast<double>(duration.count()) * factor));
}

Model::Microseconds timeFor(const Candidate &candidate, const WorkEstimate &work,
                            Model::Microseconds run)
{
    const double slots = std::max(1.0, candidate.slots_);
    // Counts this request too; a request that finds a free slot does not wait.
    const double ahead = std::max(0.0, candidate.load_ + 1 - slots);
    const auto wait = scaled(work.serviceMean_, ahead / slots * candidate.slowness_);
    return candidate.roundTrip_ + wait + scaled(run, candidate.slowness_)
           + scaled(failureCost, candidate.failureRate_);
}

} // namespace

Model::Microseconds expectedTime(const Candidate &candidate, const WorkEstimate &work)
{
    const double coldness = candidate.isKnownWarm_ ? 0 : 1 - candidate.peerWarmth_;
    return timeFor(candidate, work, work.warm_ + scaled(work.cold_ - work.warm_, coldness));
}

Model::Microseconds latestNormalTime(const Candidate &candidate, const WorkEstimate &work)
{
    return timeFor(candidate, work, candidate.isKnownWarm_ ? work.warm_ : work.cold_);
}

Model::Microseconds coldLoadCost(const WorkEstimate &work, double use)
{
    const double idle = std::max(1 - use, 0.01);
    return scaled(work.cold_ - work.warm_, std::clamp(use / idle, 1.0, maxColdLoadCostFactor));
}

std::optional<TargetChoice> chooseAmong(const std::vector<Candidate> &candidates,
                                        const WorkEstimate &work, double use)
{
    const auto loadCost = coldLoadCost(work, use);
    std::optional<TargetChoice> best;
    Model::Microseconds bestCost{0};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto expected = expectedTime(candidates[i], work);
        const Candidate &candidate = candidates[i];
        const bool isFree = candidate.isHome_ || candidate.isKnownWarm_
                            || (candidate.isSecondaryOwner_ && use < maxUseForSecondaryLoad);
        const auto cost = expected + (isFree ? Model::Microseconds(0) : loadCost);
        if (best && cost >= bestCost)
            continue;
        best = TargetChoice{i, expected};
        bestCost = cost;
    }
    return best;
}

} // namespace Policy
