#include "Admission.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

constexpr Model::Milliseconds rateWindow{200};
constexpr double newWindowWeight = 0.5;
/// Slots come free unevenly. The bound stays this many standard deviations below the expected
/// number.
constexpr double deviationsKept = 2;
/// A bucket holds the tokens of this time, and at least one.
constexpr double bucketSeconds = 0.1;

} // namespace

void countFinished(DrainRate &rate, bool hasWaiters, Model::SteadyTime now)
{
    if (!hasWaiters) {
        rate.windowStart_ = now;
        rate.inWindow_ = 0;
        return;
    }
    ++rate.inWindow_;
    const auto elapsed = now - rate.windowStart_;
    if (elapsed < rateWindow)
        return;
    const double measured = static_cast<double>(rate.inWindow_) / Model::inSeconds(elapsed);
    const bool isFirst = rate.perSecond_ == 0;
    rate.perSecond_
        = isFirst ? measured : rate.perSecond_ * (1 - newWindowWeight) + measured * newWindowWeight;
    rate.windowStart_ = now;
    rate.inWindow_ = 0;
}

std::size_t queueBound(const DrainRate &rate, Model::Milliseconds maxWait, Model::Slots slots)
{
    if (rate.perSecond_ == 0)
        return static_cast<std::size_t>(slots.value());
    const double expected = rate.perSecond_ * Model::inSeconds(maxWait);
    const double almostCertain = expected - deviationsKept * std::sqrt(expected);
    return static_cast<std::size_t>(std::max(1.0, almostCertain));
}

Model::Milliseconds queueRetryDelay(const DrainRate &rate, std::size_t waiting)
{
    const double seconds = rate.perSecond_ > 0 ? static_cast<double>(waiting) / rate.perSecond_ : 0;
    const Model::Milliseconds expected(static_cast<long long>(seconds * 1000));
    return std::clamp(expected, minRetryAfter, maxRetryAfter);
}

bool canFinish(Model::Milliseconds remaining, Model::Microseconds usualLatency)
{
    return remaining.count() > 0 && remaining > usualLatency;
}

Model::RequestsPerSecond limitPerHolder(Model::RequestsPerSecond limit, std::size_t holders)
{
    return Model::RequestsPerSecond(limit.value()
                                    / static_cast<double>(std::max<std::size_t>(1, holders)));
}

bool takeToken(RateBucket &bucket, Model::RequestsPerSecond limit, Model::SteadyTime now)
{
    if (limit.value() <= 0)
        return true;
    const double capacity = std::max(1.0, limit.value() * bucketSeconds);
    const double earned = Model::inSeconds(now - bucket.filledAt_) * limit.value();
    bucket.tokens_ = std::min(capacity, bucket.tokens_ + std::max(0.0, earned));
    bucket.filledAt_ = now;
    if (bucket.tokens_ < 1)
        return false;
    bucket.tokens_ -= 1;
    return true;
}

} // namespace Policy
