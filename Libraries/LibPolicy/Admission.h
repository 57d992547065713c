#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>

namespace Policy {

/// How fast slots come free for one service on one thread, as a moving average.
///
/// Not shared between threads.
struct DrainRate
{
    double perSecond_ = 0;
    Model::SteadyTime windowStart_;
    std::size_t inWindow_ = 0;
};

/// Counts one request that gave its slot back, and tells whether others waited for one.
///
/// Where nobody waits, slots come free as slowly as requests arrive, which says nothing of how fast
/// they could: only windows with somebody waiting throughout are measured.
/// Thread safety: \a rate belongs to the calling thread.
void countFinished(DrainRate &rate, bool hasWaiters, Model::SteadyTime now);

/// Returns how many requests may wait: what the slots all but surely work off within the longest
/// wait, and one at the least. Before anything was measured, \a slots requests may wait.
///
/// What goes wrong with what they work off on average: the last in line is served at the very end
/// of the longest wait, so every second one waits all of it and is refused then.
///
/// What goes wrong with a bound that never falls below the slots: each thread of each entry lets as
/// many wait as all of them together can serve, the line takes several times the longest wait, and
/// nearly everybody who is refused is refused only after it. Thread safety: any thread.
std::size_t queueBound(const DrainRate &rate, Model::Milliseconds longestWait, Model::Slots slots);

/// Returns when a caller that is refused for lack of capacity should come back.
///
/// Thread safety: any thread.
Model::Milliseconds comeBackAfter(const DrainRate &rate, std::size_t waiting);

/// The least time to come back that is ever named, so that refused callers do not spin.
constexpr Model::Milliseconds leastComeBack{100};
constexpr Model::Milliseconds longestComeBack{10000};

/// Returns whether a request with \a remaining time can still be finished by a target that usually
/// takes \a usualLatency. Thread safety: any thread.
bool canFinish(Model::Milliseconds remaining, Model::Microseconds usualLatency);

/// A limit on requests a second. Not shared between threads.
struct RateBucket
{
    double tokens_ = 0;
    Model::SteadyTime filledAt_;
};

/// Returns the part of a limit on the whole fleet that one of \a holders may use.
///
/// What goes wrong without it: an absolute limit that every entry applies whole is passed as many
/// times as there are entries. Dividing by the largest known number of holders keeps the sum at or
/// below the limit with no message at all. Thread safety: any thread.
Model::RequestsPerSecond limitPart(Model::RequestsPerSecond limit, std::size_t holders);

/// Takes one token, if there is one. A zero \a limit always succeeds. Thread safety: \a bucket
/// belongs to the calling thread.
bool takeToken(RateBucket &bucket, Model::RequestsPerSecond limit, Model::SteadyTime now);

} // namespace Policy
