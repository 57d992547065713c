#include "Dispatcher.h"

namespace Steering {

using Http::Task;
using Model::Microseconds;
using Model::SteadyTime;
using Observe::Event;
using Policy::Outcome;

namespace {

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

/// The second try of a request. Shared by the request's coroutine and its own, because it may end
/// later than the request.
struct Dispatcher::SecondTry
{
    SecondTry(Http::asio::io_context &context, RequestContext &request, const Placement &placement)
        : first_(&request)
        , firstPlacement_(placement)
        , due_(context)
        , ended_(context)
    {
    }

    /// Ends the attempt, or prevents it.
    void cancel()
    {
        first_ = nullptr;
        due_.cancel();
        if (isInProgress_)
            request_->control_.cancel();
    }

    /// The request whose first try is in progress; null once that has ended.
    RequestContext *first_;
    const Placement firstPlacement_;
    SteadyTime firstSentAt_ = Model::distantPast;
    bool isStarted_ = false;
    bool isInProgress_ = false;
    /// Set once the second try is made.
    std::optional<RequestContext> request_;
    bool wasSent_ = false;
    std::optional<Placement> placement_;
    std::optional<Attempt> result_;
    /// Waits until the second try is due.
    Http::asio::steady_timer due_;
    /// Never expires; cancelled when the second try has ended.
    Http::asio::steady_timer ended_;
};

/// Detaches the second try from its request where the request's coroutine leaves the attempt, also
/// by an exception. Thread safety: none; belongs to the dispatcher's thread.
class Dispatcher::SecondTryScope
{
public:
    SecondTryScope(RequestContext &request, SecondTry &second)
        : request_(request)
        , second_(second)
    {
    }
    ~SecondTryScope()
    {
        request_.onAttemptSent_ = nullptr;
        request_.onAbandoned_ = nullptr;
        second_.cancel();
    }
    SecondTryScope(const SecondTryScope &) = delete;
    SecondTryScope &operator=(const SecondTryScope &) = delete;

private:
    RequestContext &request_;
    SecondTry &second_;
};

Task<Dispatcher::Attempt> Dispatcher::attemptWithSecondTry(RequestContext &request,
                                                           Placement &placement)
{
    const Model::Route &route = *request.route_;
    if (!route.isIdempotent_ || route.attempts_ < 2 || request.attempts_ > 0 || request.isForwarded_
        || !placementEngine_.reportsPace(request.service_)) {
        Attempt attempted = co_await attempt(request, placement);
        co_return attempted;
    }

    const auto second = std::make_shared<SecondTry>(context_, request, placement);
    const SecondTryScope scope(request, *second);
    // The callbacks live no longer than the scope, and so than the second try.
    request.onAttemptSent_ = [this, second = second.get(), weak = std::weak_ptr(second)] {
        if (std::exchange(second->isStarted_, true))
            return;
        second->firstSentAt_ = steadyNow();
        const auto delay = placementEngine_.secondTryDelay(*second->first_, second->firstPlacement_,
                                                           second->firstSentAt_);
        const auto shared = weak.lock();
        Http::asio::co_spawn(context_, runSecondTry(shared, delay),
                             [shared](const std::exception_ptr &) {
                                 shared->isInProgress_ = false;
                                 shared->ended_.cancel();
                             });
    };
    request.onAbandoned_ = [second = second.get()] {
        if (second->isInProgress_)
            second->request_->isAbandoned_ = true;
        second->cancel();
    };

    Attempt first = co_await attempt(request, placement);
    request.onAttemptSent_ = nullptr;
    if (first.answer_)
        co_return first;
    second->first_ = nullptr;
    second->due_.cancel();
    while (second->isInProgress_) {
        Http::ErrorCode error;
        second->ended_.expires_at(SteadyTime::max());
        co_await second->ended_.async_wait(
            Http::asio::redirect_error(Http::asio::use_awaitable, error));
    }
    if (!second->request_)
        co_return first;

    request.tried_.push_back(second->placement_->target_->record_.id_);
    request.attempts_ += second->wasSent_ ? 1 : 0;
    if (second->request_->leavingTarget_)
        request.leavingTarget_ = second->request_->leavingTarget_;
    if (!second->result_)
        co_return first;
    if (second->result_->answer_) {
        ++counters_.secondTriesWon_;
        if (request.isOvertaken()) {
            const auto now = steadyNow();
            const auto took = std::chrono::duration_cast<Microseconds>(now - second->firstSentAt_);
            placementEngine_.noteOvertaken(request, second->firstPlacement_, took, now);
        }
        placement = *second->placement_;
        co_return std::move(*second->result_);
    }
    // The first attempt may not have run; the second one may.
    const bool isFirstCertain = first.outcome_ == Outcome::NotRun || first.isStale_;
    if (isFirstCertain && second->result_->outcome_ == Outcome::Unknown)
        co_return std::move(*second->result_);
    co_return first;
}

/// Makes the second try of a request whose first try is not answered within \a delay.
Task<void> Dispatcher::runSecondTry(std::shared_ptr<SecondTry> second, Microseconds delay)
{
    Http::ErrorCode error;
    second->due_.expires_after(delay);
    co_await second->due_.async_wait(Http::asio::redirect_error(Http::asio::use_awaitable, error));
    if (!second->first_ || !beginSecondTry(*second))
        co_return;
    RequestContext &request = *second->request_;
    request.onAttemptSent_ = [state = second.get()] {
        state->wasSent_ = true;
    };
    second->isInProgress_ = true;
    Attempt attempted = co_await attempt(request, *second->placement_);
    if (!second->wasSent_)
        Policy::releaseRetryCredit(retryBudgets_[request.service_]);
    const bool isAnswered = attempted.answer_.has_value();
    second->result_ = std::move(attempted);
    // The connection of the first try is open, so the first try ends at once.
    if (isAnswered && second->first_)
        second->first_->control_.cancel();
}

/// Places the second try and takes the credit for it. Returns false if it is not made.
bool Dispatcher::beginSecondTry(SecondTry &second)
{
    const auto now = steadyNow();
    RequestContext &first = *second.first_;
    // An answer that has begun to arrive is not raced.
    if (now >= first.deadline_ || first.control_.hasReceivedSince(second.firstSentAt_))
        return false;
    RequestContext copy = first;
    copy.control_ = Http::ExchangeControl();
    copy.onAttemptSent_ = nullptr;
    copy.onAbandoned_ = nullptr;
    copy.isSecondTry_ = true;
    copy.holdsProbeSlot_ = false;
    const bool isWithheld = guard_.check(copy, now).has_value();
    const bool isProbe = first.holdsProbeSlot_ || copy.holdsProbeSlot_;
    guard_.release(copy);

    Policy::SecondTryFacts facts;
    facts.isIdempotent_ = first.route_->isIdempotent_;
    facts.attempts_ = first.attempts_ + 1;
    facts.attemptLimit_ = first.route_->attempts_;
    facts.hasFreeSlot_ = true;
    facts.slotUse_ = placementEngine_.slotUse(first.service_);
    facts.isSecondTry_ = first.isSecondTry_ || first.attempts_ > 0;
    facts.isHeldByCrashGuard_ = isWithheld || isProbe;
    facts.hasCallerLeft_ = first.isAbandoned_ || first.incoming_->hasPeerClosed_();
    facts.mayHoldAnswer_ = !checkHeldBytes(first);
    facts.isForwarded_ = first.isForwarded_;
    Policy::RetryBudget &budget = retryBudgets_[first.service_];
    // A placement counts against the limits of its target, so none is made in vain.
    if (!Policy::isSecondTryAllowed(facts) || budget.credit_ < 1)
        return false;
    copy.attempts_ = facts.attempts_;
    const auto placed = placementEngine_.place(copy, now);
    if (std::holds_alternative<Refusal>(placed))
        return false;
    const Placement &placement = std::get<Placement>(placed);
    const TargetState &target = *placement.target_;
    facts.hasFreeSlot_ = placement.load_ + 1 <= static_cast<double>(target.record_.slots_.value());
    facts.slotUse_ = placementEngine_.slotUse(first.service_);
    if (!Policy::takeSecondTry(budget, facts)) {
        placementEngine_.withdraw(placement);
        return false;
    }
    ++counters_.secondTries_;
    log_.line(Event::SecondTry)
        .add("id", first.id_)
        .add("first", second.firstPlacement_.target_->record_.id_.value())
        .add("second", target.record_.id_.value())
        .add("waited_ms", std::chrono::duration_cast<Microseconds>(now - second.firstSentAt_));
    second.placement_ = placement;
    second.request_.emplace(std::move(copy));
    return true;
}

} // namespace Steering
