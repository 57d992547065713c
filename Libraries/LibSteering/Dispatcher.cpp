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

/// A request that must not run twice goes on a fresher connection than one that may.
constexpr Milliseconds longestRest{8000};
constexpr Milliseconds longestRestOnce{6000};
/// How long after the deadline a target's own word that it gave up may still arrive.
constexpr Milliseconds deadlineSlack{150};
/// A new connection that takes longer than this is worth having ready: callers of a region with few
/// targets lose a round trip between regions on each.
constexpr Microseconds dearConnection{10000};
/// A connection that rested for longer is replaced before a request that must not run twice finds
/// it too old.
constexpr Milliseconds freshSpare = longestRestOnce - Milliseconds(1000);
/// One request needs one connection; targets hold about four hundred for all entries together.
constexpr std::size_t connectionsToTarget = 24;
/// Late answers to earlier requests that may stand in front of the right one.
constexpr int foreignAnswersSkipped = 2;
/// Part of the second attempts that the platform lets all instances make, so that a miscount of
/// instances breaks nothing.
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

/// Keeps the list of requests in progress in step with a request's life.
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
    // Objects of different routes are different things, though their keys may be alike.
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
    // An attempt after which the request may have run. What it left open stays open, whatever the
    // attempts after it come to.
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
        // The pool had run out; where a connection takes long, have one more than is in use.
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
    // A new connection's round trip says nothing of the target's work.
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
    // An address may by now belong to another target, which must not run the request.
    message.set(viewOf(port_.headers_.expectedTarget_), target.record_.id_.value());
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

/// What became known since the target was chosen counts until the first byte is sent.
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
