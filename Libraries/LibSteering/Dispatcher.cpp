#include "Dispatcher.h"

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
constexpr Milliseconds longestRest{8000};
constexpr Milliseconds longestRestOnce{6000};
/// How long after the deadline a target's own timeout response may still arrive.
constexpr Milliseconds deadlineSlack{150};
/// Connections that take longer than this to open are opened in advance: callers of a region with
/// few targets lose an inter-region round trip on each.
constexpr Microseconds dearConnection{10000};
/// A connection that has been idle for longer is replaced before it is too old for a non-idempotent
/// request.
constexpr Milliseconds freshSpare = longestRestOnce - Milliseconds(1000);
/// Each request in progress needs one connection; a target accepts about 400 from all entries
/// together.
constexpr std::size_t connectionsToTarget = 24;
/// Late answers to earlier requests that may precede the matching one.
constexpr int foreignAnswersSkipped = 2;
/// Fraction of the platform's retry limit for all instances that is used, so that a wrong count of
/// instances does not exceed the limit.
constexpr double usedRetryPart = 0.5;
constexpr long long longestDeadlineMs = 600000;

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
    return Milliseconds(std::min(value, longestDeadlineMs));
}

/// Lists a request as in progress for the lifetime of this object.
class Registration
{
public:
    Registration(std::list<Job *> &jobs, Job &job)
        : jobs_(jobs)
        , place_(jobs.insert(jobs.end(), &job))
    {
    }
    ~Registration() { jobs_.erase(place_); }
    Registration(const Registration &) = delete;
    Registration &operator=(const Registration &) = delete;

private:
    std::list<Job *> &jobs_;
    std::list<Job *>::iterator place_;
};

} // namespace

Dispatcher::Dispatcher(Http::asio::io_context &context, const PlatformPort &port,
                       const Knowledge &knowledge, Placer &placer, CrashGuard &guard,
                       Observe::DecisionLog &log)
    : context_(context)
    , port_(port)
    , knowledge_(knowledge)
    , placer_(placer)
    , guard_(guard)
    , log_(log)
    , pool_(context)
{
}

Task<Http::Response> Dispatcher::answer(Http::IncomingRequest incoming)
{
    ++counters_.requests_;
    Job job;
    job.incoming_ = std::move(incoming);
    const Registration registration(jobs_, job);
    auto refused = readRequest(job);
    if (refused)
        co_return std::move(*refused);
    Http::Response response = co_await carry(job);
    guard_.release(job);
    if (job.isAbandoned_)
        ++counters_.abandoned_;
    co_return response;
}

std::optional<Http::Response> Dispatcher::readRequest(Job &job)
{
    const Http::Request &message = job.incoming_.message_;
    job.arrivedAt_ = job.incoming_.arrivedAt_;
    job.id_ = std::string(textOf(message[viewOf(port_.headers_.requestId_)]));
    job.table_ = knowledge_.table();
    if (!job.table_ || !guard_.isInformed())
        return refuse(job, {ResultCode::NotReady, comeBackWhenReady, Microseconds(0)});

    const std::string_view host = withoutPort(textOf(message[http::field::host]));
    job.route_ = job.table_->routes().find(host, pathOf(textOf(message.target())));
    if (!job.route_)
        return refuse(job, {ResultCode::UnknownRoute, Milliseconds(0), Microseconds(0)});

    const auto patience = timeLeftIn(textOf(message[viewOf(port_.headers_.timeLeft_)]));
    const Milliseconds timeout = job.route_->timeout_;
    job.deadline_ = job.arrivedAt_ + std::min(patience.value_or(timeout), timeout);
    const auto key = textOf(message[viewOf(port_.headers_.affinityKey_)]);
    job.hasObject_ = job.route_->hasAffinity_ && !key.empty();
    // Objects of different routes are distinct even if their keys are equal.
    const std::string_view spread = job.hasObject_ ? key : std::string_view(job.id_);
    job.object_
        = Policy::ownerScore(Policy::seedOf(spread), Policy::seedOf(job.route_->id_.value()));
    job.service_ = placer_.chooseService(*job.route_);
    Policy::RetryTerms terms;
    terms.share_ = port_.terms_.retryShare_ * usedRetryPart;
    terms.largest_ = port_.terms_.retryExtra_ * usedRetryPart / static_cast<double>(instances_);
    Policy::earnRetryCredit(retryBudgets_[job.service_], terms);
    return std::nullopt;
}

Task<Http::Response> Dispatcher::carry(Job &job)
{
    // The first attempt after which the request may have run. Its outcome stays unknown regardless
    // of the results of later attempts.
    std::optional<Attempt> open;
    while (true) {
        if (const auto kept = guard_.check(job, steadyNow()))
            co_return open ? giveUp(job, *open) : refuse(job, *kept);
        const auto placed = placer_.place(job, steadyNow());
        if (const auto *refusal = std::get_if<Refusal>(&placed))
            co_return open ? giveUp(job, *open) : refuse(job, *refusal);
        const Placement placement = std::get<Placement>(placed);
        Attempt attempted = co_await attempt(job, placement);
        if (attempted.answer_)
            co_return deliver(job, placement, std::move(attempted));
        if (attempted.isWithdrawn_ && !attempted.wasSent_)
            continue;
        const bool mayTry = mayTryAgain(job, attempted, steadyNow());
        if (!open && attempted.outcome_ != Outcome::NotRun)
            open = attempted;
        if (!mayTry)
            co_return giveUp(job, open ? *open : attempted);
        log_.line(Event::RequestRetried)
            .add("id", job.id_)
            .add("after", Model::describe(attempted.code_))
            .add("target", placement.target_->record_.id_.value())
            .add("print", toText(printOf(job, port_.headers_)));
        ++counters_.retried_;
    }
}

Task<Dispatcher::Attempt> Dispatcher::attempt(Job &job, const Placement &placement)
{
    TargetState &target = *placement.target_;
    job.tried_.push_back(target.record_.id_);
    const auto sentAt = steadyNow();
    const Http::Request message = messageFor(job, target, sentAt);
    Http::ExchangeOptions options;
    options.address_ = target.record_.address_;
    options.deadline_ = job.deadline_ + deadlineSlack;
    options.connectTimeout_ = placer_.connectPatienceFor(target);
    options.longestIdle_ = job.route_->isIdempotent_ ? longestRest : longestRestOnce;
    if (job.attempts_ > 0)
        options.longestIdle_ = Milliseconds(0);
    options.connectionLimit_ = connectionsToTarget;
    options.takesUnframed_ = true;
    options.foreignAnswersSkipped_ = foreignAnswersSkipped;
    options.control_ = &job.control_;
    options.maySend_ = [&] {
        return maySendTo(target);
    };
    options.watchPeriod_ = Policy::tickPeriod;
    options.sendPatience_ = Policy::sendPatience;
    options.sends_ = [&] {
        noteSend(job, target);
    };

    ++target.ownInFlight_;
    const auto sent = target.sent_.insert(target.sent_.end(), {sentAt, placement.latestUsual_});
    Http::ExchangeResult result = co_await Http::exchange(
        pool_, options, message,
        [name = viewOf(port_.headers_.requestId_)](const Http::Request &request,
                                                   const Http::Response &answer) {
            return answer.count(name) == 1 && answer[name] == request[name];
        });
    --target.ownInFlight_;
    target.sent_.erase(sent);
    const auto now = steadyNow();
    if (result.connectTook_.count() > 0) {
        placer_.noteConnect(target, result.connectTook_);
        // The pool had no idle connection. If connecting is slow, open one more than is in use.
        if (result.connectTook_ >= dearConnection && !target.isPreparing_) {
            options.control_ = nullptr;
            options.maySend_ = nullptr;
            options.sends_ = nullptr;
            options.deadline_ = now + options.connectTimeout_;
            Http::asio::co_spawn(context_, prepareSpare(placement.target_, options),
                                 Http::asio::detached);
        }
    }
    if (result.stage_ != Http::ExchangeStage::NotConnected)
        ++job.attempts_;
    // The connect time is not part of the target's processing time.
    const auto took = std::chrono::duration_cast<Microseconds>(now - sentAt) - result.connectTook_;
    Attempt attempted = judge(job, placement, sentAt, std::move(result));
    if (attempted.answer_)
        placer_.noteAnswer(job, placement, took, now);
    co_return attempted;
}

Task<void> Dispatcher::prepareSpare(std::shared_ptr<TargetState> target,
                                    Http::ExchangeOptions options)
{
    target->isPreparing_ = true;
    co_await Http::prepareConnection(pool_, options);
    target->isPreparing_ = false;
}

void Dispatcher::refreshSpares(const TargetBook &book)
{
    const auto now = steadyNow();
    for (const auto &[id, target] : book.all()) {
        if (!target->takesWork() || target->isPreparing_)
            continue;
        if (placer_.roundTripTo(*target) < dearConnection
            || !Policy::isSpareWorthwhile(target->use_, longestRestOnce, now))
            continue;
        const auto &address = target->record_.address_;
        if (pool_.keepFresh(address, longestRest, freshSpare))
            continue;
        Http::ExchangeOptions options;
        options.address_ = address;
        options.connectTimeout_ = placer_.connectPatienceFor(*target);
        options.deadline_ = now + options.connectTimeout_;
        options.connectionLimit_ = connectionsToTarget;
        Http::asio::co_spawn(context_, prepareSpare(target, options), Http::asio::detached);
    }
}

Http::Request Dispatcher::messageFor(const Job &job, const TargetState &target,
                                     SteadyTime now) const
{
    Http::Request message = job.incoming_.message_;
    Http::stripConnectionFields(message);
    const auto left = std::chrono::duration_cast<Milliseconds>(job.deadline_ - now);
    message.set(viewOf(port_.headers_.timeLeft_),
                std::to_string(std::max<long long>(1, left.count())));
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
    return target.takesWork() && !knowledge_.drained().contains(target.record_.domain_);
}

void Dispatcher::noteSend(const Job &job, TargetState &target)
{
    const auto now = steadyNow();
    target.lastSend_
        = {job.id_, now, knowledge_.mirror(StoreTable::Targets).position(), targetsNews_()};
    if (!target.removed_)
        return;
    log_.line(Event::RequestSentToMissing)
        .add("id", job.id_)
        .add("target", target.record_.id_.value())
        .add("revision", static_cast<std::int64_t>(target.removed_->revision_))
        .add("missing_ms",
             std::chrono::duration_cast<Microseconds>(now - target.removed_->noticedAt_));
}

Task<void> Dispatcher::askWhetherListening(std::shared_ptr<TargetState> target)
{
    Http::ExchangeOptions options;
    options.address_ = target->record_.address_;
    options.connectTimeout_ = placer_.connectPatienceFor(*target);
    options.deadline_ = steadyNow() + options.connectTimeout_;
    options.connectionLimit_ = connectionsToTarget;
    const auto listening = co_await Http::knock(pool_, options);
    const auto now = steadyNow();
    guard_.noteListening(*target, listening, now);
    if (listening == Http::Listening::No)
        Policy::noteUnreachable(target->reachability_, now);
}

void Dispatcher::sweepAbandoned()
{
    for (Job *job : jobs_) {
        if (job->isAbandoned_ || !job->route_ || !job->incoming_.isGone_())
            continue;
        job->isAbandoned_ = true;
        if (job->route_->isIdempotent_)
            job->control_.cancel();
    }
}

void Dispatcher::dropIdleConnections(const std::vector<Model::Address> &addresses)
{
    for (const auto &address : addresses)
        pool_.dropIdle(address);
}

void Dispatcher::dropAllIdleConnections(const TargetBook &book)
{
    for (const auto &[id, target] : book.all())
        pool_.dropIdle(target->record_.address_);
}

} // namespace Steering
