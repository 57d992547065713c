#include "IdleLimit.h"

#include <algorithm>
#include <cmath>

namespace Policy {

bool isStaleClose(Model::Microseconds sinceSent, Model::Microseconds roundTrip)
{
    return sinceSent <= roundTrip + staleCloseSlack;
}

Model::Milliseconds idleLimitAt(const IdleLimit &limit, Model::Milliseconds usual,
                                Model::SteadyTime now)
{
    if (!limit.limit_)
        return usual;
    const double doublings
        = Model::inSeconds(now - limit.learnedAt_) / Model::inSeconds(idleLimitGrowth);
    const double grown = static_cast<double>(limit.limit_->count()) * std::exp2(doublings);
    return grown >= static_cast<double>(usual.count())
               ? usual
               : Model::Milliseconds(static_cast<long long>(grown));
}

void noteStale(IdleLimit &limit, Model::Milliseconds idle, Model::SteadyTime now)
{
    const auto reused = Model::Milliseconds(
        static_cast<long long>(static_cast<double>(idle.count()) * staleIdleFraction));
    const auto known = idleLimitAt(limit, Model::Milliseconds::max(), now);
    limit.limit_ = std::max(minIdleLimit, std::min(reused, known));
    limit.learnedAt_ = now;
}

} // namespace Policy
