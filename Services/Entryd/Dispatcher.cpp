#include "Dispatcher.h"

namespace Entryd {

using Model::Milliseconds;
using Model::ResultCode;
using Observe::Event;
using Policy::Outcome;

namespace {

constexpr Milliseconds tickInterval{2};
constexpr Milliseconds idleTickInterval{20};
/// The bound on received answers of a process whose settings state no memory.
constexpr Policy::Bytes defaultHeldAnswers{512LL * 1024 * 1024};

Model::SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

RequestResult notRun(ResultCode code, Milliseconds retryDelay)
{
    RequestResult requestResult;
    requestResult.outcome_ = Outcome::NotRun;
    requestResult.code_ = code;
    requestResult.retryDelay_ = retryDelay;
    return requestResult;
}

/// Returns the result of a request whose last attempt ended with \a requestResult.
///
/// Without this, a caller whose first attempt ran but lost its answer, and whose second attempt
/// found no slot, receives "not run", which is true only of the second attempt.
RequestResult resultOfAllAttempts(RequestResult requestResult,
                                  const std::optional<ResultCode> &unknownCode)
{
    if (!unknownCode || requestResult.outcome_ != Outcome::NotRun)
        return requestResult;
    requestResult.outcome_ = Outcome::Unknown;
    requestResult.code_ = *unknownCode;
    requestResult.retryDelay_.reset();
    return requestResult;
}

/// Returns whether earlier requests with the same key may exist, so that their outcome is unknown.
///
/// A caller that sends "Request-Attempt: 1" declares that there are none.
bool mayBeRepeat(const Http::Request &message)
{
    const bool hasKey = message.count(viewOf(Http::idempotencyKeyHeader)) > 0;
    return hasKey && message[viewOf(Http::attemptHeader)] != "1";
}

/// Like resultOfAllAttempts(), for requests that ended before the claim of their key was read.
RequestResult resultBeforeClaim(RequestResult requestResult, const CallerRequest &request)
{
    if (mayBeRepeat(request.message_))
        requestResult.outcome_ = Outcome::Unknown;
    return requestResult;
}

} // namespace

Dispatcher::Dispatcher(Http::asio::io_context &context, const Observe::Settings &settings,
                       const SnapshotCell &cell, Planner &planner, ClaimManager &claims,
                       CrashGuard &guard, SlotHints &hints, int threadNumber,
                       std::function<void(std::size_t)> wakeOthers)
    : context_(context)
    , settings_(settings)
    , cell_(cell)
    , planner_(planner)
    , claims_(claims)
    , guard_(guard)
    , hints_(hints)
    , wakeOthers_(std::move(wakeOthers))
    , pool_(context)
    , threadNumber_(threadNumber)
{
    const auto heldLimit = Policy::heldBytesLimit(settings.size_).value_or(defaultHeldAnswers);
    heldAnswers_->limit_ = Policy::Bytes(heldLimit.value() / settings.entryThreads_);
    // The start time makes request ids unique across all incarnations of the instance.
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
        queue = std::make_unique<ServiceQueue>(context_, cell_, planner_, hints_, entryFailures_,
                                               forwarding_, seed);
    }
    return *queue;
}

bool Dispatcher::isWithinQuota(const EntrySnapshot &snapshot, const CallerRequest &request)
{
    const auto *workspace = snapshot.table_->workspaces().find(request.workspace_);
    if (!workspace)
        return true;
    const std::size_t holders
        = snapshot.fleetSize_ * static_cast<std::size_t>(settings_.entryThreads_);
    return Policy::admitEqualPart(quotaBuckets_[workspace->id_], *workspace, holders, steadyNow());
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
        if (!snapshot || !snapshot->takesCallers_)
            return Model::fail(ResultCode::NotReady, "");
        auto read = readCallerRequest(*snapshot, std::move(incoming), newRequestId());
        if (read && !isWithinQuota(*snapshot, *read))
            return Model::fail(ResultCode::QuotaExceeded, "");
        return read;
    });
    if (!request)
        co_return refuse(version, refused);
    RequestResult requestResult;
    if (request->claimKey_.empty()) {
        requestResult = co_await processRequest(*request);
    } else {
        requestResult = co_await processClaimedRequest(*request);
    }
    guard_.releaseProbe(*request);
    co_return toAnswer(std::move(requestResult), *request, version);
}

Http::Task<Http::Response> Dispatcher::answerEntry(Http::IncomingRequest incoming)
{
    ++counters_.requests_;
    ++counters_.receivedForwarded_;
    const unsigned version = incoming.message_.version();
    auto request = cell_.read([&](const EntrySnapshot *snapshot) -> std::optional<CallerRequest> {
        if (!snapshot || !snapshot->isReady_)
            return Model::fail(ResultCode::NotReady, "");
        return readForwardedRequest(*snapshot, std::move(incoming));
    });
    if (!request)
        co_return refuse(version, Outcome::NotRun);
    RequestResult requestResult = co_await processRequest(*request);
    guard_.releaseProbe(*request);
    Http::Response answer = toAnswer(std::move(requestResult), *request, version);
    answer.set(viewOf(Http::requestIdHeader), request->id_.value());
    co_return answer;
}

Http::Task<RequestResult> Dispatcher::processClaimedRequest(CallerRequest &request)
{
    // A repeated key is replayed from its claim even if the request is quarantined; only a first
    // request is checked here.
    if (!mayBeRepeat(request.message_)) {
        if (const auto retryDelay = guard_.check(request, 0, steadyNow()))
            co_return notRun(ResultCode::Quarantined, *retryDelay);
    }
    // A request that would be rejected anyway must not cost the store two writes.
    ServiceQueue &queue = queueFor(request);
    if (queue.wouldReject(request)) {
        co_return resultBeforeClaim(notRun(ResultCode::OverCapacity, queue.estimatedRetryDelay()),
                                    request);
    }

    const Platform::ClaimResult held = co_await claims_.claim(request);
    if (!held.verdict_) {
        co_return resultBeforeClaim(notRun(ResultCode::StoreUnavailable, Milliseconds(1000)),
                                    request);
    }
    RequestResult requestResult;
    switch (*held.verdict_) {
    case Policy::ClaimVerdict::Replay: {
        const auto status = static_cast<Http::http::status>(held.claim_.answerStatus_);
        requestResult.outcome_ = Outcome::Run;
        requestResult.answer_
            = Http::textAnswer(status, held.claim_.answerType_, held.claim_.answerBody_, 11);
        co_return requestResult;
    }
    case Policy::ClaimVerdict::OtherRequest:
        co_return notRun(ResultCode::KeyReusedWithOtherBody, Milliseconds(0));
    case Policy::ClaimVerdict::Unknown:
        requestResult.outcome_ = Outcome::Unknown;
        requestResult.code_ = ResultCode::KeyOutcomeUnknown;
        co_return requestResult;
    case Policy::ClaimVerdict::Proceed:
    case Policy::ClaimVerdict::TakeOver:
        break;
    }

    requestResult = co_await processRequest(request);
    Policy::Claim outcome;
    outcome.state_ = requestResult.outcome_ == Outcome::Run ? Policy::ClaimState::Run
                                                            : Policy::ClaimState::Released;
    if (requestResult.outcome_ == Outcome::Unknown)
        co_return requestResult;
    if (requestResult.answer_) {
        outcome.answerStatus_ = static_cast<int>(requestResult.answer_->result_int());
        const auto type = (*requestResult.answer_)[Http::http::field::content_type];
        outcome.answerType_ = std::string(type.data(), type.size());
        outcome.answerBody_ = requestResult.answer_->body();
    }
    claims_.resolveInBackground(request, held, std::move(outcome));
    co_return requestResult;
}

Http::Task<RequestResult> Dispatcher::processRequest(CallerRequest &request)
{
    Policy::earnRetryCredit(retryBudget_);
    ServiceQueue &queue = queueFor(request);
    int attempts = 0;
    std::optional<ResultCode> unknownCode;
    while (true) {
        if (const auto retryDelay = guard_.check(request, attempts, steadyNow())) {
            RequestResult requestResult = notRun(ResultCode::Quarantined, *retryDelay);
            co_return resultOfAllAttempts(std::move(requestResult), unknownCode);
        }
        const auto waitingSince = steadyNow();
        Placement placement = co_await queue.place(request);
        counters_.waiting_.add(
            std::chrono::duration_cast<Model::Microseconds>(steadyNow() - waitingSince));
        if (const auto *rejection = std::get_if<Rejection>(&placement)) {
            RequestResult requestResult = notRun(rejection->code_, rejection->retryDelay_);
            co_return resultOfAllAttempts(std::move(requestResult), unknownCode);
        }

        ++attempts;
        bool isRefusedAsFull = false;
        const bool holdsCredit
            = Policy::reserveRetryCredit(retryBudget_, request.isIdempotent_, attempts);
        RequestResult requestResult = co_await attempt(request, std::move(placement),
                                                       {attempts, holdsCredit}, isRefusedAsFull);
        if (holdsCredit)
            Policy::releaseRetryCredit(retryBudget_);
        if (requestResult.outcome_ == Outcome::Run)
            co_return requestResult;
        // A target without a free slot is not a failure: the request returns to the queue.
        if (isRefusedAsFull) {
            --attempts;
            ++counters_.refusedByTargets_;
            continue;
        }
        if (requestResult.outcome_ == Outcome::Unknown)
            unknownCode = requestResult.code_;
        // A quarantine decision of another region applies here too.
        if (requestResult.code_ == ResultCode::Quarantined)
            co_return resultOfAllAttempts(std::move(requestResult), unknownCode);
        if (!Policy::mayRetry(retryBudget_, requestResult.outcome_, request.isIdempotent_,
                              attempts))
            co_return resultOfAllAttempts(std::move(requestResult), unknownCode);
        ++counters_.retries_;
    }
}

Http::Response Dispatcher::toAnswer(RequestResult requestResult, const CallerRequest &request,
                                    unsigned version)
{
    const auto taken
        = std::chrono::duration_cast<Model::Microseconds>(steadyNow() - request.arrivedAt_);
    counters_.latency_.add(taken);
    switch (requestResult.outcome_) {
    case Outcome::Run:
        ++counters_.run_;
        break;
    case Outcome::NotRun:
        ++counters_.notRun_;
        counters_.refusing_.add(taken);
        break;
    case Outcome::Unknown:
        ++counters_.unknown_;
        break;
    }
    Http::Response answer = requestResult.answer_
                                ? std::move(*requestResult.answer_)
                                : Http::refusal(Model::Reason{requestResult.code_, ""}, version);
    answer.version(version);
    if (requestResult.retryDelay_ && requestResult.retryDelay_->count() > 0) {
        const auto seconds = (requestResult.retryDelay_->count() + 999) / 1000;
        answer.set(Http::http::field::retry_after, std::to_string(seconds));
        answer.set(viewOf(Http::retryAfterHeader),
                   std::to_string(requestResult.retryDelay_->count()));
    }
    answer.set(viewOf(Http::outcomeHeader), std::string(toText(requestResult.outcome_)));
    answer.set(viewOf(Http::codeHeader), std::to_string(Model::number(requestResult.code_)));
    answer.set(viewOf(Http::instanceHeader), settings_.instance_.value());
    // The answer to HEAD states the length of a body that it does not carry.
    if (request.message_.method() != Http::http::verb::head)
        answer.prepare_payload();
    return answer;
}

void Dispatcher::release(SlotHold slot, std::size_t serviceIndex)
{
    const std::shared_ptr<TargetState> target = slot.state();
    slot.release();
    ServiceQueue &queue = *queues_[target->target_.service_];
    queue.countFinished();
    if (hints_.yieldFreedSlot(serviceIndex, *target))
        return;
    queue.pump();
    noteWaiting(serviceIndex, queue);
    if (queue.waiting() == 0)
        wakeOthers_(serviceIndex);
}

void Dispatcher::noteWaiting(std::size_t serviceIndex, const ServiceQueue &queue)
{
    hints_.noteWaiting(threadNumber_, serviceIndex, queue.oldestSince(), queue.waiting());
}

void Dispatcher::pump(std::size_t serviceIndex)
{
    const auto service = cell_.read([&](const EntrySnapshot *snapshot) {
        const auto &services = snapshot->table_->services();
        return serviceIndex < services.size() ? services[serviceIndex].id_ : Model::ServiceId();
    });
    const auto queue = queues_.find(service);
    if (queue == queues_.end() || !queue->second)
        return;
    queue->second->pump();
    noteWaiting(serviceIndex, *queue->second);
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
            const auto index = cell_.read([&id = service](const EntrySnapshot *snapshot) {
                const auto found = snapshot->serviceIndex_.find(id);
                return found == snapshot->serviceIndex_.end() ? 0 : found->second;
            });
            if (queue->waiting() > 0) {
                anyWaiting = true;
                // Slots released by other entries are found by trying.
                queue->rejectExpired();
                queue->pump();
            }
            noteWaiting(index, *queue);
        }
        const Milliseconds pause = anyWaiting ? tickInterval : idleTickInterval;
        const auto wakeAt = steadyNow() + pause;
        co_await Http::sleepFor(pause);
        counters_.loopLag_.add(
            std::chrono::duration_cast<Model::Microseconds>(steadyNow() - wakeAt));
    }
}

} // namespace Entryd
