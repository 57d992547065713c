#include "CrashGuard.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace Steering {

using Model::Milliseconds;
using Model::ResultCode;
using Model::SteadyTime;
using nlohmann::json;
using Observe::Event;
using Policy::RequestFingerprint;
using Policy::RequestStanding;

namespace {

long long millisecondsOf(Model::WallTime time)
{
    return time.time_since_epoch().count();
}

} // namespace

CrashGuard::CrashGuard(const PlatformPort &port, Observe::DecisionLog &log)
    : port_(port)
    , log_(log)
{
}

std::optional<Refusal> CrashGuard::check(RequestContext &request, SteadyTime now)
{
    if (view_.isEmpty() || !view_.mayHold(fingerprintPrefixFor(request, port_.headers_)))
        return std::nullopt;
    const auto found = Policy::standingOf(view_, fingerprintFor(request, port_.headers_), now);
    Refusal refusal{ResultCode::Quarantined, Policy::serializedProbeRetryDelay,
                    Model::Microseconds(0)};
    switch (found.standing_) {
    case RequestStanding::Free:
        return std::nullopt;
    case RequestStanding::SerializedProbe:
        // A retry is still sent: the request may have been lost to a crash that another request
        // caused.
        if (request.holdsProbeSlot_ || request.attempts_ > 0)
            return std::nullopt;
        request.holdsProbeSlot_ = !std::exchange(isProbeSlotTaken_, true);
        if (request.holdsProbeSlot_)
            return std::nullopt;
        break;
    case RequestStanding::Pending:
    case RequestStanding::Quarantined:
        refusal.retryAfter_
            = std::chrono::duration_cast<Milliseconds>(found.until_ - now) + Milliseconds(1);
        break;
    }
    ++kept_;
    return refusal;
}

void CrashGuard::release(RequestContext &request)
{
    if (request.holdsProbeSlot_)
        isProbeSlotTaken_ = false;
    request.holdsProbeSlot_ = false;
}

void CrashGuard::recordLoss(RequestContext &request,
                            const std::shared_ptr<TargetState> &sharedTarget, SteadyTime now)
{
    TargetState &target = *sharedTarget;
    if (std::find(targetsWithLosses_.begin(), targetsWithLosses_.end(), sharedTarget)
        == targetsWithLosses_.end())
        targetsWithLosses_.push_back(sharedTarget);
    const bool isFirst = now - target.lastLossAt_ > Policy::connectionLossWindow;
    if (isFirst)
        target.lostRequests_.clear();
    Policy::noteConnectionLost(target.bytes_, isFirst);
    target.lastLossAt_ = now;
    if (target.lostRequests_.size() < Policy::maxSuspectsPerCrash)
        target.lostRequests_.push_back(fingerprintFor(request, port_.headers_));
    const auto &message = request.incoming_->message_;
    std::string name(message.method_string());
    name += " " + std::string(message[Http::http::field::host]) + std::string(message.target());
    Policy::remember(requestNames_, fingerprintFor(request, port_.headers_), std::move(name));
}

bool CrashGuard::noteLost(RequestContext &request, const std::shared_ptr<TargetState> &sharedTarget,
                          SteadyTime now)
{
    TargetState &target = *sharedTarget;
    // A leaving target that stops is no crash.
    if (target.record_.isLeaving_ || target.removedRegistration_)
        return false;
    recordLoss(request, sharedTarget, now);
    if (target.hasEnded_ || target.isReplaced_) {
        noteEnded(target, now);
        return false;
    }
    return !std::exchange(target.isListenProbePending_, true);
}

void CrashGuard::noteCancelled(RequestContext &request, const std::shared_ptr<TargetState> &target,
                               SteadyTime now)
{
    if (!target->record_.isLeaving_ && !target->removedRegistration_)
        recordLoss(request, target, now);
}

void CrashGuard::noteListening(TargetState &target, Http::Listening listening, SteadyTime now)
{
    target.isListenProbePending_ = false;
    if (listening != Http::Listening::No)
        return;
    noteEnded(target, now);
}

void CrashGuard::noteEnded(TargetState &target, SteadyTime now)
{
    const bool isNew = !std::exchange(target.hasEnded_, true);
    if (target.lostRequests_.empty() || now - target.lastLossAt_ > Policy::connectionLossWindow)
        return;
    if (isNew) {
        ++endedTargets_;
        log_.line(Event::TargetEnded)
            .add("target", target.record_.id_.value())
            .add("service", target.record_.service_.value())
            .add("in_progress", static_cast<std::int64_t>(target.lostRequests_.size()))
            .add("print", toText(target.lostRequests_.front()));
    }
    Policy::noteEnded(
        crashRecords_,
        Policy::targetIncarnationKeyOf(target.record_.id_, target.record_.incarnation_),
        target.lostRequests_, now);
    target.lostRequests_.clear();
    Policy::noteTargetCrashed(target.bytes_);
}

void CrashGuard::noteAnswered(RequestContext &request, SteadyTime now)
{
    if (view_.isEmpty() || !view_.mayHold(fingerprintPrefixFor(request, port_.headers_)))
        return;
    const RequestFingerprint &fingerprint = fingerprintFor(request, port_.headers_);
    if (Policy::noteAnswered(crashRecords_, fingerprint, now)) {
        for (const RequestFingerprint &lifted :
             {fingerprint, RequestFingerprint{fingerprint.request_, 0}}) {
            if (!crashRecords_.quarantines_.contains(lifted))
                continue;
            logLifted(lifted, "answer");
            unwrittenRecords_.push_back(lifted);
        }
    }
    // Admits requests with the same fingerprint before the next tick.
    if (request.holdsProbeSlot_)
        view_ = Policy::viewOf(crashRecords_, now);
}

/// A proxy may keep listening on behalf of a crashed target; a later registration at its address
/// also proves that it ended.
void CrashGuard::findReplacedTargets(SteadyTime now)
{
    for (const auto &target : targetsWithLosses_) {
        if (target->isReplaced_ || target->isSucceeded())
            noteEnded(*target, now);
    }
    std::erase_if(targetsWithLosses_, [&](const auto &target) {
        return target->lostRequests_.empty()
               || now - target->lastLossAt_ > Policy::connectionLossWindow;
    });
}

void CrashGuard::judge(SteadyTime now)
{
    findReplacedTargets(now);
    const bool isDue = crashRecords_.isChanged_ || !crashRecords_.pending_.empty()
                       || now - evaluatedAt_ > Policy::crashReviewInterval;
    if (!isDue)
        return;
    evaluatedAt_ = now;
    const bool wasEmpty = crashRecords_.runs_.empty() && crashRecords_.quarantines_.empty();
    applyDecisions(Policy::judge(crashRecords_, now), now);
    if (!wasEmpty)
        view_ = Policy::viewOf(crashRecords_, now);
    crashRecords_.isChanged_ = false;
}

void CrashGuard::applyDecisions(const Policy::QuarantineChanges &decisions, SteadyTime now)
{
    for (const auto &fingerprint : decisions.quarantined_) {
        ++verdicts_;
        const auto &quarantine = crashRecords_.quarantines_.at(fingerprint);
        const auto length = Policy::inForceUntil(quarantine) - now;
        log_.line(Event::RequestQuarantined)
            .add("print", toText(fingerprint))
            .add("request", Policy::nameOf(requestNames_, fingerprint))
            .add("generation", static_cast<std::int64_t>(quarantine.generation_))
            .add("for_ms", std::chrono::duration_cast<Model::Microseconds>(length));
        unwrittenRecords_.push_back(fingerprint);
    }
    for (const auto &fingerprint : decisions.lifted_) {
        logLifted(fingerprint, "another request explains its ends");
        unwrittenRecords_.push_back(fingerprint);
    }
}

void CrashGuard::logLifted(const RequestFingerprint &fingerprint, const char *by)
{
    log_.line(Event::QuarantineLifted).add("print", toText(fingerprint)).add("by", by);
}

void CrashGuard::hear(const Policy::CrashUpdate &news, bool isPeerReady, SteadyTime now)
{
    isInformed_ = isInformed_ || isPeerReady;
    const auto isInForce = [&](const RequestFingerprint &fingerprint) {
        const auto found = crashRecords_.quarantines_.find(fingerprint);
        return found != crashRecords_.quarantines_.end()
               && Policy::inForceUntil(found->second) > now;
    };
    std::vector<RequestFingerprint> before;
    for (const auto &received : news.quarantines_) {
        if (isInForce(received.fingerprint_))
            before.push_back(received.fingerprint_);
    }
    if (!Policy::takeIn(crashRecords_, news, now))
        return;
    bool hasDecisionChanged = false;
    for (const auto &received : news.quarantines_) {
        const bool was
            = std::find(before.begin(), before.end(), received.fingerprint_) != before.end();
        const bool is = isInForce(received.fingerprint_);
        hasDecisionChanged |= was != is;
        if (was && !is)
            logLifted(received.fingerprint_, "peer");
        if (!was && is) {
            log_.line(Event::RequestQuarantined)
                .add("print", toText(received.fingerprint_))
                .add("request", Policy::nameOf(requestNames_, received.fingerprint_))
                .add("by", "peer");
        }
    }
    if (hasDecisionChanged)
        judge(now);
}

void CrashGuard::mergeQuarantineRecords(const std::map<std::string, std::string> &records,
                                        SteadyTime now, Model::WallTime wallNow)
{
    for (const auto &[key, text] : records) {
        const auto fingerprint = Policy::fingerprintFromText(key);
        const json record = json::parse(text, nullptr, false);
        try {
            Policy::QuarantineReport received;
            received.fingerprint_ = fingerprint.value();
            received.generation_ = record.at("generation").get<std::uint32_t>();
            received.lifted_ = record.at("lifted").get<std::uint32_t>();
            const auto since = record.at("since_ms").get<long long>();
            received.age_
                = std::max(Milliseconds(0), Milliseconds(millisecondsOf(wallNow) - since));
            const Policy::Quarantine quarantine{received.generation_, 0, now - received.age_};
            if (Policy::inForceUntil(quarantine) > now) {
                Policy::takeIn(crashRecords_, {{}, {received}}, now);
                continue;
            }
        } catch (const std::exception &error) {
            log_.line(Event::QuarantinesUnread).add("print", key).add("reason", error.what());
        }
        if (fingerprint)
            unwrittenRecords_.push_back(*fingerprint);
    }
    isInformed_ = true;
    judge(now);
}

std::vector<QuarantineRecord> CrashGuard::takeUnwritten(SteadyTime now, Model::WallTime wallNow)
{
    std::vector<QuarantineRecord> records;
    for (const auto &fingerprint : std::exchange(unwrittenRecords_, {})) {
        QuarantineRecord record{fingerprint, std::nullopt};
        const auto found = crashRecords_.quarantines_.find(fingerprint);
        if (found != crashRecords_.quarantines_.end()
            && Policy::inForceUntil(found->second) > now) {
            const auto age = std::chrono::duration_cast<Milliseconds>(now - found->second.since_);
            const json text = {{"generation", found->second.generation_},
                               {"lifted", found->second.lifted_},
                               {"since_ms", millisecondsOf(wallNow - age)}};
            record.text_ = text.dump();
        }
        records.push_back(std::move(record));
    }
    return records;
}

void CrashGuard::requeueAllWrites()
{
    unwrittenRecords_.clear();
    for (const auto &[fingerprint, quarantine] : crashRecords_.quarantines_)
        unwrittenRecords_.push_back(fingerprint);
}

std::string CrashGuard::listText(SteadyTime now) const
{
    json quarantined = json::array();
    for (const auto &[fingerprint, quarantine] : crashRecords_.quarantines_) {
        const auto left = Policy::inForceUntil(quarantine) - now;
        if (left <= SteadyTime::duration(0))
            continue;
        quarantined.push_back(
            {{"print", toText(fingerprint)},
             {"request", Policy::nameOf(requestNames_, fingerprint)},
             {"generation", quarantine.generation_},
             {"left_ms", std::chrono::duration_cast<Milliseconds>(left).count()}});
    }
    json runs = json::array();
    for (const auto &[key, run] : crashRecords_.runs_) {
        json suspects = json::array();
        for (const auto &suspect : run.suspects_) {
            if (!suspect.isCleared_)
                suspects.push_back(toText(suspect.fingerprint_));
        }
        const auto age = std::chrono::duration_cast<Milliseconds>(now - run.endedAt_);
        runs.push_back({{"age_ms", age.count()}, {"suspects", std::move(suspects)}});
    }
    const json all = {{"quarantined", std::move(quarantined)}, {"ended", std::move(runs)}};
    return all.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

bool CrashGuard::lift(const RequestFingerprint &fingerprint, SteadyTime now)
{
    if (!Policy::liftQuarantine(crashRecords_, fingerprint, now)) {
        Model::fail(ResultCode::UnknownRow, "no quarantine of " + toText(fingerprint));
        return false;
    }
    logLifted(fingerprint, "operator");
    unwrittenRecords_.push_back(fingerprint);
    judge(now);
    return true;
}

std::size_t CrashGuard::quarantined(SteadyTime now) const
{
    return static_cast<std::size_t>(
        std::count_if(crashRecords_.quarantines_.begin(), crashRecords_.quarantines_.end(),
                      [&](const auto &entry) {
                          return Policy::inForceUntil(entry.second) > now;
                      }));
}

} // namespace Steering
