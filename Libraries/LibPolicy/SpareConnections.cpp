#include "SpareConnections.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

/// Gaps are capped here: a target with longer gaps is not in use.
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
    // A target that has been idle for longer than the average is used less than before.
    const double gap = std::max(use.usualGapS_, Model::inSeconds(now - use.usedAt_) / 2);
    return 1 - std::exp(-Model::inSeconds(life) / std::max(gap, 0.001)) >= leastSpareUse;
}

} // namespace Policy
