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

constexpr Milliseconds tickPause{2};
constexpr Milliseconds idleTickPause{20};
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

Verdict notRun(ResultCode code, Milliseconds comeBack)
{
    Verdict verdict;
    verdict.outcome_ = Outcome::NotRun;
    verdict.code_ = code;
    verdict.comeBack_ = comeBack;
    return verdict;
}

/// Returns what may be said of a request when its last attempt ended with \a verdict.
///
/// What goes wrong without it: the first attempt ran but its answer was lost, the second found no
/// slot, and the caller was told "not run", which was true of the second attempt only.
Verdict ofAllAttempts(Verdict verdict, const std::optional<ResultCode> &unknownBecause)
{
    if (!unknownBecause || verdict.outcome_ != Outcome::NotRun)
        return verdict;
    verdict.outcome_ = Outcome::Unknown;
    verdict.code_ = *unknownBecause;
    verdict.comeBack_.reset();
    return verdict;
}

/// Tells whether the outcome of earlier requests with the same key, if there were any, is open.
///
/// A caller that numbers its requests with "Request-Attempt: 1" says that there were none.
bool mayBeRepeat(const Http::Request &message)
{
    const bool hasKey = message.count(viewOf(Http::idempotencyKeyHeader)) > 0;
    return hasKey && message[viewOf(Http::attemptHeader)] != "1";
}

/// As ofAllAttempts(), for requests that ended before the claim of their key could be read.
Verdict beforeClaim(Verdict verdict, const CallerRequest &request)
{
    if (mayBeRepeat(request.message_))
        verdict.outcome_ = Outcome::Unknown;
    return verdict;
}

} // namespace

Dispatcher::Dispatcher(Http::asio::io_context &context, const Observe::Settings &settings,
                       const SnapshotCell &cell, Planner &planner, ClaimKeeper &claims,
                       int threadNumber, std::function<void(std::size_t)> wakeOthers)
    : context_(context)
    , settings_(settings)
    , cell_(cell)
    , planner_(planner)
    , claims_(claims)
    , wakeOthers_(std::move(wakeOthers))
    , pool_(context)
    , threadNumber_(threadNumber)
{
    // The start time makes ids of this run differ from those of every other run of the instance.
    const auto startedAt = std::chrono::system_clock::now().time_since_epoch().count();
    idPrefix_ = settings.instance_.value() + "-" + std::to_string(startedAt) + "-"
                + std::to_string(threadNumber) + "-";
}

Model::RequestId Dispatcher::newRequestId()
{
    return Model::RequestId(idPrefix_ + std::to_string(++lastId_));
}

ServiceQueue &Dispatcher::queueFor(const CallerRequest &request)
{
    auto &queue = queues_[request.service_];
    if (!queue) {
        const auto seed = Policy::rendezvousScore(idPrefix_, request.service_.value());
        queue = std::make_unique<ServiceQueue>(context_, cell_, planner_, seed);
    }
    return *queue;
}

Http::Response Dispatcher::refuse(unsigned version, Outcome outcome)
{
    auto &counter = outcome == Outcome::NotRun ? counters_.notRun_ : counters_.unknown_;
    ++counter;
    Http::Response answer = Http::refusal(Model::lastReason(), version);
    answer.set(viewOf(Http::outcomeHeader), std::string(toText(outcome)));
    answer.set(viewOf(Http::instanceHeader), settings_.instance_.value());
    return answer;
}

Http::Task<Http::Response> Dispatcher::answerCaller(Http::IncomingRequest incoming)
{
    ++counters_.requests_;
    const unsigned version = incoming.message_.version();
    const Outcome refused = mayBeRepeat(incoming.message_) ? Outcome::Unknown : Outcome::NotRun;
    auto request = cell_.read([&](const EntrySnapshot *snapshot) -> std::optional<CallerRequest> {
        if (!snapshot || !snapshot->isReady_)
            return Model::fail(ResultCode::NotReady, "");
        return readCallerRequest(*snapshot, std::move(incoming), newRequestId());
    });
    if (!request)
        co_return refuse(version, refused);
    Verdict verdict;
    if (request->claimKey_.empty()) {
        verdict = co_await carry(*request);
    } else {
        verdict = co_await carryClaimed(*request);
    }
    co_return toAnswer(std::move(verdict), *request, version);
}

Http::Task<Http::Response> Dispatcher::answerEntry(Http::IncomingRequest incoming)
{
    ++counters_.requests_;
    ++counters_.takenOver_;
    const unsigned version = incoming.message_.version();
    auto request = cell_.read([&](const EntrySnapshot *snapshot) -> std::optional<CallerRequest> {
        if (!snapshot || !snapshot->isReady_)
            return Model::fail(ResultCode::NotReady, "");
        return readHandedOver(*snapshot, std::move(incoming));
    });
    if (!request)
        co_return refuse(version, Outcome::NotRun);
    Verdict verdict = co_await carry(*request);
    Http::Response answer = toAnswer(std::move(verdict), *request, version);
    answer.set(viewOf(Http::requestIdHeader), request->id_.value());
    co_return answer;
}

Http::Task<Verdict> Dispatcher::carryClaimed(CallerRequest &request)
{
    // A request that would be refused anyway must not cost the store two writes.
    ServiceQueue &queue = queueFor(request);
    if (queue.wouldRefuse(request))
        co_return beforeClaim(notRun(ResultCode::OverCapacity, queue.comeBackAfter()), request);

    const Platform::ClaimResult held = co_await claims_.claim(request);
    if (!held.verdict_)
        co_return beforeClaim(notRun(ResultCode::StoreUnavailable, Milliseconds(1000)), request);
    Verdict verdict;
    switch (*held.verdict_) {
    case Policy::ClaimVerdict::Replay: {
        const auto status = static_cast<Http::http::status>(held.claim_.answerStatus_);
        verdict.outcome_ = Outcome::Run;
        verdict.answer_
            = Http::textAnswer(status, held.claim_.answerType_, held.claim_.answerBody_, 11);
        co_return verdict;
    }
    case Policy::ClaimVerdict::OtherRequest:
        co_return notRun(ResultCode::KeyReusedWithOtherBody, Milliseconds(0));
    case Policy::ClaimVerdict::Unknown:
        verdict.outcome_ = Outcome::Unknown;
        verdict.code_ = ResultCode::KeyOutcomeUnknown;
        co_return verdict;
    case Policy::ClaimVerdict::Proceed:
    case Policy::ClaimVerdict::TakeOver:
        break;
    }

    verdict = co_await carry(request);
    Policy::Claim outcome;
    outcome.state_
        = verdict.outcome_ == Outcome::Run ? Policy::ClaimState::Run : Policy::ClaimState::Released;
    if (verdict.outcome_ == Outcome::Unknown)
        co_return verdict;
    if (verdict.answer_) {
        outcome.answerStatus_ = static_cast<int>(verdict.answer_->result_int());
        const auto type = (*verdict.answer_)[Http::http::field::content_type];
        outcome.answerType_ = std::string(type.data(), type.size());
        outcome.answerBody_ = verdict.answer_->body();
    }
    claims_.settle(request, held, std::move(outcome));
    co_return verdict;
}

Http::Task<Verdict> Dispatcher::carry(CallerRequest &request)
{
    Policy::earnRetryCredit(retryBudget_);
    ServiceQueue &queue = queueFor(request);
    int attempts = 0;
    std::optional<ResultCode> unknownBecause;
    while (true) {
        const auto waitingSince = steadyNow();
        Placement placement = co_await queue.place(request);
        counters_.waiting_.add(
            std::chrono::duration_cast<Model::Microseconds>(steadyNow() - waitingSince));
        if (const auto *givenUp = std::get_if<GivenUp>(&placement)) {
            Verdict verdict = notRun(givenUp->code_, givenUp->comeBack_);
            co_return ofAllAttempts(std::move(verdict), unknownBecause);
        }

        ++attempts;
        bool isRefusedAsFull = false;
        Verdict verdict
            = co_await attempt(request, std::move(placement), attempts, isRefusedAsFull);
        if (verdict.outcome_ == Outcome::Run)
            co_return verdict;
        // A target without a free slot is no failure: the request goes back to waiting for one.
        if (isRefusedAsFull) {
            --attempts;
            ++counters_.refusedByTargets_;
            continue;
        }
        if (verdict.outcome_ == Outcome::Unknown)
            unknownBecause = verdict.code_;
        if (!Policy::mayRetry(retryBudget_, verdict.outcome_, request.isIdempotent_, attempts))
            co_return ofAllAttempts(std::move(verdict), unknownBecause);
        ++counters_.retries_;
    }
}

Http::Task<Verdict> Dispatcher::attempt(CallerRequest &request, Placement placement, int attempts,
                                        bool &isRefusedAsFull)
{
    if (auto *entry = std::get_if<ToEntry>(&placement)) {
        co_return co_await attemptEntry(request, *entry);
    }
    ToTarget target = std::move(std::get<ToTarget>(placement));
    co_return co_await attemptTarget(request, std::move(target), attempts, isRefusedAsFull);
}

Model::SteadyTime Dispatcher::attemptDeadline(const CallerRequest &request,
                                              const TargetState &target, int attempts) const
{
    const bool mayRepeat
        = request.isIdempotent_ && attempts < Policy::mostAttempts && retryBudget_.credit_ >= 1;
    if (!mayRepeat)
        return request.deadline_;
    // A connection that went silent for good never answers; waiting for the deadline on it would
    // leave no time for a new one.
    const Model::Microseconds usual(target.latencyUs_.load());
    const auto patience = std::max<Model::Microseconds>(leastPatience, patienceInLatencies * usual);
    return std::min(request.deadline_, steadyNow() + patience);
}

Http::Task<Verdict> Dispatcher::attemptTarget(CallerRequest &request, ToTarget place, int attempts,
                                              bool &isRefusedAsFull)
{
    const std::shared_ptr<TargetState> target = place.slot_.state();
    const auto entries = cell_.read([](const EntrySnapshot *snapshot) {
        return snapshot->entriesInRegion_;
    });
    Http::ExchangeOptions options;
    options.address_ = Observe::dialAddress(settings_, target->target_.address_);
    options.deadline_ = attemptDeadline(request, *target, attempts);
    options.connectTimeout_ = connectTimeout;
    options.longestIdle_ = request.isIdempotent_ ? longestIdle : longestIdleOnce;
    // A second attempt is made on a new connection: what failed may be the kept ones.
    if (attempts > 1)
        options.longestIdle_ = Milliseconds(0);
    options.connectionLimit_ = Policy::connectionsForThread(
        target->target_.connections_, entries, static_cast<std::size_t>(settings_.entryThreads_));

    const auto sentAt = steadyNow();
    const Http::Request message = messageForTarget(request, sentAt);
    Http::ExchangeResult result = co_await Http::exchange(pool_, options, message, isAnswerTo);
    if (result.answer_)
        noteLatency(*target, std::chrono::duration_cast<Model::Microseconds>(steadyNow() - sentAt));
    Verdict verdict = judgeTargetAnswer(std::move(result), *target, isRefusedAsFull);
    release(std::move(place.slot_), request.serviceIndex_);
    co_return verdict;
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
            target.isLeaving_ = true;
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
        verdict.outcome_ = Policy::outcomeOf(stageOf(result.stage_));
        verdict.code_ = isUnsent ? ResultCode::NoTarget : ResultCode::EntryConnectionLost;
        if (isUnsent)
            verdict.comeBack_ = Policy::leastComeBack;
        co_return verdict;
    }
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

Http::Response Dispatcher::toAnswer(Verdict verdict, const CallerRequest &request, unsigned version)
{
    const auto taken
        = std::chrono::duration_cast<Model::Microseconds>(steadyNow() - request.arrivedAt_);
    counters_.latency_.add(taken);
    switch (verdict.outcome_) {
    case Outcome::Run:
        ++counters_.run_;
        break;
    case Outcome::NotRun:
        ++counters_.notRun_;
        break;
    case Outcome::Unknown:
        ++counters_.unknown_;
        break;
    }
    Http::Response answer = verdict.answer_
                                ? std::move(*verdict.answer_)
                                : Http::refusal(Model::Reason{verdict.code_, ""}, version);
    answer.version(version);
    if (verdict.comeBack_ && verdict.comeBack_->count() > 0) {
        const auto seconds = (verdict.comeBack_->count() + 999) / 1000;
        answer.set(Http::http::field::retry_after, std::to_string(seconds));
        answer.set(viewOf(Http::comeBackHeader), std::to_string(verdict.comeBack_->count()));
    }
    answer.set(viewOf(Http::outcomeHeader), std::string(toText(verdict.outcome_)));
    answer.set(viewOf(Http::codeHeader), std::to_string(Model::number(verdict.code_)));
    answer.set(viewOf(Http::instanceHeader), settings_.instance_.value());
    // The answer to HEAD names the length of a body that is not there.
    if (request.message_.method() != Http::http::verb::head)
        answer.prepare_payload();
    return answer;
}

void Dispatcher::release(SlotHold slot, std::size_t serviceIndex)
{
    const Model::ServiceId service = slot.state()->target_.service_;
    slot.release();
    ServiceQueue &queue = *queues_[service];
    queue.onSlotReleased();
    if (queue.waiting() == 0)
        wakeOthers_(serviceIndex);
}

void Dispatcher::pump(std::size_t serviceIndex)
{
    const auto service = cell_.read([&](const EntrySnapshot *snapshot) {
        const auto &services = snapshot->table_->services();
        return serviceIndex < services.size() ? services[serviceIndex].id_ : Model::ServiceId();
    });
    const auto queue = queues_.find(service);
    if (queue != queues_.end() && queue->second)
        queue->second->pump();
}

std::size_t Dispatcher::waiting(std::size_t) const
{
    std::size_t sum = 0;
    for (const auto &[service, queue] : queues_)
        sum += queue->waiting();
    return sum;
}

void Dispatcher::start(bool probesTargets)
{
    Http::asio::co_spawn(context_, tickLoop(), Http::asio::detached);
    if (probesTargets)
        Http::asio::co_spawn(context_, probeLoop(), Http::asio::detached);
}

Http::Task<void> Dispatcher::tickLoop()
{
    while (true) {
        bool anyWaiting = false;
        for (const auto &[service, queue] : queues_) {
            if (queue->waiting() == 0)
                continue;
            anyWaiting = true;
            // Slots that other entries gave back are found by trying.
            queue->giveUpExpired();
            queue->pump();
        }
        co_await Http::sleepFor(anyWaiting ? tickPause : idleTickPause);
    }
}

} // namespace Entryd
