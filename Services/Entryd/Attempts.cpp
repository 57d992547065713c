#include "Dispatcher.h"

#include "HeldAnswer.h"
#include "TargetAnswer.h"

#include <algorithm>

namespace Entryd {

using Model::Milliseconds;
using Model::ResultCode;
using Observe::Event;
using Policy::AttemptStage;
using Policy::Outcome;

namespace {

/// A connection that has been idle for longer may have been dropped by a middlebox; a request that
/// must not run twice uses a fresher connection.
constexpr Milliseconds maxIdleAge{10000};
constexpr Milliseconds maxIdleAgeNonIdempotent{2000};
/// The timeout of an attempt that may be repeated, as a multiple of the target's average latency.
constexpr int attemptTimeoutInLatencies = 10;
constexpr Milliseconds minAttemptTimeout{250};
constexpr Milliseconds connectTimeout{300};
constexpr std::size_t maxConnectionsToEntry = 64;

Model::SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

AttemptStage stageOf(Http::ExchangeStage stage)
{
    return stage == Http::ExchangeStage::NotConnected ? AttemptStage::NotConnected
                                                      : AttemptStage::Sent;
}

} // namespace

Http::Task<RequestResult> Dispatcher::attempt(CallerRequest &request, Placement placement,
                                              AttemptNumber number, bool &isRefusedAsFull)
{
    if (auto *entry = std::get_if<ToEntry>(&placement)) {
        RequestResult result = co_await attemptEntry(request, *entry);
        if (entry->localPeer_) {
            noteForwarding(request, *entry, result);
            ++request.forwardingTries_;
            // Nothing has run: the request returns to the queue, and another entry may take it.
            isRefusedAsFull = result.outcome_ == Outcome::NotRun && steadyNow() < request.deadline_;
        }
        co_return result;
    }
    ToTarget target = std::move(std::get<ToTarget>(placement));
    co_return co_await attemptTarget(request, std::move(target), number, isRefusedAsFull);
}

Model::SteadyTime Dispatcher::attemptDeadline(const CallerRequest &request,
                                              const TargetState &target, AttemptNumber number) const
{
    if (!number.mayBeCutShort_)
        return request.deadline_;
    // A silently dropped connection never answers; waiting for the deadline on it would leave no
    // time for a new one.
    const Model::Microseconds usual(target.latencyUs_.load());
    const auto timeout
        = std::max<Model::Microseconds>(minAttemptTimeout, attemptTimeoutInLatencies * usual);
    return std::min(request.deadline_, steadyNow() + timeout);
}

Http::Task<RequestResult> Dispatcher::attemptTarget(CallerRequest &request, ToTarget place,
                                                    AttemptNumber number, bool &isRefusedAsFull)
{
    const std::shared_ptr<TargetState> target = place.slot_.state();
    const auto entries = cell_.read([](const EntrySnapshot *snapshot) {
        return snapshot->entriesInRegion_;
    });
    Http::ExchangeOptions options;
    options.address_ = Observe::dialAddress(settings_, target->target_.address_);
    options.deadline_ = attemptDeadline(request, *target, number);
    options.connectTimeout_ = connectTimeout;
    options.maxIdle_ = request.isIdempotent_ ? maxIdleAge : maxIdleAgeNonIdempotent;
    // A retry uses a new connection, because the idle connections may be the cause of the failure.
    if (number.count_ > 1)
        options.maxIdle_ = Milliseconds(0);
    options.connectionLimit_ = Policy::connectionsForThread(
        target->target_.connections_, entries, static_cast<std::size_t>(settings_.entryThreads_));

    bool hasBegun = false;
    options.maySend_ = [&] {
        // A pause that begins while the request is being sent does not cut it off.
        return !target->isLeaving_.load()
               && (hasBegun || !Policy::isPausing(pauseOf(*target), steadyNow()));
    };
    options.maySendInterval_ = Policy::tickPeriod;
    options.withdrawalTimeout_ = Policy::sendToLeavingTimeout;
    options.onFirstByte_ = [&] {
        hasBegun = true;
        noteSend(*target, steadyNow());
    };
    HeldAnswer held(heldAnswers_);
    held.bound(options);
    const auto sentAt = steadyNow();
    const Http::Request message = messageForTarget(request, sentAt);
    Http::ExchangeResult result = co_await Http::exchange(pool_, options, message, isAnswerTo);
    const bool isBroken = result.code_ == ResultCode::TargetConnectionLost
                          || result.code_ == ResultCode::TruncatedAnswer
                          || result.code_ == ResultCode::MalformedAnswer;
    if (isBroken && !result.isWithdrawn_ && !result.isAnswerNotHeld_
        && guard_.noteLost(request, *target, steadyNow()))
        Http::asio::co_spawn(context_, checkListening(target), Http::asio::detached);
    if (result.isRefused_)
        guard_.noteListening(*target, Http::Listening::No, steadyNow());
    RequestResult requestResult = classifyTargetAnswer(std::move(result), *target, isRefusedAsFull);
    // A server error of the target does not show whether it processed the request.
    if (requestResult.answer_
        && requestResult.answer_->result() < Http::http::status::internal_server_error)
        guard_.noteAnswered(request, steadyNow());
    // A refusal takes no time; counted as an answer it would lower the average latency, and
    // attempts in progress would then be cut short as unanswered.
    if (requestResult.outcome_ == Outcome::Run)
        noteLatency(*target, std::chrono::duration_cast<Model::Microseconds>(steadyNow() - sentAt));
    probeAfterPause(target);
    release(std::move(place.slot_), request.serviceIndex_);
    co_return requestResult;
}

Http::Task<void> Dispatcher::checkListening(std::shared_ptr<TargetState> target)
{
    Http::ExchangeOptions options;
    options.address_ = Observe::dialAddress(settings_, target->target_.address_);
    options.connectTimeout_ = connectTimeout;
    options.deadline_ = steadyNow() + connectTimeout;
    const auto listening = co_await Http::checkListener(pool_, options);
    guard_.noteListening(*target, listening, steadyNow());
    if (listening == Http::Listening::No)
        noteTargetLost(*target, true);
}

RequestResult Dispatcher::classifyTargetAnswer(Http::ExchangeResult result, TargetState &target,
                                               bool &isRefusedAsFull)
{
    RequestResult requestResult;
    if (!result.answer_) {
        const AttemptStage stage = stageOf(result.stage_);
        requestResult.outcome_ = Policy::outcomeOf(stage);
        requestResult.code_ = result.code_;
        if (requestResult.outcome_ == Outcome::NotRun)
            requestResult.retryDelay_ = Policy::minRetryAfter;
        if (result.isWithdrawn_) {
            ++counters_.withdrawn_;
            // No part of the request was sent: it returns to the queue and waits for another
            // target.
            isRefusedAsFull = requestResult.outcome_ == Outcome::NotRun;
            return requestResult;
        }
        if (result.isAnswerNotHeld_)
            return requestResult;
        if (result.code_ == ResultCode::ForeignAnswer) {
            ++counters_.foreignAnswers_;
            Observe::logEvent(Event::ForeignAnswerDropped,
                              {{"target", target.target_.id_.value()}});
        }
        noteTargetLost(target, stage == AttemptStage::NotConnected);
        return requestResult;
    }
    noteTargetAnswer(target, *result.answer_);
    const auto refusedBecause = (*result.answer_)[viewOf(Http::notStartedHeader)];
    if (!refusedBecause.empty()) {
        requestResult.outcome_ = Policy::outcomeOf(AttemptStage::RefusedByTarget);
        requestResult.code_ = ResultCode::TargetRefused;
        requestResult.retryDelay_ = Policy::minRetryAfter;
        isRefusedAsFull = true;
        if (refusedBecause == "draining") {
            if (!target.isLeaving_.exchange(true))
                logLeaving(target, "itself", steadyNow());
        } else {
            noteFull(target, steadyNow());
        }
        return requestResult;
    }
    requestResult.outcome_ = Policy::outcomeOf(AttemptStage::Answered);
    requestResult.answer_ = std::move(result.answer_);
    stripAnswer(*requestResult.answer_);
    // The pause is this entry's: another target may serve the caller meanwhile.
    if (Policy::isPausing(pauseOf(target), steadyNow()))
        requestResult.answer_->erase(Http::http::field::retry_after);
    requestResult.answer_->set(viewOf(Http::targetHeader), target.target_.id_.value());
    return requestResult;
}

void Dispatcher::noteForwarding(const CallerRequest &request, const ToEntry &place,
                                const RequestResult &result)
{
    if (result.outcome_ == Outcome::Run) {
        Policy::noteForwarded(forwarding_, *place.localPeer_, request.service_);
    } else {
        Policy::noteNotForwarded(forwarding_, *place.localPeer_, request.service_, steadyNow());
    }
}

Http::Task<RequestResult> Dispatcher::attemptEntry(CallerRequest &request, ToEntry place)
{
    ++counters_.forwardedRequests_;
    Http::ExchangeOptions options;
    options.address_ = Observe::dialAddress(settings_, place.address_);
    options.deadline_ = request.deadline_;
    options.connectTimeout_ = Milliseconds(1000);
    options.maxIdle_ = request.isIdempotent_ ? maxIdleAge : maxIdleAgeNonIdempotent;
    options.connectionLimit_ = maxConnectionsToEntry;
    HeldAnswer held(heldAnswers_);
    held.bound(options);
    const Http::Request message = cell_.read([&](const EntrySnapshot *snapshot) {
        return messageForEntry(request, *snapshot->table_, place.domain_, steadyNow());
    });
    Http::ExchangeResult result = co_await Http::exchange(pool_, options, message, isAnswerTo);

    RequestResult requestResult;
    if (!result.answer_) {
        const bool isNotConnected = result.stage_ == Http::ExchangeStage::NotConnected;
        // An expired deadline may be caused by a slow target in the other region.
        if (result.code_ != ResultCode::TargetTimeout && !result.isAnswerNotHeld_)
            Policy::noteEntryLost(entryFailures_, place.address_, steadyNow());
        requestResult.outcome_ = Policy::outcomeOf(stageOf(result.stage_));
        requestResult.code_
            = isNotConnected ? ResultCode::NoTarget : ResultCode::EntryConnectionLost;
        if (isNotConnected)
            requestResult.retryDelay_ = Policy::minRetryAfter;
        co_return requestResult;
    }
    Policy::noteEntryAnswered(entryFailures_, place.address_);
    // The other entry is authoritative for its region: its outcome is passed on to the caller.
    const Http::Response &answer = *result.answer_;
    const auto outcome = answer[viewOf(Http::outcomeHeader)];
    const auto code = numberIn(answer[viewOf(Http::codeHeader)], 0);
    const auto target = answer[viewOf(Http::targetHeader)];
    const std::string targetName(target.data(), target.size());
    requestResult.code_ = static_cast<ResultCode>(code);
    if (outcome == viewOf(toText(Outcome::Run))) {
        requestResult.outcome_ = Outcome::Run;
        requestResult.answer_ = std::move(result.answer_);
        stripAnswer(*requestResult.answer_);
        requestResult.answer_->set(viewOf(Http::targetHeader), targetName);
        co_return requestResult;
    }
    const bool isNotRun = outcome == viewOf(toText(Outcome::NotRun));
    requestResult.outcome_ = isNotRun ? Outcome::NotRun : Outcome::Unknown;
    if (isNotRun) {
        requestResult.retryDelay_
            = Milliseconds(numberIn(answer[viewOf(Http::retryAfterHeader)], 1000));
    }
    co_return requestResult;
}

} // namespace Entryd
