#include "Dispatcher.h"

namespace Entryd {

using Model::Milliseconds;
using Model::ResultCode;
using Observe::Event;
using Policy::Outcome;

namespace {

constexpr Milliseconds tickPause{2};
constexpr Milliseconds idleTickPause{20};
Model::SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
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
        queue = std::make_unique<ServiceQueue>(context_, cell_, planner_, hints_, entryFailures_,
                                               seed);
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
        if (!snapshot || !snapshot->takesCallers_)
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
    guard_.release(*request);
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
    guard_.release(*request);
    Http::Response answer = toAnswer(std::move(verdict), *request, version);
    answer.set(viewOf(Http::requestIdHeader), request->id_.value());
    co_return answer;
}

Http::Task<Verdict> Dispatcher::carryClaimed(CallerRequest &request)
{
    // What ran under the key before is answered, whatever became of targets since; a first request
    // need not ask for it.
    if (!mayBeRepeat(request.message_)) {
        if (const auto comeBack = guard_.check(request, 0, steadyNow()))
            co_return notRun(ResultCode::Quarantined, *comeBack);
    }
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
        if (const auto comeBack = guard_.check(request, attempts, steadyNow())) {
            Verdict verdict = notRun(ResultCode::Quarantined, *comeBack);
            co_return ofAllAttempts(std::move(verdict), unknownBecause);
        }
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
        const bool holdsCredit
            = Policy::holdRetryCredit(retryBudget_, request.isIdempotent_, attempts);
        Verdict verdict = co_await attempt(request, std::move(placement), {attempts, holdsCredit},
                                           isRefusedAsFull);
        if (holdsCredit)
            Policy::giveBackRetryCredit(retryBudget_);
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
        // Another region's word against the request holds here too.
        if (verdict.code_ == ResultCode::Quarantined)
            co_return ofAllAttempts(std::move(verdict), unknownBecause);
        if (!Policy::mayRetry(retryBudget_, verdict.outcome_, request.isIdempotent_, attempts))
            co_return ofAllAttempts(std::move(verdict), unknownBecause);
        ++counters_.retries_;
    }
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
        counters_.refusing_.add(taken);
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
    const std::shared_ptr<TargetState> target = slot.state();
    slot.release();
    ServiceQueue &queue = *queues_[target->target_.service_];
    queue.countFinished();
    if (hints_.leaveToOthers(serviceIndex, *target))
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
                // Slots that other entries gave back are found by trying.
                queue->giveUpExpired();
                queue->pump();
            }
            noteWaiting(index, *queue);
        }
        const Milliseconds pause = anyWaiting ? tickPause : idleTickPause;
        const auto wakeAt = steadyNow() + pause;
        co_await Http::sleepFor(pause);
        counters_.loopLag_.add(
            std::chrono::duration_cast<Model::Microseconds>(steadyNow() - wakeAt));
    }
}

} // namespace Entryd
