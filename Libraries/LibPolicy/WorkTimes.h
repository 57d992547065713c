#pragma once

#include "TargetChoice.h"

namespace Policy {

/// What was learned of the work of one route's requests. Not shared between threads.
struct WorkTimes
{
    double warmUs_ = 0;
    double coldUs_ = 0;
};

/// Until work was seen, a warm answer is taken to need this part of the latency goal, and a cold
/// one that part: operators set goals between the two.
constexpr double firstWarmPart = 0.4;
constexpr double firstColdPart = 1.2;

/// Weight of one measurement in the moving averages: the last twenty or so count.
constexpr double workTimeWeight = 0.05;

/// Returns what is known before anything was measured. Thread safety: any thread.
WorkTimes firstWorkTimes(Model::Milliseconds latencyGoal);

/// Takes in how long a target worked on a request. Where it is not known whether the target had
/// handled the object, the nearer of the two averages learns. Thread safety: \a times belongs to
/// the calling thread.
void learnWorkTime(WorkTimes &times, Model::Microseconds worked, bool isKnownWarm);

/// Bounds of the time for which an object is taken to be kept.
constexpr Model::Milliseconds shortestKept{1000};
constexpr Model::Milliseconds longestKept{120000};

/// Until it was seen: an entry may have started alone, among targets that others use, or with the
/// whole site. The first twenty answers say which.
constexpr double firstOthersWarmth = 0.5;

/// How likely a target has an object that this entry has not sent there yet, learned for one route
/// from how long the answers took. Not shared between threads.
struct OthersWarmth
{
    /// At the object's home, where other entries of the region send it too.
    double atHome_ = firstOthersWarmth;
    /// Where the object has its home for callers of another region. Objects may be those of one
    /// region's callers alone: taken for warm, such a target is chosen where the home is busy
    /// and takes several times as long as was expected.
    double elsewhere_ = firstOthersWarmth;
};

/// Tells whether work that took \a worked found its object in place. Thread safety: any thread.
bool looksWarm(const WorkTimes &times, Model::Microseconds worked);

/// Takes in what an answer showed of \a warmth, a member of OthersWarmth: it came in \a worked.
/// Thread safety: \a warmth belongs to the calling thread.
void learnWarmth(double &warmth, const WorkTimes &times, Model::Microseconds worked);

/// How long the targets of a service keep what they loaded of an object that nobody asks for, as
/// answers show. Not shared between threads.
struct ObjectMemory
{
    Model::Milliseconds kept_ = longestKept;
};

/// Takes in that an object was warm, or not, at a target that had it \a age ago.
///
/// What goes wrong with the belief that it is kept for ever: targets keep some dozens of objects;
/// under load each one that strays pushes out another, both are loaded again and again while they
/// are believed to be warm, and the service stays at three times its usual times long after the
/// cause has gone. Thread safety: \a memory belongs to the calling thread.
void learnKept(ObjectMemory &memory, Model::Milliseconds age, bool wasWarm);

/// How one target compares with what its requests were expected to take. Not shared between
/// threads.
struct TargetPace
{
    double slowness_ = 1;
    double failureRate_ = 0;
    Model::SteadyTime changedAt_;
};

/// Weight of one answer in a target's pace: three slow answers in a row show it.
constexpr double paceWeight = 0.3;
constexpr double mostSlowness = 20;

/// What was held against a target halves in this time, so that it gets a request now and then that
/// shows how it does; without it, a target that was slow once would never be asked again.
constexpr Model::Milliseconds paceHalfLife{2000};

/// Returns the pace as it stands at \a now, faded towards that of a sound target.
/// Thread safety: any thread.
TargetPace paceAt(const TargetPace &pace, Model::SteadyTime now);

/// Takes in an answer that took \a worked where \a expected was expected; or a refusal or failure.
/// Thread safety: \a pace belongs to the calling thread.
void learnAnswer(TargetPace &pace, Model::Microseconds worked, Model::Microseconds expected,
                 Model::SteadyTime now);
void learnFailure(TargetPace &pace, Model::SteadyTime now);

/// A request that has been out for so many times its expected time speaks against its target before
/// it is answered.
constexpr double silenceFactor = 2;

/// Returns how slow a target looks by a request that has been out for \a age where \a expected was
/// expected: 1 until that says anything.
///
/// What goes wrong without it: a target that lost power answers nothing, so nothing is learned from
/// its answers; each entry sends it request after request until their number alone makes it look
/// full, and each of them waits out its deadline. Thread safety: any thread.
double slownessBySilence(Model::Microseconds age, Model::Microseconds expected);

/// When a target that could not be reached is tried again. Not shared between threads.
struct Reachability
{
    int failures_ = 0;
    Model::SteadyTime retryAt_;
    /// One request is on its way to find out; no other one goes with it.
    bool isProbed_ = false;
};

constexpr Model::Milliseconds firstRetryPause{500};
constexpr Model::Milliseconds longestRetryPause{4000};

/// Takes in that no connection could be made, or that the target answered.
/// Thread safety: \a state belongs to the calling thread.
void noteUnreachable(Reachability &state, Model::SteadyTime now);
void noteReached(Reachability &state);

/// Tells whether a request may go to the target.
///
/// What goes wrong without the single probe: each time that the pause ends a dozen requests go to
/// a dead target at once and lose the time of a connection attempt. Thread safety: any thread.
bool mayTry(const Reachability &state, Model::SteadyTime now);
/// Notes that a request goes to the target. Thread safety: as noteReached().
void noteTry(Reachability &state);

/// Returns how long to wait for a new connection over a round trip of \a roundTrip.
///
/// Two round trips and some processing: a first packet that was lost is sent again only after a
/// second, so a new attempt is sooner than waiting. Thread safety: any thread.
Model::Milliseconds connectPatience(Model::Microseconds roundTrip);

} // namespace Policy
