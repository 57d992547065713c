#include "CrashGuard.h"

#include <LibObserve/LibObserve.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Entryd {

using Model::Milliseconds;
using Model::SteadyTime;
using nlohmann::json;
using Observe::Event;
using Policy::RequestPrint;
using Policy::RequestStanding;

namespace {

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

std::string_view textOf(Http::beast::string_view text)
{
    return {text.data(), text.size()};
}

/// Callers name entries by address, so the host says nothing of what they ask for.
Policy::RequestText textOf(const CallerRequest &request)
{
    Policy::RequestText text;
    text.method_ = textOf(request.message_.method_string());
    text.target_ = textOf(request.message_.target());
    text.body_ = request.message_.body();
    text.caller_ = request.caller_.value();
    return text;
}

std::uint32_t headOf(CallerRequest &request)
{
    if (!request.head_)
        request.head_ = Policy::headOf(textOf(request));
    return *request.head_;
}

const RequestPrint &printOf(CallerRequest &request)
{
    if (!request.print_)
        request.print_ = Policy::printOf(textOf(request), headOf(request));
    return *request.print_;
}

} // namespace

bool CrashGuard::mayBeSuspect(CallerRequest &request) const
{
    return !isEmpty_ && view_.read([&](const Policy::CrashView *view) {
        return view && view->mayHold(headOf(request));
    });
}

std::optional<Milliseconds> CrashGuard::check(CallerRequest &request, int attempts, SteadyTime now)
{
    if (!mayBeSuspect(request))
        return std::nullopt;
    const RequestPrint &print = printOf(request);
    const auto found = view_.read([&](const Policy::CrashView *view) {
        return Policy::standingOf(*view, print, now);
    });
    Milliseconds comeBack = Policy::comeBackFromTrial;
    switch (found.standing_) {
    case RequestStanding::Free:
        return std::nullopt;
    case RequestStanding::Trial:
        // What lost a target beside another request is sent on all the same.
        if (request.isOnTrial_ || attempts > 0)
            return std::nullopt;
        request.isOnTrial_ = !isTrialHeld_.exchange(true);
        if (request.isOnTrial_)
            return std::nullopt;
        break;
    case RequestStanding::Pending:
    case RequestStanding::Quarantined:
        comeBack = std::chrono::duration_cast<Milliseconds>(found.until_ - now) + Milliseconds(1);
        break;
    }
    ++kept_;
    return comeBack;
}

void CrashGuard::release(CallerRequest &request)
{
    if (std::exchange(request.isOnTrial_, false))
        isTrialHeld_ = false;
}

bool CrashGuard::noteLost(CallerRequest &request, const TargetState &target, SteadyTime now)
{
    // The end of a target that leaves is no crash.
    if (target.isLeaving_)
        return false;
    const RequestPrint &print = printOf(request);
    const std::lock_guard lock(mutex_);
    hasLosses_ = true;
    Losses &losses = losses_[target.target_.id_];
    const Model::Incarnation incarnation(target.incarnation_);
    if (losses.incarnation_ != incarnation || now - losses.lostAt_ > Policy::lossMemory)
        losses = {};
    losses.incarnation_ = incarnation;
    losses.lostAt_ = now;
    if (losses.prints_.size() < Policy::mostSuspects)
        losses.prints_.push_back(print);
    std::string name(textOf(request.message_.method_string()));
    name += " " + std::string(textOf(request.message_.target()));
    Policy::remember(names_, print, name + " of " + request.caller_.value());
    if (losses.hasEnded_) {
        recordEnd(target, losses, now);
        return false;
    }
    return !std::exchange(losses.isKnockedAt_, true);
}

void CrashGuard::noteListening(const TargetState &target, Http::Listening listening, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    const auto found = losses_.find(target.target_.id_);
    if (found == losses_.end())
        return;
    found->second.isKnockedAt_ = false;
    if (listening == Http::Listening::No)
        recordEnd(target, found->second, now);
}

void CrashGuard::noteAlive(const TargetState &target, SteadyTime now)
{
    if (!hasLosses_)
        return;
    const std::lock_guard lock(mutex_);
    const auto found = losses_.find(target.target_.id_);
    if (found == losses_.end())
        return;
    Losses &losses = found->second;
    const bool isOtherRun = losses.incarnation_.value() != 0
                            && losses.incarnation_ != Model::Incarnation(target.incarnation_);
    if (isOtherRun && now - losses.lostAt_ <= Policy::lossMemory)
        recordEnd(target, losses, now);
    if (isOtherRun)
        losses_.erase(found);
}

void CrashGuard::recordEnd(const TargetState &target, Losses &losses, SteadyTime now)
{
    if (!std::exchange(losses.hasEnded_, true)) {
        ++endedTargets_;
        Observe::logEvent(
            Event::TargetEnded,
            {{"target", target.target_.id_.value()},
             {"in_progress", std::to_string(losses.prints_.size())},
             {"print", losses.prints_.empty() ? "" : toText(losses.prints_.front())}});
    }
    Policy::noteEnded(book_, Policy::runKeyOf(target.target_.id_, losses.incarnation_),
                      losses.prints_, now);
    losses.prints_.clear();
    isStale_ = true;
    ++changes_;
}

void CrashGuard::noteAnswered(CallerRequest &request, SteadyTime now)
{
    if (!mayBeSuspect(request))
        return;
    const RequestPrint &print = printOf(request);
    const std::lock_guard lock(mutex_);
    const bool wasChanged = std::exchange(book_.isChanged_, false);
    if (Policy::noteAnswered(book_, print, now)) {
        Observe::logEvent(Event::QuarantineLifted, {{"print", toText(print)}, {"by", "answer"}});
    }
    changes_ += book_.isChanged_ ? 1 : 0;
    isStale_ |= book_.isChanged_;
    book_.isChanged_ |= wasChanged;
}

void CrashGuard::hear(const Policy::CrashNews &news, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    isStale_ |= Policy::takeIn(book_, news, now);
}

Policy::CrashNews CrashGuard::news(SteadyTime now) const
{
    const std::lock_guard lock(mutex_);
    return Policy::newsOf(book_, now);
}

void CrashGuard::step(SteadyTime now)
{
    std::unique_ptr<Policy::CrashView> view;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(losses_, [&](const auto &entry) {
            return now - entry.second.lostAt_ > Policy::lossMemory;
        });
        hasLosses_ = !losses_.empty();
        if (!isStale_ && book_.pending_.empty() && now - judgedAt_ <= Policy::reviewPause)
            return;
        judgedAt_ = now;
        isStale_ = false;
        const auto verdicts = Policy::judge(book_, now);
        for (const auto &print : verdicts.quarantined_) {
            Observe::logEvent(
                Event::RequestQuarantined,
                {{"print", toText(print)}, {"request", Policy::nameOf(names_, print)}});
        }
        for (const auto &print : verdicts.lifted_) {
            Observe::logEvent(
                Event::QuarantineLifted,
                {{"print", toText(print)}, {"by", "another request explains its ends"}});
        }
        changes_ += verdicts.quarantined_.size() + verdicts.lifted_.size();
        view = std::make_unique<Policy::CrashView>(Policy::viewOf(book_, now));
        if (view->isEmpty() && isEmpty_)
            return;
    }
    const bool isEmpty = view->isEmpty();
    view_.publish(std::move(view));
    isEmpty_ = isEmpty;
}

std::string CrashGuard::listText() const
{
    const auto now = steadyNow();
    const std::lock_guard lock(mutex_);
    json quarantined = json::array();
    for (const auto &[print, quarantine] : book_.quarantines_) {
        const auto left = Policy::inForceUntil(quarantine) - now;
        if (left <= SteadyTime::duration(0))
            continue;
        quarantined.push_back(
            {{"print", toText(print)},
             {"request", Policy::nameOf(names_, print)},
             {"generation", quarantine.generation_},
             {"left_ms", std::chrono::duration_cast<Milliseconds>(left).count()}});
    }
    const json all = {{"quarantined", std::move(quarantined)}};
    return all.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

bool CrashGuard::lift(const RequestPrint &print)
{
    const std::lock_guard lock(mutex_);
    if (!Policy::liftQuarantine(book_, print, steadyNow())) {
        Model::fail(Model::ResultCode::UnknownRow, "no quarantine of " + toText(print));
        return false;
    }
    Observe::logEvent(Event::QuarantineLifted, {{"print", toText(print)}, {"by", "operator"}});
    isStale_ = true;
    ++changes_;
    return true;
}

std::size_t CrashGuard::quarantined() const
{
    const auto now = steadyNow();
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(book_.quarantines_.begin(), book_.quarantines_.end(), [&](const auto &entry) {
            return Policy::inForceUntil(entry.second) > now;
        }));
}

} // namespace Entryd
