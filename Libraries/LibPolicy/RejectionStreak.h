#pragma once

#include <LibModel/LibModel.h>

namespace Policy {

/// Rejections in series by one target, without an answer between them. Not shared between threads.
struct RejectionStreak
{
    int rejections_ = 0;
    Model::SteadyTime trialAt_ = Model::distantPast;
    /// A trial request is in progress; no other request is sent until it ends.
    bool isTried_ = false;
};

/// A target that rejects this many requests in series gets trial requests only. A target that is
/// full rejects one or two requests between answers.
constexpr int maxRejectionsInSeries = 3;
/// Time until the next trial request after a rejected one; half of the usual latency goal, so that
/// a target that recovers is in use again before callers notice.
constexpr Model::Milliseconds trialInterval{400};

/// Records that the target rejected or failed a request, or that it answered one. Thread safety:
/// \a streak belongs to the calling thread.
void noteRejection(RejectionStreak &streak, Model::SteadyTime now);
void noteAccepted(RejectionStreak &streak);
/// Records that a request is sent to the target. Thread safety: as above.
void noteTrial(RejectionStreak &streak);
/// Records that a request ended without showing whether the target takes work. Thread safety: as
/// above.
void releaseTrial(RejectionStreak &streak);

/// Returns whether a request may be sent to the target now.
///
/// Without it, a target that rejects all requests beside a good health check stays the owner of its
/// objects: a rejection costs less time than a cold load elsewhere, so each request for them is
/// rejected first. Thread safety: any thread.
bool mayTryRejecting(const RejectionStreak &streak, Model::SteadyTime now);

/// Fraction of rejected and failed requests at the targets of a service. Not shared between
/// threads.
struct CommonFailureRate
{
    double rate_ = 0;
};

/// Weight of one result in the rate: about the last thirty count, those of half a second at an
/// instance with 60 requests a second.
constexpr double commonFailureWeight = 0.03;
/// Below this rate, failures are those of single targets.
constexpr double minCommonFailureRate = 0.25;

/// Records whether a target of the service rejected or failed a request. Thread safety: \a rate
/// belongs to the calling thread.
void noteResult(CommonFailureRate &rate, bool isFailure);

/// Returns whether a large part of the service's requests is rejected or fails, whatever the
/// target.
///
/// Without it, an instance refuses requests on its own while every target rejects a part of them:
/// the expected delay of a rejection exceeds the latency goal at each target. Thread safety: any
/// thread.
bool isFailureCommon(const CommonFailureRate &rate);

/// Returns the failure rate of a target by which it is worse than the service's targets on average.
/// Thread safety: any thread.
double excessFailureRate(double ofTarget, const CommonFailureRate &rate);

} // namespace Policy
