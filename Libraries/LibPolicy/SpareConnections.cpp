#include "SpareConnections.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

/// Longer gaps say no more than this one: the target is not in use.
constexpr double longestGapS = 30;

} // namespace

void noteUse(TargetUse &use, Model::SteadyTime now)
{
    const double gap = std::min(longestGapS, Model::inSeconds(now - use.usedAt_));
    use.usualGapS_ += (gap - use.usualGapS_) * useGapWeight;
    use.usedAt_ = now;
}

bool isSpareWorthwhile(const TargetUse &use, Model::Milliseconds life, Model::SteadyTime now)
{
    // A target that has rested for longer than usual is used less than it was.
    const double gap = std::max(use.usualGapS_, Model::inSeconds(now - use.usedAt_) / 2);
    return 1 - std::exp(-Model::inSeconds(life) / std::max(gap, 0.001)) >= leastSpareUse;
}

} // namespace Policy
