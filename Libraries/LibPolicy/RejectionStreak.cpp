#include "RejectionStreak.h"

#include <algorithm>

namespace Policy {

void noteRejection(RejectionStreak &streak, Model::SteadyTime now)
{
    streak.isTried_ = false;
    streak.rejections_ = std::min(streak.rejections_ + 1, maxRejectionsInSeries);
    if (streak.rejections_ == maxRejectionsInSeries)
        streak.trialAt_ = now + trialInterval;
}

void noteAccepted(RejectionStreak &streak)
{
    streak = RejectionStreak();
}

void noteTrial(RejectionStreak &streak)
{
    streak.isTried_ = streak.rejections_ >= maxRejectionsInSeries;
}

void releaseTrial(RejectionStreak &streak)
{
    streak.isTried_ = false;
}

bool mayTryRejecting(const RejectionStreak &streak, Model::SteadyTime now)
{
    return streak.rejections_ < maxRejectionsInSeries
           || (!streak.isTried_ && now >= streak.trialAt_);
}

void noteResult(CommonFailureRate &rate, bool isFailure)
{
    rate.rate_ += ((isFailure ? 1.0 : 0.0) - rate.rate_) * commonFailureWeight;
}

bool isFailureCommon(const CommonFailureRate &rate)
{
    return rate.rate_ >= minCommonFailureRate;
}

double excessFailureRate(double ofTarget, const CommonFailureRate &rate)
{
    return isFailureCommon(rate) ? std::max(0.0, ofTarget - rate.rate_) : ofTarget;
}

} // namespace Policy
