#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>

namespace Policy {

/// Moving average of the rate at which slots come free for one service on one thread.
///
/// Not shared between threads.
struct DrainRate
{
    double perSecond_ = 0;
    Model::SteadyTime windowStart_;
    std::size_t inWindow_ = 0;
};

/// Counts one request that released its slot. \a hasWaiters tells whether other requests wait for a
/// slot.
///
/// Without waiters slots come free only as fast as requests arrive, which does not show the
/// capacity. Only windows in which requests wait throughout are measured. Thread safety: \a rate
/// belongs to the calling thread.
void countFinished(DrainRate &rate, bool hasWaiters, Model::SteadyTime now);

/// Returns how many requests may wait: the number that the slots almost certainly serve within
/// \a maxWait, and at least one. Before the first measurement, \a slots requests may wait.
///
/// If the bound were the number served on average, the last request in the queue would be served at
/// the very end of \a maxWait, so every second one would wait the whole time and then be
/// refused.
///
/// If the bound never fell below the slots, each thread of each entry would queue as many requests
/// as all threads together can serve. The queue would take several times \a maxWait to serve,
/// and almost all refusals would come only after that wait. Thread safety: any thread.
std::size_t queueBound(const DrainRate &rate, Model::Milliseconds maxWait, Model::Slots slots);

/// Returns after which delay a caller that is refused for lack of capacity should retry.
///
/// Thread safety: any thread.
Model::Milliseconds queueRetryDelay(const DrainRate &rate, std::size_t waiting);

/// Smallest retry delay returned to callers, so that refused callers do not retry in a tight loop.
constexpr Model::Milliseconds minRetryAfter{100};
constexpr Model::Milliseconds maxRetryAfter{10000};

/// Returns whether a target with \a usualLatency can finish a request within its \a remaining time.
/// Thread safety: any thread.
bool canFinish(Model::Milliseconds remaining, Model::Microseconds usualLatency);

/// Token bucket that limits requests per second. Not shared between threads.
struct RateBucket
{
    double tokens_ = 0;
    Model::SteadyTime filledAt_;
};

/// Returns the part of a fleet-wide limit that one of \a holders may use.
///
/// Without the division, every entry applies the whole limit and the fleet exceeds it by a factor
/// of the number of entries. Dividing by the largest known number of holders keeps the sum at or
/// below the limit without any message. Thread safety: any thread.
Model::RequestsPerSecond limitPerHolder(Model::RequestsPerSecond limit, std::size_t holders);

/// Takes one token if available. Always succeeds if \a limit is zero. Thread safety: \a bucket
/// belongs to the calling thread.
bool takeToken(RateBucket &bucket, Model::RequestsPerSecond limit, Model::SteadyTime now);

} // namespace Policy
