#pragma once

#include "TargetChoice.h"

namespace Policy {

/// Learned processing times of one route's requests. Not shared between threads.
struct WorkTimes
{
    double warmUs_ = 0;
    double coldUs_ = 0;
};

/// Initial estimates as fractions of the latency goal: operators set goals between the warm and the
/// cold time.
constexpr double initialWarmFraction = 0.4;
constexpr double initialColdFraction = 1.2;

/// Weight of one measurement in the moving averages: about the last twenty count.
constexpr double workTimeWeight = 0.05;

/// Returns the estimate before the first measurement. Thread safety: any thread.
WorkTimes initialWorkTimes(Model::Milliseconds latencyGoal);

/// Records how long a target worked on a request. If \a isKnownWarm is false, updates the nearer of
/// the two averages. Thread safety: \a times belongs to the calling thread.
void learnWorkTime(WorkTimes &times, Model::Microseconds worked, bool isKnownWarm);

/// Bounds of the estimated retention time of an object.
constexpr Model::Milliseconds minRetention{1000};
constexpr Model::Milliseconds maxRetention{120000};

/// Initial estimate. An entry may have started alone, among targets that others use, or with the
/// whole site; the first twenty answers show which.
constexpr double initialPeerWarmth = 0.5;

/// Probability that a target has an object that this entry has not sent there yet, learned per
/// route from how long the answers took. Not shared between threads.
struct PeerWarmth
{
    /// At the object's home, where other entries of the region send it too.
    double atHome_ = initialPeerWarmth;
    /// At the object's home for callers of another region. Some objects are requested by one
    /// region's callers alone: if such a target were considered warm, it would be chosen when the
    /// home is busy and take several times as long as expected.
    double atRemoteHome_ = initialPeerWarmth;
};

/// Returns whether \a worked is a warm processing time. Thread safety: any thread.
bool looksWarm(const WorkTimes &times, Model::Microseconds worked);

/// Updates \a warmth, a member of PeerWarmth, with an answer that took \a worked. Thread safety:
/// \a warmth belongs to the calling thread.
void learnWarmth(double &warmth, const WorkTimes &times, Model::Microseconds worked);

/// Estimated time for which the targets of a service retain an object that is not requested,
/// learned from their answers. Not shared between threads.
struct ObjectRetention
{
    Model::Milliseconds kept_ = maxRetention;
};

/// Records whether an object was warm at a target that last handled it \a age ago.
///
/// If objects were considered retained for ever, a service would stay at three times its usual
/// times long after an overload: targets retain some dozens of objects, and under load each
/// off-owner request evicts another object, so that both are loaded again and again while they are
/// considered warm. Thread safety: \a memory belongs to the calling thread.
void learnRetention(ObjectRetention &memory, Model::Milliseconds age, bool wasWarm);

/// A target's answer times relative to the expected times, and its failure rate. Not shared between
/// threads.
struct TargetPace
{
    double slowness_ = 1;
    double failureRate_ = 0;
    Model::SteadyTime changedAt_;
};

/// Weight of one answer in a target's pace: three slow answers in a row mark it as slow.
constexpr double paceWeight = 0.3;
constexpr double maxSlowness = 20;

/// Half-life of slowness and failure rate, so that a slow target still gets a request now and then
/// that shows its current pace. Without the decay, a target that was slow once would never get
/// another request.
constexpr Model::Milliseconds paceHalfLife{2000};

/// Returns the pace at \a now, decayed towards that of a healthy target. Thread safety: any thread.
TargetPace paceAt(const TargetPace &pace, Model::SteadyTime now);

/// Records an answer that took \a worked where \a expected was expected; or a refusal or failure.
/// Thread safety: \a pace belongs to the calling thread.
void learnAnswer(TargetPace &pace, Model::Microseconds worked, Model::Microseconds expected,
                 Model::SteadyTime now);
void learnFailure(TargetPace &pace, Model::SteadyTime now);

/// A request without an answer counts against its target once it is older than this many times its
/// expected time.
constexpr double silenceFactor = 2;

/// Returns the slowness of a target with an unanswered request of \a age where \a expected was
/// expected; 1 while that is within the normal range.
///
/// Without it, a target that lost power is not detected, because slowness is learned from answers
/// only. Each entry sends it request after request until their number alone makes it look full, and
/// each of them waits until its deadline. Thread safety: any thread.
double slownessBySilence(Model::Microseconds age, Model::Microseconds expected);

/// Retry state of a target that could not be reached. Not shared between threads.
struct Reachability
{
    int failures_ = 0;
    Model::SteadyTime retryAt_;
    /// A probe request is in flight; no other request is sent until it ends.
    bool isProbed_ = false;
};

constexpr Model::Milliseconds initialRetryDelay{500};
constexpr Model::Milliseconds maxRetryDelay{4000};

/// Records that no connection could be made, or that the target answered. Thread safety: \a state
/// belongs to the calling thread.
void noteUnreachable(Reachability &state, Model::SteadyTime now);
void noteReached(Reachability &state);

/// Returns whether a request may be sent to the target.
///
/// Without the single probe, each time the retry delay ends a dozen requests go to a failed target
/// at once, and each loses the time of a connection attempt. Thread safety: any thread.
bool mayTry(const Reachability &state, Model::SteadyTime now);
/// Records that a request is sent to the target. Thread safety: as noteReached().
void noteTry(Reachability &state);

/// Returns the timeout for a new connection over a round trip of \a roundTrip.
///
/// Two round trips and some processing time. A lost first packet is sent again only after a second,
/// so a new attempt is faster than waiting. Thread safety: any thread.
Model::Milliseconds connectionTimeout(Model::Microseconds roundTrip);

} // namespace Policy
