#include "Dispatcher.h"
#include "HeldAttempt.h"
#include "InProgressEntry.h"

#include <algorithm>
#include <charconv>

namespace Steering {

using Http::Task;
using Model::Microseconds;
using Model::Milliseconds;
using Model::ResultCode;
using Model::SteadyTime;
using Observe::Event;
using Policy::Outcome;
namespace http = Http::http;

namespace {

/// A non-idempotent request requires a connection that has been idle for less time.
constexpr Milliseconds maxIdleTime{8000};
constexpr Milliseconds maxIdleTimeNonIdempotent{6000};
/// How long after the deadline a target's own timeout response may still arrive.
constexpr Milliseconds deadlineSlack{150};
/// Connections that take longer than this to open are opened in advance: callers of a region with
/// few targets lose an inter-region round trip on each.
constexpr Microseconds slowConnectThreshold{10000};
/// A connection that has been idle for longer is replaced before it is too old for a non-idempotent
/// request.
constexpr Milliseconds idleRefreshAge = maxIdleTimeNonIdempotent - Milliseconds(1000);
/// Each request in progress needs one connection; a target accepts about 400 from all entries
/// together.
constexpr std::size_t maxConnectionsPerTarget = 24;
/// Late answers to earlier requests that may precede the matching one.
constexpr int maxForeignAnswersSkipped = 2;
/// Fraction of the platform's retry limit for all instances that is used, so that a wrong count of
/// instances does not exceed the limit.
constexpr double usedRetryFraction = 0.5;
/// The same for the part that is a share of the requests, which does not depend on the count. Used
/// where targets differ from moment to moment and a second one often serves the caller.
constexpr double usedRetryShare = 0.8;
constexpr long long maxDeadlineMs = 86400000;

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view textOf(Http::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

std::string_view withoutPort(std::string_view host)
{
    return host.substr(0, host.find(':'));
}

std::optional<Milliseconds> timeLeftIn(std::string_view text)
{
    long long value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value <= 0)
        return std::nullopt;
    return Milliseconds(std::min(value, maxDeadlineMs));
}

} // namespace

Dispatcher::Dispatcher(Http::asio::io_context &context, const PlatformPort &port,
                       const PlatformState &knowledge, PlacementEngine &placementEngine,
                       ReachMonitor &reach, CrashGuard &guard, QuotaExchange &quotas,
                       Observe::DecisionLog &log)
    : context_(context)
    , port_(port)
    , platformState_(knowledge)
    , placementEngine_(placementEngine)
    , reach_(reach)
    , guard_(guard)
    , quotas_(quotas)
    , log_(log)
    , queue_(context, port.headers_, log)
    , pool_(context)
{
}

Task<Http::Response> Dispatcher::answer(Http::IncomingRequest incoming)
{
    ++counters_.requests_;
    RequestContext request;
    request.incoming_ = std::make_shared<const Http::IncomingRequest>(std::move(incoming));
    const InProgressEntry inProgressEntry(requestsInProgress_, request);
    auto refused = readRequest(request);
    co_return co_await process(request, std::move(refused));
}

Task<Http::Response> Dispatcher::process(RequestContext &request,
                                         std::optional<Http::Response> refused)
{
    if (refused)
        co_return std::move(*refused);
    Http::Response response = co_await sendWithRetries(request);
    queue_.leave(request);
    guard_.release(request);
    if (request.isAbandoned_)
        ++counters_.abandoned_;
    co_return response;
}

std::optional<Http::Response> Dispatcher::readRequest(RequestContext &request,
                                                      const ForwardedRequest *forwarded)
{
    const Http::Request &message = request.incoming_->message_;
    request.arrivedAt_ = request.incoming_->arrivedAt_;
    request.id_ = std::string(textOf(message[viewOf(port_.headers_.requestId_)]));
    request.table_ = platformState_.table();
    if (!request.table_ || !guard_.isInformed())
        return refuse(request, {ResultCode::NotReady, retryDelayWhenNotReady, Microseconds(0)});

    const std::string_view host = withoutPort(textOf(message[http::field::host]));
    request.route_ = request.table_->routes().find(host, pathOf(textOf(message.target())));
    if (!request.route_)
        return refuse(request, {ResultCode::UnknownRoute, Milliseconds(0), Microseconds(0)});
    if (auto refused = identifyCaller(request))
        return refused;

    const auto callerTimeout = timeLeftIn(textOf(message[viewOf(port_.headers_.timeLeft_)]));
    const Milliseconds timeout = request.route_->timeout_;
    request.deadline_ = request.arrivedAt_ + std::min(callerTimeout.value_or(timeout), timeout);
    const auto key = textOf(message[viewOf(port_.headers_.affinityKey_)]);
    request.hasObject_ = request.route_->hasAffinity_ && !key.empty();
    // Objects of different routes are distinct even if their keys are equal.
    const std::string_view spread = request.hasObject_ ? key : std::string_view(request.id_);
    request.object_
        = Policy::ownerScore(Policy::seedOf(spread), Policy::seedOf(request.route_->id_.value()));
    if (forwarded) {
        // The peer has chosen by the weights and earned the credit for retries.
        request.service_ = forwarded->service_;
        return std::nullopt;
    }
    request.service_ = placementEngine_.chooseService(*request.route_);
    const auto shortage
        = shortage_ ? shortage_->check(request, steadyNow()) : std::optional<Refusal>();
    if (shortage)
        return refuse(request, *shortage);
    Policy::RetryTerms terms;
    const bool isPaced = placementEngine_.reportsPace(request.service_);
    terms.share_ = port_.terms_.retryShare_ * (isPaced ? usedRetryShare : usedRetryFraction);
    terms.maxCredit_
        = port_.terms_.retryExtra_ * usedRetryFraction / static_cast<double>(instances_);
    // Below one, no instance of a large fleet could ever retry.
    if (isPaced)
        terms.maxCredit_ = std::max(1.0, terms.maxCredit_);
    Policy::earnRetryCredit(retryBudgets_[request.service_], terms);
    return std::nullopt;
}

/// Finds the caller's workspace and charges the request to its quota.
std::optional<Http::Response> Dispatcher::identifyCaller(RequestContext &request)
{
    const Http::Request &message = request.incoming_->message_;
    const auto name = viewOf(port_.headers_.callerKey_);
    const auto use
        = request.route_->isPublic_ ? Policy::KeyUse::Optional : Policy::KeyUse::Required;
    const auto key = message.count(name) == 1 ? textOf(message[name]) : std::string_view();
    const auto workspace = Policy::workspaceOfCaller(request.table_->workspaces(), use, key);
    if (!workspace)
        return refuse(request, {Model::lastReason().code_, Milliseconds(0), Microseconds(0)});
    request.workspace_ = *workspace;
    if (!request.workspace_ || request.isForwarded_)
        return std::nullopt;
    const int rank = request.route_->priority_;
    if (!quotas_.admit(*request.workspace_, rank, steadyNow())) {
        return refuse(request, {ResultCode::QuotaExceeded, quotas_.retryDelay(*request.workspace_),
                                Microseconds(0)});
    }
    return std::nullopt;
}

Task<Http::Response> Dispatcher::sendWithRetries(RequestContext &request)
{
    // The first attempt after which the request may have run. Its outcome stays unknown regardless
    // of the results of later attempts.
    std::optional<Attempt> unresolved;
    bool isOverBytes = false;
    if (queue_.shouldYield(request)) {
        co_await queue_.letWaitingGoFirst(request.service_);
    }
    while (true) {
        if (const auto tooMuch = checkHeldBytes(request))
            co_return unresolved ? failRequest(request, *unresolved) : refuse(request, *tooMuch);
        if (mayOutlastProcess(request)) {
            // Another instance can serve it at once.
            const Refusal stopping{ResultCode::Stopping, Policy::minRetryAfter, Microseconds(0)};
            co_return unresolved ? failRequest(request, *unresolved) : refuse(request, stopping);
        }
        if (const auto withheld = guard_.check(request, steadyNow()))
            co_return unresolved ? failRequest(request, *unresolved) : refuse(request, *withheld);
        const auto peer = peerFor(request, steadyNow());
        request.hasRoom_
            = queue_.hasRoom(request, placementEngine_.regionSlotsOf(request.service_));
        const auto placed = placementEngine_.place(request, steadyNow());
        if (std::holds_alternative<Refusal>(placed)) {
            if (peer) {
                queue_.leave(request);
                Attempt forwarded = co_await forward(request, *peer);
                if (forwarded.answer_)
                    co_return deliverForwarded(request, std::move(forwarded));
                if (forwarded.outcome_ == Outcome::NotRun && steadyNow() < request.deadline_)
                    continue;
                co_return failRequest(request, unresolved ? *unresolved : forwarded);
            }
            if (unresolved)
                co_return failRequest(request, *unresolved);
            Refusal refusal = std::get<Refusal>(placed);
            if (isOverBytes) {
                refusal.code_ = ResultCode::TooManyBytesHeld;
            } else if (co_await queue_.waitForRoom(request, refusal)) {
                continue;
            }
            co_return refuse(request, refusal);
        }
        queue_.notePlaced(request, steadyNow());
        Placement placement = std::get<Placement>(placed);
        Attempt attempted = co_await attemptWithSecondTry(request, placement);
        queue_.noteAttemptEnded(request.service_, attempted.wasSent_, steadyNow());
        if (attempted.answer_)
            co_return deliver(request, placement, std::move(attempted));
        if (attempted.isWithdrawn_ && !attempted.wasSent_)
            continue;
        isOverBytes = isOverBytes || attempted.isOverBytes_;
        if (attempted.isStale_ && request.route_->isIdempotent_ && !request.isAbandoned_
            && steadyNow() < request.deadline_)
            continue;
        const bool mayTry = mayTryAgain(request, attempted, steadyNow());
        if (!unresolved && attempted.outcome_ != Outcome::NotRun)
            unresolved = attempted;
        if (!mayTry)
            co_return failRequest(request, unresolved ? *unresolved : attempted);
        if (attempted.isOverBytes_)
            continue;
        log_.line(Event::RequestRetried)
            .add("id", request.id_)
            .add("after", Model::describe(attempted.code_))
            .add("target", placement.target_->record_.id_.value())
            .add("print", toText(fingerprintFor(request, port_.headers_)));
        ++counters_.retried_;
    }
}

bool Dispatcher::mayOutlastProcess(const RequestContext &request) const
{
    return request.deadline_ + deadlineSlack > exitAt_;
}

Task<Dispatcher::Attempt> Dispatcher::attempt(RequestContext &request, const Placement &placement)
{
    TargetState &target = *placement.target_;
    request.tried_.push_back(target.record_.id_);
    if (!mayHoldAt(target, request.incoming_->message_.body().size())) {
        Attempt unsent;
        unsent.code_ = ResultCode::TooManyBytesHeld;
        unsent.isOverBytes_ = true;
        co_return unsent;
    }
    const auto sentAt = steadyNow();
    const Http::RequestView message = messageFor(request, target, sentAt);
    HeldAttempt held(held_, placement.target_, message.body().size());
    Http::ExchangeOptions options;
    options.address_ = placementEngine_.addressToDial(target);
    options.deadline_ = request.deadline_ + deadlineSlack;
    options.connectTimeout_ = placementEngine_.connectTimeoutFor(target);
    options.maxIdle_ = request.route_->isIdempotent_ ? maxIdleTime : maxIdleTimeNonIdempotent;
    options.maxIdle_ = Policy::idleLimitAt(idleLimits_[request.service_], options.maxIdle_, sentAt);
    if (request.attempts_ > 0 || request.needsNewConnection_)
        options.maxIdle_ = Milliseconds(0);
    options.connectionLimit_ = maxConnectionsPerTarget;
    const bool isAtLimit = pool_.openCount(options.address_) >= maxConnectionsPerTarget;
    options.acceptsUnframed_ = true;
    options.maxForeignAnswers_ = maxForeignAnswersSkipped;
    options.control_ = &request.control_;
    if (held_->limit_) {
        options.holdAnswer_ = answerHolder(held);
        options.unstatedAnswerLimitBytes_
            = static_cast<std::size_t>(Policy::unstatedAnswerLimit(*held_)->value());
    }
    bool hasBegun = false;
    options.maySend_ = [&] {
        // A pause that begins while the request is being sent does not cut it off.
        return maySendTo(target) && (hasBegun || !Policy::isPausing(target.pause_, steadyNow()));
    };
    options.maySendInterval_ = Policy::tickPeriod;
    options.withdrawalTimeout_ = Policy::sendToLeavingTimeout;
    options.onFirstByte_ = [&] {
        hasBegun = true;
        noteSend(request, target);
    };

    ++target.ownInFlight_;
    const auto sent = target.sentRequests_.insert(target.sentRequests_.end(),
                                                  {sentAt, placement.maxUsualLatency_});
    Http::ExchangeResult result = co_await Http::exchange(
        pool_, options, message,
        [name = viewOf(port_.headers_.requestId_)](const Http::RequestHead &sentRequest,
                                                   const Http::Response &answer) {
            return answer.count(name) == 1 && answer[name] == sentRequest[name];
        });
    --target.ownInFlight_;
    target.sentRequests_.erase(sent);
    const auto now = steadyNow();
    if (result.stage_ != Http::ExchangeStage::NotConnected)
        counters_.relayedBytes_ += message.body().size();
    if (result.answer_) {
        const std::size_t bytes = result.answer_->body().size();
        counters_.relayedBytes_ += bytes;
        Policy::learnAnswerSize(*held_, Policy::Bytes(static_cast<std::int64_t>(bytes)));
    }
    if (result.connectDuration_.count() > 0) {
        placementEngine_.noteConnect(target, result.connectDuration_);
        // The pool had no idle connection. If connecting is slow, open one more than is in use.
        if (result.connectDuration_ >= slowConnectThreshold && !target.isConnecting_) {
            options.control_ = nullptr;
            options.maySend_ = nullptr;
            options.onFirstByte_ = nullptr;
            options.holdAnswer_ = nullptr;
            options.deadline_ = now + options.connectTimeout_;
            Http::asio::co_spawn(context_, openIdleConnection(placement.target_, options),
                                 Http::asio::detached);
        }
    }
    const bool isStaleConnection = !request.isOvertaken() && isStale(target, result);
    if (isStaleConnection && request.route_->isIdempotent_) {
        request.tried_.pop_back();
    } else if (result.stage_ != Http::ExchangeStage::NotConnected) {
        ++request.attempts_;
    } else if (!result.isWithdrawn_ && !request.control_.isCancelled() && !isAtLimit) {
        reach_.noteContact(target, false, now);
        probeReach();
    }
    // The connect time is not part of the target's processing time.
    const auto took
        = std::chrono::duration_cast<Microseconds>(now - sentAt) - result.connectDuration_;
    Attempt attempted = judge(request, placement, sentAt, std::move(result));
    if (attempted.answer_ && !request.isOvertaken())
        placementEngine_.noteAnswer(request, placement, took, now, attempted.pace_);
    co_return attempted;
}

Task<void> Dispatcher::openIdleConnection(std::shared_ptr<TargetState> target,
                                          Http::ExchangeOptions options)
{
    target->isConnecting_ = true;
    co_await Http::prepareConnection(pool_, options);
    target->isConnecting_ = false;
}

void Dispatcher::refreshIdleConnections(const TargetRegistry &registry)
{
    const auto now = steadyNow();
    for (const auto &[id, target] : registry.all()) {
        if (!target->takesWork() || target->isConnecting_ || Policy::isPausing(target->pause_, now))
            continue;
        if (placementEngine_.roundTripTo(*target) < slowConnectThreshold
            || !Policy::isIdleConnectionWorthwhile(target->use_, maxIdleTimeNonIdempotent, now))
            continue;
        const auto address = placementEngine_.addressToDial(*target);
        if (pool_.pruneIdleConnections(address, maxIdleTime, idleRefreshAge))
            continue;
        Http::asio::co_spawn(context_, openIdleConnection(target, connectOptions(*target, now)),
                             Http::asio::detached);
    }
}

/// Returns the options for opening a connection to \a target without sending a request.
Http::ExchangeOptions Dispatcher::connectOptions(const TargetState &target, SteadyTime now) const
{
    Http::ExchangeOptions options;
    options.address_ = placementEngine_.addressToDial(target);
    options.connectTimeout_ = placementEngine_.connectTimeoutFor(target);
    options.deadline_ = now + options.connectTimeout_;
    options.connectionLimit_ = maxConnectionsPerTarget;
    return options;
}

Http::RequestView Dispatcher::messageFor(const RequestContext &request, const TargetState &target,
                                         SteadyTime now) const
{
    Http::RequestView message = Http::viewOf(request.incoming_->message_);
    Http::stripConnectionFields(message);
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline_ - now);
    message.set(viewOf(port_.headers_.timeLeft_),
                std::to_string(std::max<long long>(1, left.count())));
    message.erase(viewOf(port_.headers_.callerKey_));
    message.erase(viewOf(port_.headers_.workspace_));
    if (request.workspace_)
        message.set(viewOf(port_.headers_.workspace_), request.workspace_->id_.value());
    // Another target may have taken over the address; it must not run the request.
    message.set(viewOf(port_.headers_.expectedTarget_), target.record_.id_.value());
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

/// Rechecked until the first byte is sent, because the target may leave or be drained after it was
/// chosen.
bool Dispatcher::maySendTo(const TargetState &target) const
{
    return target.takesWork() && !platformState_.drained().contains(target.record_.domain_);
}

void Dispatcher::noteSend(RequestContext &request, TargetState &target)
{
    const auto now = steadyNow();
    if (request.onAttemptSent_)
        request.onAttemptSent_();
    if (request.workspace_ && !request.isCountedAsSent_) {
        request.isCountedAsSent_ = true;
        quotas_.noteSent(*request.workspace_);
    }
    target.lastSend_
        = {request.id_, now, platformState_.replica(StoreTable::Targets).knownRevision(),
           targetsFreshness_()};
    if (!target.removedRegistration_)
        return;
    log_.line(Event::RequestSentToMissing)
        .add("id", request.id_)
        .add("target", target.record_.id_.value())
        .add("revision", static_cast<std::int64_t>(target.removedRegistration_->revision_))
        .add("missing_ms", std::chrono::duration_cast<Microseconds>(
                               now - target.removedRegistration_->noticedAt_));
}

void Dispatcher::sweepAbandoned()
{
    for (RequestContext *request : requestsInProgress_) {
        if (request->isAbandoned_ || !request->route_ || !request->incoming_->hasPeerClosed_())
            continue;
        request->isAbandoned_ = true;
        if (!request->route_->isIdempotent_)
            continue;
        request->control_.cancel();
        if (request->onAbandoned_)
            request->onAbandoned_();
    }
    queue_.tick(steadyNow());
}

void Dispatcher::dropIdleConnections(const std::vector<Model::Address> &addresses)
{
    for (const auto &address : addresses)
        pool_.dropIdle(address);
}

void Dispatcher::dropAllIdleConnections(const TargetRegistry &registry)
{
    for (const auto &[id, target] : registry.all())
        pool_.dropIdle(placementEngine_.addressToDial(*target));
}

} // namespace Steering
