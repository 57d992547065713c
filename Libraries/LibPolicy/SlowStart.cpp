#include "SlowStart.h"

#include "Admission.h"

#include <algorithm>

namespace Policy {

namespace {

constexpr double maxSavedTokens = 1;

double tokensAt(const SlowStart &ramp, Model::RequestsPerSecond limit, std::size_t holders,
                Model::SteadyTime now)
{
    const double rate = limitPerHolder(limit, holders).value();
    const double earned = std::max(0.0, Model::inSeconds(now - ramp.filledAt_)) * rate;
    return std::min(maxSavedTokens, ramp.tokens_ + earned);
}

} // namespace

void beginSlowStart(SlowStart &ramp, Model::SteadyTime now)
{
    ramp.tokens_ = 0;
    ramp.filledAt_ = now;
}

bool takeSlowStartToken(SlowStart &ramp, Model::RequestsPerSecond limit, std::size_t holders,
                        Model::SteadyTime now)
{
    if (limit.value() <= 0)
        return true;
    const double tokens = tokensAt(ramp, limit, holders, now);
    ramp.filledAt_ = now;
    ramp.tokens_ = tokens;
    if (tokens < 1)
        return false;
    ramp.tokens_ -= 1;
    return true;
}

bool hasSlowStartToken(const SlowStart &ramp, Model::RequestsPerSecond limit, std::size_t holders,
                       Model::SteadyTime now)
{
    return limit.value() <= 0 || tokensAt(ramp, limit, holders, now) >= 1;
}

} // namespace Policy
