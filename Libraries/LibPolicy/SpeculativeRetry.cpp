#include "SpeculativeRetry.h"

#include <algorithm>

namespace Policy {

using Model::Microseconds;

namespace {

Microseconds scaled(Microseconds duration, double factor)
{
    return Microseconds(static_cast<long long>(static_cast<double>(duration.count()) * factor));
}

} // namespace

Microseconds secondTryDelay(const SecondTryTimes &times, const WorkDistribution &distribution)
{
    const auto byTail = std::max(scaled(times.usual_, tailRatio(distribution)), times.warm_);
    const auto latest = times.goalLeft_ - times.second_;
    if (latest < times.warm_)
        return byTail;
    const auto quantile = distribution.quantile(WorkQuantile::Q95);
    const auto byWork = quantile ? scaled(times.usual_, *quantile) : byTail;
    return std::max(std::min(byWork, latest), times.warm_);
}

bool isSecondTryAllowed(const SecondTryFacts &facts)
{
    return facts.isIdempotent_ && facts.attempts_ < facts.attemptLimit_ && facts.hasFreeSlot_
           && facts.slotUse_ < maxUseForSecondTry && !facts.isSecondTry_
           && !facts.isHeldByCrashGuard_ && !facts.hasCallerLeft_ && facts.mayHoldAnswer_
           && !facts.isForwarded_;
}

bool takeSecondTry(RetryBudget &budget, const SecondTryFacts &facts)
{
    return isSecondTryAllowed(facts)
           && mayRetry(budget, Outcome::Unknown, facts.isIdempotent_, facts.attempts_,
                       facts.attemptLimit_);
}

} // namespace Policy
