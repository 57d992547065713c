#include "Dispatcher.h"

namespace Steering {

using Model::Microseconds;
using Model::ResultCode;
using Model::SteadyTime;
using Observe::Event;
using Policy::Outcome;
namespace http = Http::http;

namespace {

/// Targets tried while none can be reached: a request that was never sent counts against no budget.
/// Half of a failure domain may be down at once, so two tries often reach two failed targets.
constexpr std::size_t maxTargetTries = 4;

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

void Dispatcher::noteWithdrawn(RequestContext &request, const TargetState &target, bool wasSent,
                               SteadyTime chosenAt)
{
    ++counters_.withdrawn_;
    if (!wasSent)
        request.tried_.pop_back();
    log_.line(Event::RequestWithdrawn)
        .add("id", request.id_)
        .add("target", target.record_.id_.value())
        .add("sent", wasSent ? "in part" : "no")
        .add("chosen_ms_ago", std::chrono::duration_cast<Microseconds>(steadyNow() - chosenAt))
        .add("knowing", toText(platformState_.replica(StoreTable::Targets).knownRevision()))
        .add("by", platformState_.targetsSource());
}

std::optional<Model::Pace> Dispatcher::noteLoad(TargetState &target, const Http::Response &answer)
{
    const auto load = port_.parseLoad_(answer);
    if (!load)
        return std::nullopt;
    if (load->pace_) {
        placementEngine_.notePaceReported(target.record_.service_);
        Policy::notePace(target.paceReport_, *load->pace_, steadyNow());
    }
    Policy::learnLoad(target.sharedLoad_, static_cast<double>(load->running_ + load->waiting_),
                      target.record_.slots_, steadyNow());
    const std::int64_t others = load->running_ + load->waiting_ - target.ownInFlight_;
    Policy::learnPeerReportedLoad(target.othersLoad_,
                                  std::max<double>(0, static_cast<double>(others)), steadyNow());
    return load->pace_;
}

/// Records the pause that \a answer asks this instance for. Returns whether it asks for one.
bool Dispatcher::notePause(TargetState &target, const Http::Response &answer, SteadyTime now)
{
    if (!Policy::mayAskForPause(answer.result_int(),
                                answer.count(viewOf(port_.headers_.notRun_)) > 0))
        return false;
    const auto asked = port_.parsePause_(answer);
    if (!asked) {
        log_.line(Event::TargetPauseUnreadable)
            .add("target", target.record_.id_.value())
            .add("reason", toText(Model::lastReason()));
        return false;
    }
    if (*asked <= Microseconds(0))
        return false;
    Policy::notePause(target.pause_, *asked, Policy::initialReturnWindow, now);
    log_.line(Event::TargetPauses)
        .add("target", target.record_.id_.value())
        .add("status", static_cast<std::int64_t>(answer.result_int()))
        .add("asked_ms", *asked)
        .add("in_progress", target.ownInFlight_);
    return true;
}

Dispatcher::Attempt Dispatcher::judge(RequestContext &request, const Placement &placement,
                                      SteadyTime sentAt, Http::ExchangeResult result)
{
    TargetState &target = *placement.target_;
    const auto now = steadyNow();
    Attempt attempted;
    attempted.wasSent_ = result.stage_ != Http::ExchangeStage::NotConnected;
    counters_.foreignAnswers_ += static_cast<std::uint64_t>(result.foreignAnswers_);
    if (result.foreignAnswers_ > 0) {
        log_.line(Event::ForeignAnswerDropped)
            .add("id", request.id_)
            .add("target", target.record_.id_.value());
    }
    if (!result.answer_) {
        attempted.code_ = result.code_;
        attempted.outcome_ = attempted.wasSent_
                                 ? Policy::outcomeOf(Policy::AttemptStage::Sent)
                                 : Policy::outcomeOf(Policy::AttemptStage::NotConnected);
        const bool isSilent = result.code_ == ResultCode::TargetTimeout;
        // A cancelled attempt proves nothing about reachability; another request may probe.
        target.reachability_.isProbed_ = false;
        Policy::releaseTrial(target.rejections_);
        if (request.isOvertaken()) {
            noteCrash(request, placement, result, now);
            return attempted;
        }
        if (isStale(target, result)) {
            attempted.isStale_ = true;
            noteStaleConnection(request, target, result, now);
            // A request that crashes its targets at once looks the same.
            noteCrash(request, placement, result, now);
            return attempted;
        }
        if (result.isWithdrawn_) {
            attempted.isWithdrawn_ = true;
            noteWithdrawn(request, target, attempted.wasSent_, sentAt);
            return attempted;
        }
        if (result.isAnswerNotHeld_)
            return attempted;
        noteCrash(request, placement, result, now);
        if (!request.isAbandoned_ && (isSilent || !attempted.wasSent_)) {
            placementEngine_.noteNoAnswer(placement, sentAt, attempted.wasSent_, now);
        } else if (!request.isAbandoned_) {
            placementEngine_.noteFailure(placement, now);
        }
        if (!attempted.wasSent_) {
            log_.line(Event::TargetSuspect)
                .add("target", target.record_.id_.value())
                .add("reason", Model::describe(result.code_));
        }
        return attempted;
    }
    target.lastAnswerAt_ = now;
    target.hasEnded_ = false;
    Policy::noteReached(target.reachability_);
    reach_.noteContact(target, true, now);
    attempted.pace_ = noteLoad(target, *result.answer_);
    if (request.isOvertaken())
        Policy::releaseTrial(target.rejections_);
    const auto status = result.answer_->result();
    const bool isMisdirected = status == http::status::misdirected_request;
    if (!isMisdirected) {
        recordLimit(target, port_.parseLimit_(*result.answer_), sentAt, now,
                    target.record_.id_.value(), log_);
    }
    if (!isMisdirected && port_.takeLeave_(*result.answer_)) {
        request.leavingTarget_ = target.record_.id_;
        placementEngine_.noteLeave(target, now);
    }
    const bool asksForPause = notePause(target, *result.answer_, now);
    if (isMisdirected || result.answer_->count(viewOf(port_.headers_.notRun_)) > 0) {
        ++counters_.refusedByTargets_;
        request.rejectionStatus_ = result.answer_->result_int();
        attempted.outcome_ = Policy::outcomeOf(Policy::AttemptStage::RefusedByTarget);
        attempted.code_ = ResultCode::TargetRefused;
        if (isMisdirected) {
            target.isReplaced_ = true;
            guard_.noteEnded(target, now);
            log_.line(Event::TargetGone)
                .add("target", target.record_.id_.value())
                .add("by", "another target at its address");
        } else if (!asksForPause && !request.isOvertaken()) {
            placementEngine_.noteFailure(placement, now);
        }
        return attempted;
    }
    if (asksForPause) {
        // The pause is this instance's: another target may serve the caller meanwhile.
        result.answer_->erase(http::field::retry_after);
    } else {
        Policy::noteAnswerAfterPause(target.pause_, target.record_.slots_.value(), now);
    }
    // A 5xx response does not prove that the target processed the request.
    if (status < http::status::internal_server_error)
        guard_.noteAnswered(request, now);
    attempted.outcome_ = Policy::outcomeOf(Policy::AttemptStage::Answered);
    attempted.answer_ = std::move(result.answer_);
    return attempted;
}

bool Dispatcher::isStale(const TargetState &target, const Http::ExchangeResult &result) const
{
    return placementEngine_.reportsPace(target.record_.service_) && !result.answer_
           && result.stage_ == Http::ExchangeStage::Sent && !result.isNewConnection_
           && !result.isWithdrawn_ && result.code_ == ResultCode::TargetConnectionLost
           && Policy::isStaleClose(result.sinceSent_, placementEngine_.roundTripTo(target));
}

/// The target's other idle connections are closed by then. It proves nothing about the target.
void Dispatcher::noteStaleConnection(RequestContext &request, const TargetState &target,
                                     const Http::ExchangeResult &result, SteadyTime now)
{
    ++counters_.staleConnections_;
    request.needsNewConnection_ = true;
    Policy::noteStale(idleLimits_[request.service_], result.idleTime_, now);
    log_.line(Event::StaleConnection)
        .add("id", request.id_)
        .add("target", target.record_.id_.value())
        .add("idle_ms", static_cast<std::int64_t>(result.idleTime_.count()))
        .add("since_sent_ms", result.sinceSent_);
}

void Dispatcher::noteCrash(RequestContext &request, const Placement &placement,
                           const Http::ExchangeResult &result, SteadyTime now)
{
    TargetState &target = *placement.target_;
    if (result.stage_ == Http::ExchangeStage::NotConnected) {
        if (result.isRefused_)
            guard_.noteListening(target, Http::Listening::No, now);
        return;
    }
    const bool isBroken = result.code_ == ResultCode::TargetConnectionLost
                          || result.code_ == ResultCode::TruncatedAnswer
                          || result.code_ == ResultCode::MalformedAnswer;
    if (request.control_.isCancelled()) {
        guard_.noteCancelled(request, placement.target_, now);
    } else if (isBroken && guard_.noteLost(request, placement.target_, now)) {
        Http::asio::co_spawn(context_, probeListener(placement.target_), Http::asio::detached);
    }
}

bool Dispatcher::mayTryAgain(const RequestContext &request, const Attempt &attempt, SteadyTime now)
{
    if (request.isAbandoned_ || now >= request.deadline_)
        return false;
    const auto &route = *request.route_;
    if (!attempt.wasSent_) {
        return request.tried_.size() < maxTargetTries
               || Policy::shouldForward(reach_.reachOf(request, now));
    }
    // No credit is spent on an attempt that no target would take.
    if (attempt.code_ == ResultCode::TargetRefused
        && placementEngine_.retryDelayWhilePausing(request, now))
        return false;
    return Policy::mayRetry(retryBudgets_[request.service_], attempt.outcome_, route.isIdempotent_,
                            request.attempts_, route.attempts_);
}

} // namespace Steering
