#include "SpareConnections.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

/// Gaps are capped here: a target with longer gaps is not in use.
constexpr double maxGapS = 30;

} // namespace

void noteUse(TargetUse &use, Model::SteadyTime now)
{
    const double gap = std::min(maxGapS, Model::inSeconds(now - use.usedAt_));
    use.averageGapS_ += (gap - use.averageGapS_) * useGapWeight;
    use.usedAt_ = now;
}

bool isIdleConnectionWorthwhile(const TargetUse &use, Model::Milliseconds life,
                                Model::SteadyTime now)
{
    // A target that has been idle for longer than the average is used less than before.
    const double gap = std::max(use.averageGapS_, Model::inSeconds(now - use.usedAt_) / 2);
    return 1 - std::exp(-Model::inSeconds(life) / std::max(gap, 0.001)) >= minIdleConnectionReuse;
}

} // namespace Policy
