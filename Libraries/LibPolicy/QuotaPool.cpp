#include "QuotaPool.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

/// Counts arrive in lumps of a reporting interval, which one step must average.
constexpr Model::Milliseconds minUpdateInterval{100};
/// Time constant of the estimated rate of offered requests, and the number of requests that it must
/// span at least: the rate of a few requests is mostly chance.
constexpr double rateSeconds = 0.4;
constexpr double requestsInRate = 10;
/// The same while the rate falls: callers whose instance ended are back within a second.
constexpr double fallingRateSeconds = 2;
/// Time over which a surplus of tokens is handed out, and over which a deficit is worked off.
constexpr double surplusSeconds = 1.5;
constexpr double deficitSeconds = 0.75;
/// Longest deficit, in seconds of the quota.
constexpr double maxDeficitSeconds = 2;
/// Longest pause between two updates that fills the bucket.
constexpr double maxStepSeconds = 1;
/// Time without requests that a common start of all instances takes at least.
constexpr double pauseAtStartSeconds = 0.5;
/// Time in which a new pool learns the rate of the requests.
constexpr Model::Milliseconds learningTime{1000};
/// A root that was another one's reporter for less time continues its pools.
constexpr Model::Milliseconds poolRetention{5000};
/// Lowest estimated rate; below it, any request is admitted.
constexpr double minRate = 0.1;
/// Largest fraction that is handed out.
constexpr double maxFraction = 10;
/// Fraction of the instances that may be missing from the reports.
constexpr double toleratedAbsence = 0.02;

} // namespace

QuotaPool newQuotaPool(std::optional<double> fraction, Model::SteadyTime now)
{
    QuotaPool pool;
    pool.startedAt_ = now;
    pool.firstFraction_ = fraction;
    pool.fraction_ = std::min(fraction.value_or(1), 1.0);
    return pool;
}

double updateQuotaPool(QuotaPool &pool, const Model::Workspace &workspace, double coverage,
                       const QuotaCounts &counts, Model::SteadyTime now)
{
    pool.pending_ = pool.pending_ + counts;
    const auto elapsed = now - pool.updatedAt_;
    if (elapsed < minUpdateInterval)
        return pool.fraction_;
    const double seconds = Model::inSeconds(elapsed);
    const double step = std::min(seconds, maxStepSeconds);
    const double limit = workspace.limit_.value() * coverage;
    const bool isNew = pool.updatedAt_ == Model::distantPast;
    const double firstSeconds = pool.firstFraction_ ? 0 : pauseAtStartSeconds;
    const double earned = limit * (isNew ? firstSeconds : step);
    pool.level_ += earned - static_cast<double>(pool.pending_.sent_);
    pool.level_
        = std::clamp(pool.level_, -maxDeficitSeconds * workspace.limit_.value(), workspace.burst_);
    const double measured = static_cast<double>(pool.pending_.offered_) / step;
    const double shortest = measured < pool.offeredPerSecond_ ? fallingRateSeconds : rateSeconds;
    const double span = std::max(shortest, requestsInRate / workspace.limit_.value());
    const double weight = 1 - std::exp(-seconds / span);
    pool.offeredPerSecond_ += weight * (measured - pool.offeredPerSecond_);
    pool.pending_ = {};
    pool.updatedAt_ = now;
    const double correction = pool.level_ / (pool.level_ > 0 ? surplusSeconds : deficitSeconds);
    const double allowed = std::max(0.0, limit + correction);
    pool.fraction_ = std::min(maxFraction, allowed / std::max(minRate, pool.offeredPerSecond_));
    if (now - pool.startedAt_ < learningTime)
        pool.fraction_ = std::min({1.0, pool.fraction_, pool.firstFraction_.value_or(1)});
    return pool.fraction_;
}

bool mayContinue(const QuotaPool &pool, Model::SteadyTime now)
{
    return now - pool.updatedAt_ < poolRetention;
}

double quotaCoverage(std::size_t reporters, std::size_t instances)
{
    const double part
        = static_cast<double>(reporters) / static_cast<double>(std::max<std::size_t>(1, instances));
    return std::min(1.0, part + toleratedAbsence);
}

} // namespace Policy
