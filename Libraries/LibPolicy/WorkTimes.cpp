#include "WorkTimes.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

void blend(double &average, double value, double weight)
{
    average += (value - average) * weight;
}

} // namespace

bool looksWarm(const WorkTimes &times, Model::Microseconds worked)
{
    return static_cast<double>(worked.count()) < (times.warmUs_ + times.coldUs_) / 2;
}

WorkTimes initialWorkTimes(Model::Milliseconds latencyGoal)
{
    const auto goalUs
        = static_cast<double>(std::chrono::duration_cast<Model::Microseconds>(latencyGoal).count());
    return {goalUs * initialWarmFraction, goalUs * initialColdFraction};
}

void learnWorkTime(WorkTimes &times, Model::Microseconds worked, bool isKnownWarm)
{
    const auto value = static_cast<double>(worked.count());
    if (isKnownWarm || looksWarm(times, worked)) {
        blend(times.warmUs_, value, workTimeWeight);
    } else {
        blend(times.coldUs_, value, workTimeWeight);
    }
    // Cold work never counts as faster than warm work.
    times.coldUs_ = std::max(times.coldUs_, times.warmUs_);
}

void learnWarmth(double &warmth, const WorkTimes &times, Model::Microseconds worked)
{
    blend(warmth, looksWarm(times, worked) ? 1 : 0, workTimeWeight);
}

void learnRetention(ObjectRetention &memory, Model::Milliseconds age, bool wasWarm)
{
    // A single slow answer is weak evidence, so it shrinks the time by a tenth only. One warm
    // answer after a longer time is stronger evidence than many after a shorter one.
    if (!wasWarm && age < memory.kept_) {
        memory.kept_ = std::max(minRetention, std::max(age, memory.kept_ * 9 / 10));
    } else if (wasWarm && age > memory.kept_ / 2) {
        memory.kept_ = std::min(maxRetention, std::max(age, memory.kept_ * 21 / 20));
    }
}

TargetPace paceAt(const TargetPace &pace, Model::SteadyTime now)
{
    const double halves
        = std::max(0.0, Model::inSeconds(now - pace.changedAt_)) / Model::inSeconds(paceHalfLife);
    const double kept = std::exp2(-halves);
    return {1 + (pace.slowness_ - 1) * kept, pace.failureRate_ * kept, now};
}

void learnAnswer(TargetPace &pace, Model::Microseconds worked, Model::Microseconds expected,
                 Model::SteadyTime now)
{
    pace = paceAt(pace, now);
    const auto usual = static_cast<double>(std::max<long long>(1, expected.count()));
    const double ratio = std::clamp(static_cast<double>(worked.count()) / usual, 1.0, maxSlowness);
    blend(pace.slowness_, ratio, paceWeight);
    blend(pace.failureRate_, 0, paceWeight);
}

void learnFailure(TargetPace &pace, Model::SteadyTime now)
{
    pace = paceAt(pace, now);
    blend(pace.failureRate_, 1, paceWeight);
}

double slownessBySilence(Model::Microseconds age, Model::Microseconds expected)
{
    const auto usual = static_cast<double>(std::max<long long>(1, expected.count()));
    const double ratio = static_cast<double>(age.count()) / usual;
    return ratio < silenceFactor ? 1 : std::min(ratio, maxSlowness);
}

void noteUnreachable(Reachability &state, Model::SteadyTime now)
{
    state.isProbed_ = false;
    state.failures_ = std::min(state.failures_ + 1, 8);
    const auto delay = initialRetryDelay * (1 << (state.failures_ - 1));
    state.retryAt_ = now + std::min(delay, maxRetryDelay);
}

void noteReached(Reachability &state)
{
    state = Reachability();
}

bool mayTry(const Reachability &state, Model::SteadyTime now)
{
    return state.failures_ == 0 || (!state.isProbed_ && now >= state.retryAt_);
}

void noteTry(Reachability &state)
{
    state.isProbed_ = state.failures_ > 0;
}

Model::Milliseconds connectionTimeout(Model::Microseconds roundTrip)
{
    constexpr Model::Milliseconds processing{100};
    return processing + 2 * std::chrono::duration_cast<Model::Milliseconds>(roundTrip);
}

} // namespace Policy
