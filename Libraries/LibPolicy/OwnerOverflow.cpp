#include "OwnerOverflow.h"

#include "HomePlacement.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

/// Makes the draw of an object independent of its rank at the target.
constexpr std::uint64_t overflowSalt = 0x9e3779b97f4a7c15;

double drawOf(std::uint64_t object, std::uint64_t targetSeed)
{
    constexpr double range = 18446744073709551616.0;
    return static_cast<double>(ownerScore(object, targetSeed ^ overflowSalt)) / range;
}

} // namespace

double overflowBound(double meanUse)
{
    return std::max(minOverflowUse, overflowFactor * meanUse);
}

void updateOverflow(OwnerOverflow &overflow, double use, double meanUse, Model::SteadyTime now)
{
    if (overflow.updatedAt_ == Model::distantPast)
        overflow.updatedAt_ = now;
    const auto elapsed = now - overflow.updatedAt_;
    if (elapsed < overflowInterval)
        return;
    overflow.updatedAt_ = now;
    const double weight
        = 1 - std::exp(-Model::inSeconds(elapsed) / Model::inSeconds(overflowSmoothing));
    overflow.use_ += (use - overflow.use_) * weight;
    const double bound = overflowBound(meanUse);
    if (overflow.use_ > bound) {
        overflow.overAt_ = now;
        const double excess = 1 - bound / overflow.use_;
        overflow.share_ += (1 - overflow.share_) * excess;
    } else if (now - overflow.overAt_ >= overflowHold) {
        overflow.share_ = std::max(0.0, overflow.share_ - overflowReturn);
    }
}

bool isOverflowing(const OwnerOverflow &overflow, std::uint64_t object, std::uint64_t targetSeed)
{
    return overflow.share_ > 0 && drawOf(object, targetSeed) < overflow.share_;
}

} // namespace Policy
