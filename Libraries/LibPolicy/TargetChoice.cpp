#include "TargetChoice.h"

#include <algorithm>

namespace Policy {

namespace {

Model::Microseconds scaled(Model::Microseconds duration, double factor)
{
    return Model::Microseconds(
        static_cast<long long>(static_cast<double>(duration.count()) * factor));
}

} // namespace

Model::Microseconds expectedTime(const Candidate &candidate, const WorkEstimate &work)
{
    const double slots = std::max(1.0, candidate.slots_);
    // The request joins the ones that are there; whoever finds a free slot does not wait.
    const double ahead = std::max(0.0, candidate.load_ + 1 - slots);
    const auto wait = scaled(work.serviceMean_, ahead / slots * candidate.slowness_);
    const auto run = scaled(candidate.isWarm_ ? work.warm_ : work.cold_, candidate.slowness_);
    return candidate.roundTrip_ + wait + run + scaled(failureCost, candidate.failureRate_);
}

std::optional<TargetChoice> chooseAmong(const std::vector<Candidate> &candidates,
                                        const WorkEstimate &work)
{
    std::optional<TargetChoice> best;
    Model::Microseconds bestCost{0};
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const auto expected = expectedTime(candidates[i], work);
        const auto cost
            = expected + (candidates[i].isHome_ ? Model::Microseconds(0) : strayPenalty);
        if (best && cost >= bestCost)
            continue;
        best = TargetChoice{i, expected};
        bestCost = cost;
    }
    return best;
}

} // namespace Policy
