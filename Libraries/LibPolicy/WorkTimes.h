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

} // namespace Policy
