#pragma once

#include <LibModel/LibModel.h>

#include <optional>

namespace Policy {

/// How long connections to the targets of a service may stay idle before they are no longer reused,
/// learned from connections that had been closed at the other end. Not shared between threads.
struct IdleLimit
{
    /// std::nullopt while no stale connection was seen lately.
    std::optional<Model::Milliseconds> limit_;
    Model::SteadyTime learnedAt_ = Model::distantPast;
};

/// Fraction of the idle time of a stale connection up to which connections are still reused.
constexpr double staleIdleFraction = 0.5;
constexpr Model::Milliseconds minIdleLimit{50};
/// The limit doubles at this interval, so that connections are reused again once targets keep them.
constexpr Model::Milliseconds idleLimitGrowth{4000};

/// Time beyond one round trip within which a target that no longer knows a connection resets it.
constexpr Model::Milliseconds staleCloseSlack{20};

/// Returns whether an exchange on a reused connection shows that the target had closed it before
/// the request arrived: the connection broke \a sinceSent after the request was sent, without a
/// byte of an answer.
///
/// A target that crashes breaks its connections too, but a request that has been there for longer
/// than a round trip. Thread safety: any thread.
bool isStaleClose(Model::Microseconds sinceSent, Model::Microseconds roundTrip);

/// Records that a connection was stale after it had been idle for \a idle. Thread safety: \a limit
/// belongs to the calling thread.
void noteStale(IdleLimit &limit, Model::Milliseconds idle, Model::SteadyTime now);

/// Returns how long a connection may have been idle to be reused now, at most \a usual.
///
/// Without it, when targets forget idle connections early, each non-idempotent request on one ends
/// with an unknown outcome, and its caller may not retry. Thread safety: any thread.
Model::Milliseconds idleLimitAt(const IdleLimit &limit, Model::Milliseconds usual,
                                Model::SteadyTime now);

} // namespace Policy
