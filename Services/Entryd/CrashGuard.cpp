#include "CrashGuard.h"

#include <LibObserve/LibObserve.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Entryd {

using Model::Milliseconds;
using Model::SteadyTime;
using nlohmann::json;
using Observe::Event;
using Policy::RequestFingerprint;
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

/// Leaves out the host: callers address entries, so it does not identify the requested resource.
Policy::RequestText textOf(const CallerRequest &request)
{
    Policy::RequestText text;
    text.method_ = textOf(request.message_.method_string());
    text.target_ = textOf(request.message_.target());
    text.body_ = request.message_.body();
    text.caller_ = request.caller_.value();
    return text;
}

std::uint32_t cachedFingerprintPrefix(CallerRequest &request)
{
    if (!request.cachedFingerprintPrefix_)
        request.cachedFingerprintPrefix_ = Policy::fingerprintPrefixOf(textOf(request));
    return *request.cachedFingerprintPrefix_;
}

const RequestFingerprint &cachedFingerprint(CallerRequest &request)
{
    if (!request.cachedFingerprint_) {
        request.cachedFingerprint_
            = Policy::fingerprintOf(textOf(request), cachedFingerprintPrefix(request));
    }
    return *request.cachedFingerprint_;
}

} // namespace

bool CrashGuard::mayBeSuspect(CallerRequest &request) const
{
    return !isEmpty_ && view_.read([&](const Policy::CrashView *view) {
        return view && view->mayHold(cachedFingerprintPrefix(request));
    });
}

std::optional<Milliseconds> CrashGuard::check(CallerRequest &request, int attempts, SteadyTime now)
{
    if (!mayBeSuspect(request))
        return std::nullopt;
    const RequestFingerprint &fingerprint = cachedFingerprint(request);
    const auto found = view_.read([&](const Policy::CrashView *view) {
        return Policy::standingOf(*view, fingerprint, now);
    });
    Milliseconds retryDelay = Policy::serializedProbeRetryDelay;
    switch (found.standing_) {
    case RequestStanding::Free:
        return std::nullopt;
    case RequestStanding::SerializedProbe:
        // A retried request, which may only have shared the lost target with the suspect one, is
        // still sent.
        if (request.isSerializedProbe_ || attempts > 0)
            return std::nullopt;
        request.isSerializedProbe_ = !isProbeInProgress_.exchange(true);
        if (request.isSerializedProbe_)
            return std::nullopt;
        break;
    case RequestStanding::Pending:
    case RequestStanding::Quarantined:
        retryDelay = std::chrono::duration_cast<Milliseconds>(found.until_ - now) + Milliseconds(1);
        break;
    }
    ++refusedRequests_;
    return retryDelay;
}

void CrashGuard::releaseProbe(CallerRequest &request)
{
    if (std::exchange(request.isSerializedProbe_, false))
        isProbeInProgress_ = false;
}

bool CrashGuard::noteLost(CallerRequest &request, const TargetState &target, SteadyTime now)
{
    // The exit of a leaving target is not a crash.
    if (target.isLeaving_)
        return false;
    const RequestFingerprint &fingerprint = cachedFingerprint(request);
    const std::lock_guard lock(mutex_);
    hasLosses_ = true;
    LostConnections &losses = losses_[target.target_.id_];
    const Model::Incarnation incarnation(target.incarnation_);
    if (losses.incarnation_ != incarnation || now - losses.lostAt_ > Policy::connectionLossWindow)
        losses = {};
    losses.incarnation_ = incarnation;
    losses.lostAt_ = now;
    if (losses.fingerprints_.size() < Policy::maxSuspectsPerCrash)
        losses.fingerprints_.push_back(fingerprint);
    std::string name(textOf(request.message_.method_string()));
    name += " " + std::string(textOf(request.message_.target()));
    Policy::remember(names_, fingerprint, name + " of " + request.caller_.value());
    if (losses.hasCrashed_) {
        recordCrash(target, losses, now);
        return false;
    }
    return !std::exchange(losses.isListenCheckPending_, true);
}

void CrashGuard::noteListening(const TargetState &target, Http::Listening listening, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    const auto found = losses_.find(target.target_.id_);
    if (found == losses_.end())
        return;
    found->second.isListenCheckPending_ = false;
    if (listening == Http::Listening::No)
        recordCrash(target, found->second, now);
}

void CrashGuard::noteAlive(const TargetState &target, SteadyTime now)
{
    if (!hasLosses_)
        return;
    const std::lock_guard lock(mutex_);
    const auto found = losses_.find(target.target_.id_);
    if (found == losses_.end())
        return;
    LostConnections &losses = found->second;
    const bool isOtherIncarnation
        = losses.incarnation_.value() != 0
          && losses.incarnation_ != Model::Incarnation(target.incarnation_);
    if (isOtherIncarnation && now - losses.lostAt_ <= Policy::connectionLossWindow)
        recordCrash(target, losses, now);
    if (isOtherIncarnation)
        losses_.erase(found);
}

void CrashGuard::recordCrash(const TargetState &target, LostConnections &losses, SteadyTime now)
{
    if (!std::exchange(losses.hasCrashed_, true)) {
        ++crashedTargets_;
        Observe::logEvent(
            Event::TargetEnded,
            {{"target", target.target_.id_.value()},
             {"in_progress", std::to_string(losses.fingerprints_.size())},
             {"print", losses.fingerprints_.empty() ? "" : toText(losses.fingerprints_.front())}});
    }
    Policy::noteEnded(crashRecords_,
                      Policy::targetIncarnationKeyOf(target.target_.id_, losses.incarnation_),
                      losses.fingerprints_, now);
    losses.fingerprints_.clear();
    isStale_ = true;
    ++changes_;
}

void CrashGuard::noteAnswered(CallerRequest &request, SteadyTime now)
{
    if (!mayBeSuspect(request))
        return;
    const RequestFingerprint &fingerprint = cachedFingerprint(request);
    const std::lock_guard lock(mutex_);
    const bool wasChanged = std::exchange(crashRecords_.isChanged_, false);
    if (Policy::noteAnswered(crashRecords_, fingerprint, now)) {
        Observe::logEvent(Event::QuarantineLifted,
                          {{"print", toText(fingerprint)}, {"by", "answer"}});
    }
    changes_ += crashRecords_.isChanged_ ? 1 : 0;
    isStale_ |= crashRecords_.isChanged_;
    crashRecords_.isChanged_ |= wasChanged;
}

void CrashGuard::applyUpdate(const Policy::CrashUpdate &update, SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    isStale_ |= Policy::takeIn(crashRecords_, update, now);
}

Policy::CrashUpdate CrashGuard::makeUpdate(SteadyTime now) const
{
    const std::lock_guard lock(mutex_);
    return Policy::crashUpdateFrom(crashRecords_, now);
}

void CrashGuard::step(SteadyTime now)
{
    std::unique_ptr<Policy::CrashView> view;
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(losses_, [&](const auto &entry) {
            return now - entry.second.lostAt_ > Policy::connectionLossWindow;
        });
        hasLosses_ = !losses_.empty();
        if (!isStale_ && crashRecords_.pending_.empty()
            && now - reviewedAt_ <= Policy::crashReviewInterval)
            return;
        reviewedAt_ = now;
        isStale_ = false;
        const auto decisions = Policy::judge(crashRecords_, now);
        for (const auto &fingerprint : decisions.quarantined_) {
            Observe::logEvent(
                Event::RequestQuarantined,
                {{"print", toText(fingerprint)}, {"request", Policy::nameOf(names_, fingerprint)}});
        }
        for (const auto &fingerprint : decisions.lifted_) {
            Observe::logEvent(
                Event::QuarantineLifted,
                {{"print", toText(fingerprint)}, {"by", "another request explains its ends"}});
        }
        changes_ += decisions.quarantined_.size() + decisions.lifted_.size();
        view = std::make_unique<Policy::CrashView>(Policy::viewOf(crashRecords_, now));
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
    for (const auto &[fingerprint, quarantine] : crashRecords_.quarantines_) {
        const auto left = Policy::inForceUntil(quarantine) - now;
        if (left <= SteadyTime::duration(0))
            continue;
        quarantined.push_back(
            {{"print", toText(fingerprint)},
             {"request", Policy::nameOf(names_, fingerprint)},
             {"generation", quarantine.generation_},
             {"left_ms", std::chrono::duration_cast<Milliseconds>(left).count()}});
    }
    const json all = {{"quarantined", std::move(quarantined)}};
    return all.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

bool CrashGuard::releaseQuarantine(const RequestFingerprint &fingerprint)
{
    const std::lock_guard lock(mutex_);
    if (!Policy::liftQuarantine(crashRecords_, fingerprint, steadyNow())) {
        Model::fail(Model::ResultCode::UnknownRow, "no quarantine of " + toText(fingerprint));
        return false;
    }
    Observe::logEvent(Event::QuarantineLifted,
                      {{"print", toText(fingerprint)}, {"by", "operator"}});
    isStale_ = true;
    ++changes_;
    return true;
}

std::size_t CrashGuard::quarantined() const
{
    const auto now = steadyNow();
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(
        std::count_if(crashRecords_.quarantines_.begin(), crashRecords_.quarantines_.end(),
                      [&](const auto &entry) {
                          return Policy::inForceUntil(entry.second) > now;
                      }));
}

} // namespace Entryd
