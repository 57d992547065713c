#include "Dispatcher.h"

#include "TargetAnswer.h"

#include <algorithm>

namespace Entryd {

using Model::Milliseconds;
using Model::ResultCode;
using Observe::Event;
using Policy::AttemptStage;
using Policy::Outcome;

namespace {

/// A kept connection older than this may have been forgotten by something on the way; a request
/// that must not run twice goes on a fresher one.
constexpr Milliseconds longestIdle{10000};
constexpr Milliseconds longestIdleOnce{2000};
/// The first attempt of a request that may be repeated waits this many usual latencies.
constexpr int patienceInLatencies = 10;
constexpr Milliseconds leastPatience{250};
constexpr Milliseconds connectTimeout{300};
constexpr std::size_t connectionsToEntry = 64;

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

Http::Task<Verdict> Dispatcher::attempt(CallerRequest &request, Placement placement,
                                        AttemptNumber number, bool &isRefusedAsFull)
{
    if (auto *entry = std::get_if<ToEntry>(&placement)) {
        co_return co_await attemptEntry(request, *entry);
    }
    ToTarget target = std::move(std::get<ToTarget>(placement));
    co_return co_await attemptTarget(request, std::move(target), number, isRefusedAsFull);
}

Model::SteadyTime Dispatcher::attemptDeadline(const CallerRequest &request,
                                              const TargetState &target, AttemptNumber number) const
{
    if (!number.mayBeCutShort_)
        return request.deadline_;
    // A connection that went silent for good never answers; waiting for the deadline on it would
    // leave no time for a new one.
    const Model::Microseconds usual(target.latencyUs_.load());
    const auto patience = std::max<Model::Microseconds>(leastPatience, patienceInLatencies * usual);
    return std::min(request.deadline_, steadyNow() + patience);
}

Http::Task<Verdict> Dispatcher::attemptTarget(CallerRequest &request, ToTarget place,
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
    options.longestIdle_ = request.isIdempotent_ ? longestIdle : longestIdleOnce;
    // A second attempt is made on a new connection: what failed may be the kept ones.
    if (number.count_ > 1)
        options.longestIdle_ = Milliseconds(0);
    options.connectionLimit_ = Policy::connectionsForThread(
        target->target_.connections_, entries, static_cast<std::size_t>(settings_.entryThreads_));

    options.maySend_ = [&] {
        return !target->isLeaving_.load();
    };
    options.watchPeriod_ = Policy::tickPeriod;
    options.sendPatience_ = Policy::sendPatience;
    options.sends_ = [&] {
        noteSend(*target, steadyNow());
    };
    const auto sentAt = steadyNow();
    const Http::Request message = messageForTarget(request, sentAt);
    Http::ExchangeResult result = co_await Http::exchange(pool_, options, message, isAnswerTo);
    const bool isBroken = result.code_ == ResultCode::TargetConnectionLost
                          || result.code_ == ResultCode::TruncatedAnswer;
    if (isBroken && !result.isWithdrawn_ && guard_.noteLost(request, *target, steadyNow()))
        Http::asio::co_spawn(context_, askWhetherListening(target), Http::asio::detached);
    if (result.isRefused_)
        guard_.noteListening(*target, Http::Listening::No, steadyNow());
    Verdict verdict = judgeTargetAnswer(std::move(result), *target, isRefusedAsFull);
    // A failure of the target's own says little of what it did with the request.
    if (verdict.answer_ && verdict.answer_->result() < Http::http::status::internal_server_error)
        guard_.noteAnswered(request, steadyNow());
    // A refusal takes no time; counted as an answer it would make the target look fast, and real
    // work would then be given up as silent.
    if (verdict.outcome_ == Outcome::Run)
        noteLatency(*target, std::chrono::duration_cast<Model::Microseconds>(steadyNow() - sentAt));
    release(std::move(place.slot_), request.serviceIndex_);
    co_return verdict;
}

Http::Task<void> Dispatcher::askWhetherListening(std::shared_ptr<TargetState> target)
{
    Http::ExchangeOptions options;
    options.address_ = Observe::dialAddress(settings_, target->target_.address_);
    options.connectTimeout_ = connectTimeout;
    options.deadline_ = steadyNow() + connectTimeout;
    const auto listening = co_await Http::knock(pool_, options);
    guard_.noteListening(*target, listening, steadyNow());
    if (listening == Http::Listening::No)
        noteTargetLost(*target, true);
}

Verdict Dispatcher::judgeTargetAnswer(Http::ExchangeResult result, TargetState &target,
                                      bool &isRefusedAsFull)
{
    Verdict verdict;
    if (!result.answer_) {
        const AttemptStage stage = stageOf(result.stage_);
        verdict.outcome_ = Policy::outcomeOf(stage);
        verdict.code_ = result.code_;
        if (verdict.outcome_ == Outcome::NotRun)
            verdict.comeBack_ = Policy::leastComeBack;
        if (result.isWithdrawn_) {
            ++counters_.withdrawn_;
            // Nothing of it was sent: it goes back to waiting for another target.
            isRefusedAsFull = verdict.outcome_ == Outcome::NotRun;
            return verdict;
        }
        if (result.code_ == ResultCode::ForeignAnswer) {
            ++counters_.foreignAnswers_;
            Observe::logEvent(Event::ForeignAnswerDropped,
                              {{"target", target.target_.id_.value()}});
        }
        noteTargetLost(target, stage == AttemptStage::NotConnected);
        return verdict;
    }
    noteTargetAnswer(target, *result.answer_);
    const auto refusedBecause = (*result.answer_)[viewOf(Http::notStartedHeader)];
    if (!refusedBecause.empty()) {
        verdict.outcome_ = Policy::outcomeOf(AttemptStage::RefusedByTarget);
        verdict.code_ = ResultCode::TargetRefused;
        verdict.comeBack_ = Policy::leastComeBack;
        isRefusedAsFull = true;
        if (refusedBecause == "draining") {
            if (!target.isLeaving_.exchange(true))
                logLeaving(target, "itself", steadyNow());
        } else {
            noteFull(target, steadyNow());
        }
        return verdict;
    }
    verdict.outcome_ = Policy::outcomeOf(AttemptStage::Answered);
    verdict.answer_ = std::move(result.answer_);
    stripAnswer(*verdict.answer_);
    verdict.answer_->set(viewOf(Http::targetHeader), target.target_.id_.value());
    return verdict;
}

Http::Task<Verdict> Dispatcher::attemptEntry(CallerRequest &request, ToEntry place)
{
    ++counters_.handedOver_;
    Http::ExchangeOptions options;
    options.address_ = Observe::dialAddress(settings_, place.address_);
    options.deadline_ = request.deadline_;
    options.connectTimeout_ = Milliseconds(1000);
    options.longestIdle_ = request.isIdempotent_ ? longestIdle : longestIdleOnce;
    options.connectionLimit_ = connectionsToEntry;
    const Http::Request message = cell_.read([&](const EntrySnapshot *snapshot) {
        return messageForEntry(request, *snapshot->table_, place.domain_, steadyNow());
    });
    Http::ExchangeResult result = co_await Http::exchange(pool_, options, message, isAnswerTo);

    Verdict verdict;
    if (!result.answer_) {
        const bool isUnsent = result.stage_ == Http::ExchangeStage::NotConnected;
        // A deadline that passed may be the fault of a slow target there.
        if (result.code_ != ResultCode::TargetTimeout)
            Policy::noteEntryLost(entryFailures_, place.address_, steadyNow());
        verdict.outcome_ = Policy::outcomeOf(stageOf(result.stage_));
        verdict.code_ = isUnsent ? ResultCode::NoTarget : ResultCode::EntryConnectionLost;
        if (isUnsent)
            verdict.comeBack_ = Policy::leastComeBack;
        co_return verdict;
    }
    Policy::noteEntryAnswered(entryFailures_, place.address_);
    // The other entry speaks for its region: what it says of the outcome is passed on.
    const Http::Response &answer = *result.answer_;
    const auto outcome = answer[viewOf(Http::outcomeHeader)];
    const auto code = numberIn(answer[viewOf(Http::codeHeader)], 0);
    const auto target = answer[viewOf(Http::targetHeader)];
    const std::string targetName(target.data(), target.size());
    verdict.code_ = static_cast<ResultCode>(code);
    if (outcome == viewOf(toText(Outcome::Run))) {
        verdict.outcome_ = Outcome::Run;
        verdict.answer_ = std::move(result.answer_);
        stripAnswer(*verdict.answer_);
        verdict.answer_->set(viewOf(Http::targetHeader), targetName);
        co_return verdict;
    }
    const bool isNotRun = outcome == viewOf(toText(Outcome::NotRun));
    verdict.outcome_ = isNotRun ? Outcome::NotRun : Outcome::Unknown;
    if (isNotRun)
        verdict.comeBack_ = Milliseconds(numberIn(answer[viewOf(Http::comeBackHeader)], 1000));
    co_return verdict;
}

} // namespace Entryd
