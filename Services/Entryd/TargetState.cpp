#include "TargetState.h"

#include <LibObserve/LibObserve.h>
#include <algorithm>

namespace Entryd {

namespace {

constexpr std::int64_t suspectAfterFailures = 3;
/// A new latency enters the moving average with a weight of one over this number.
constexpr std::int64_t latencyWeightDivisor = 8;

std::int64_t microsecondsOf(Model::SteadyTime time)
{
    return std::chrono::duration_cast<Model::Microseconds>(time.time_since_epoch()).count();
}

Model::Milliseconds age(std::int64_t sinceUs, Model::SteadyTime now)
{
    const Model::Microseconds passed(microsecondsOf(now) - sinceUs);
    return std::chrono::duration_cast<Model::Milliseconds>(passed);
}

bool isOverLimit(const TargetState &state, Model::SteadyTime now)
{
    const std::int64_t interval = state.limitIntervalUs_;
    return interval != 0 && microsecondsOf(now) - state.limitUsedAtUs_ < interval;
}

/// Sets the window of a pause, and its end unless another thread has noted a later one.
void setPause(TargetState &state, const Policy::TargetPause &pause)
{
    const std::int64_t until = microsecondsOf(pause.until_);
    std::int64_t known = state.pauseUntilUs_;
    while (known < until && !state.pauseUntilUs_.compare_exchange_weak(known, until)) { }
    state.returnWindow_ = pause.returnWindow_.value_or(noReturnWindow);
}

void notePause(TargetState &state, const TargetReport &report, Model::SteadyTime now)
{
    Policy::TargetPause pause = pauseOf(state);
    if (report.pause_ > Model::Microseconds(0)) {
        Policy::notePause(pause, report.pause_, Policy::returnWindowBeforeProbe, now);
        setPause(state, pause);
    } else if (pause.returnWindow_ && !report.isRefusal_) {
        Policy::noteAnswerAfterPause(pause, state.target_.slots_.value(), now);
        setPause(state, pause);
    }
}

} // namespace

Policy::TargetPause pauseOf(const TargetState &state)
{
    Policy::TargetPause pause;
    pause.until_ = Model::SteadyTime(Model::Microseconds(state.pauseUntilUs_));
    const std::int64_t window = state.returnWindow_;
    if (window != noReturnWindow)
        pause.returnWindow_ = window;
    return pause;
}

void carryTerms(const TargetState &from, TargetState &to)
{
    to.incarnation_ = from.incarnation_.load();
    to.isLeaving_ = from.isLeaving_.load();
    to.limit_ = from.limit_.load();
    to.limitIntervalUs_ = from.limitIntervalUs_.load();
    to.limitUsedAtUs_ = from.limitUsedAtUs_.load();
    to.pauseUntilUs_ = from.pauseUntilUs_.load();
    to.returnWindow_ = from.returnWindow_.load();
}

Policy::TargetView viewOf(const TargetState &state, Model::SteadyTime now)
{
    Policy::TargetView view;
    view.slots_ = state.target_.slots_.value();
    view.ownInFlight_ = state.ownInFlight_;
    view.reportedInFlight_ = state.reportedInFlight_;
    view.ownInFlightAtReport_ = state.ownInFlightAtReport_;
    view.reportAge_ = age(state.reportedAtUs_, now);
    if (age(state.peerLoadAtUs_, now) < hintTtl)
        view.peersInFlight_ = state.peersInFlight_;
    view.latency_ = Model::Microseconds(state.latencyUs_);
    view.inUseFor_ = age(state.inUseSinceUs_, now);
    view.isSuspect_ = state.isSuspect_;
    view.isLeaving_ = state.isLeaving_;
    view.isOverLimit_ = isOverLimit(state, now);
    const Policy::TargetPause pause = pauseOf(state);
    view.pauseLeft_ = Policy::pauseLeft(pause, now);
    view.returnWindow_ = pause.returnWindow_;
    return view;
}

std::vector<Policy::TargetView> viewsOf(const std::vector<std::shared_ptr<TargetState>> &targets,
                                        Model::SteadyTime now)
{
    std::vector<Policy::TargetView> views;
    views.reserve(targets.size());
    for (const auto &target : targets)
        views.push_back(viewOf(*target, now));
    return views;
}

void noteLimit(TargetState &state, std::optional<Model::RequestsPerSecond> limit,
               Model::SteadyTime now)
{
    const double rate = limit ? std::max(*limit, Policy::minTargetLimit).value() : 0;
    const double before = state.limit_.exchange(rate);
    if ((before > 0) == (rate > 0))
        return;
    const std::string &target = state.target_.id_.value();
    if (rate > 0) {
        state.limitUsedAtUs_ = microsecondsOf(now);
        state.limitIntervalUs_ = noLimitPart;
        Observe::logEvent(Observe::Event::TargetLimited,
                          {{"target", target}, {"per_second", std::to_string(rate)}});
    } else {
        state.limitIntervalUs_ = 0;
        Observe::logEvent(Observe::Event::TargetLimitEnded, {{"target", target}});
    }
}

void setLimitPart(TargetState &state, Model::RequestsPerSecond part)
{
    const auto interval = Policy::limitInterval(part);
    state.limitIntervalUs_ = interval ? interval->count() : noLimitPart;
    // The limit may have ended meanwhile on another thread.
    if (state.limit_ <= 0)
        state.limitIntervalUs_ = 0;
}

bool takeFromLimit(TargetState &state, Model::SteadyTime now)
{
    const std::int64_t interval = state.limitIntervalUs_;
    if (interval == 0)
        return true;
    std::int64_t usedAt = state.limitUsedAtUs_;
    const std::int64_t nowUs = microsecondsOf(now);
    return nowUs - usedAt >= interval
           && state.limitUsedAtUs_.compare_exchange_strong(usedAt, nowUs);
}

void noteSend(TargetState &state, Model::SteadyTime now)
{
    state.sentAtUs_ = microsecondsOf(now);
}

void logLeaving(const TargetState &state, std::string_view by, Model::SteadyTime now)
{
    const std::int64_t sentAt = state.sentAtUs_;
    const std::int64_t answeredAt = state.answeredAtUs_;
    const auto ms = [](std::int64_t fromUs, std::int64_t toUs) {
        constexpr std::int64_t usInMs = 1000;
        return std::to_string(fromUs == 0 ? -1 : (toUs - fromUs) / usInMs);
    };
    Observe::logEvent(Observe::Event::TargetLeaving,
                      {{"target", state.target_.id_.value()},
                       {"by", std::string(by)},
                       {"in_progress", std::to_string(state.ownInFlight_)},
                       {"sent_ms_ago", ms(sentAt, microsecondsOf(now))},
                       {"heard_ms_before", ms(answeredAt, sentAt)}});
}

bool noteReport(TargetState &state, const TargetReport &report, Model::SteadyTime now)
{
    if (report.inFlight_ >= 0) {
        state.reportedInFlight_ = report.inFlight_;
        state.ownInFlightAtReport_ = state.ownInFlight_.load();
        state.reportedAtUs_ = microsecondsOf(now);
    }
    const std::uint64_t incarnation = report.incarnation_.value();
    const std::uint64_t before = state.incarnation_.exchange(incarnation);
    const bool isNewIncarnation = incarnation != 0 && before != 0 && before != incarnation;
    if (isNewIncarnation) {
        // A new incarnation has cold caches, and leaving markers of the previous one are void.
        state.inUseSinceUs_ = microsecondsOf(now);
        state.isLeaving_ = false;
        state.pauseUntilUs_ = 0;
        state.returnWindow_ = noReturnWindow;
    }
    noteLimit(state, report.limit_, now);
    notePause(state, report, now);
    if (!report.isDraining_)
        return false;
    return !state.isLeaving_.exchange(true);
}

void noteLatency(TargetState &state, Model::Microseconds latency)
{
    const std::int64_t before = state.latencyUs_;
    const std::int64_t step = (latency.count() - before) / latencyWeightDivisor;
    state.latencyUs_ = before == 0 ? latency.count() : before + step;
}

void noteFull(TargetState &state, Model::SteadyTime now)
{
    // The refusal overrides the target's own load report.
    const std::int64_t own = state.ownInFlight_;
    state.ownInFlightAtReport_ = own;
    state.reportedInFlight_ = std::max(own, state.target_.slots_.value()) + 1;
    state.reportedAtUs_ = microsecondsOf(now);
}

void noteTaken(TargetState &state, Model::SteadyTime now)
{
    const Policy::TargetView view = viewOf(state, now);
    state.ownInFlightAtReport_ = view.ownInFlight_;
    state.reportedInFlight_ = Policy::likelyInFlight(view) + 1;
    state.reportedAtUs_ = microsecondsOf(now);
    ++state.peersInFlight_;
}

void noteFreed(TargetState &state, Model::SteadyTime now)
{
    const std::int64_t own = state.ownInFlight_;
    state.ownInFlightAtReport_ = own;
    state.reportedInFlight_ = std::max(own, state.target_.slots_.value() - 1);
    state.reportedAtUs_ = microsecondsOf(now);
    --state.peersInFlight_;
}

void notePeerLoad(TargetState &state, std::int64_t inFlight, Model::SteadyTime now)
{
    state.peersInFlight_ = inFlight;
    state.peerLoadAtUs_ = microsecondsOf(now);
}

bool noteFailure(TargetState &state, bool isCertain)
{
    const std::int64_t failures = ++state.consecutiveFailures_;
    if (!isCertain && failures < suspectAfterFailures)
        return false;
    return !state.isSuspect_.exchange(true);
}

bool noteAlive(TargetState &state, Model::SteadyTime now)
{
    state.consecutiveFailures_ = 0;
    state.answeredAtUs_ = microsecondsOf(now);
    if (!state.isSuspect_.exchange(false))
        return false;
    state.inUseSinceUs_ = microsecondsOf(now);
    return true;
}

} // namespace Entryd
