#include "Dispatcher.h"

namespace Steering {

using Model::Microseconds;
using Model::Milliseconds;
using Observe::Event;
using Policy::Outcome;
namespace http = Http::http;

namespace {

std::string secondsText(Milliseconds duration)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.3f", Model::inSeconds(duration));
    return text;
}

Model::SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Http::beast::string_view viewOf(std::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

Http::Response Dispatcher::refuse(RequestContext &request, const Refusal &refusal)
{
    ++counters_.refused_;
    ++counters_.byCode_[refusal.code_];
    request.outcome_ = Outcome::NotRun;
    request.code_ = refusal.code_;
    const auto now = steadyNow();
    log_.line(Event::RequestRefused)
        .add("id", request.id_)
        .add("code", static_cast<std::int64_t>(Model::number(refusal.code_)))
        .add("route", request.route_ ? request.route_->id_.value() : "")
        .add("service", request.service_.value())
        .add("workspace", request.workspace_ ? request.workspace_->id_.value() : "")
        .add("expected_ms", refusal.expected_)
        .add("goal_ms",
             request.route_ ? static_cast<std::int64_t>(request.route_->latencyGoal_.count()) : 0)
        .add("held_ms", std::chrono::duration_cast<Microseconds>(now - request.arrivedAt_))
        .add("attempts", static_cast<std::int64_t>(request.attempts_))
        .add("target", request.tried_.empty() ? "" : request.tried_.back().value())
        .add("target_status", static_cast<std::int64_t>(request.rejectionStatus_))
        .add("come_back_ms", static_cast<std::int64_t>(refusal.retryAfter_.count()))
        .add("version",
             request.table_ ? static_cast<std::int64_t>(request.table_->version().value()) : 0);
    auto response = Http::refusal({refusal.code_, ""}, request.incoming_->message_.version());
    if (refusal.retryAfter_.count() > 0)
        response.set(http::field::retry_after, secondsText(refusal.retryAfter_));
    response.set(viewOf(port_.headers_.requestId_), request.id_);
    return response;
}

Http::Response Dispatcher::failRequest(RequestContext &request, const Attempt &attempt)
{
    if (attempt.outcome_ == Outcome::NotRun) {
        const auto comeBack
            = Policy::refusalRetryDelay(Microseconds(0), request.route_->latencyGoal_, 0.5);
        const auto afterPauses = placementEngine_.retryDelayWhilePausing(request, steadyNow());
        return refuse(request, {attempt.code_, afterPauses.value_or(comeBack), Microseconds(0)});
    }
    ++counters_.unknown_;
    ++counters_.byCode_[attempt.code_];
    request.outcome_ = Outcome::Unknown;
    request.code_ = attempt.code_;
    const auto now = steadyNow();
    log_.line(request.isAbandoned_ ? Event::RequestAbandoned : Event::RequestUnknown)
        .add("id", request.id_)
        .add("code", static_cast<std::int64_t>(Model::number(attempt.code_)))
        .add("route", request.route_->id_.value())
        .add("service", request.service_.value())
        .add("target", request.tried_.empty() ? "" : request.tried_.back().value())
        .add("print", toText(fingerprintFor(request, port_.headers_)))
        .add("attempts", static_cast<std::int64_t>(request.attempts_))
        .add("held_ms", std::chrono::duration_cast<Microseconds>(now - request.arrivedAt_))
        .add("deadline_ms",
             std::chrono::duration_cast<Microseconds>(request.deadline_ - request.arrivedAt_))
        .add("version", static_cast<std::int64_t>(request.table_->version().value()));
    auto response = Http::refusal({attempt.code_, ""}, request.incoming_->message_.version());
    response.set(viewOf(port_.headers_.requestId_), request.id_);
    return response;
}

Http::Response Dispatcher::deliver(RequestContext &request, const Placement &placement,
                                   Attempt attempt)
{
    ++counters_.answered_;
    request.outcome_ = Outcome::Run;
    counters_.toHome_ += placement.isHome_ ? 1 : 0;
    counters_.toWarm_ += placement.isKnownWarm_ ? 1 : 0;
    const auto took = std::chrono::duration_cast<Microseconds>(steadyNow() - request.arrivedAt_);
    counters_.latency_[request.route_->id_].add(took);
    log_.line(Event::RequestAnswered)
        .add("id", request.id_)
        .add("status", static_cast<std::int64_t>(attempt.answer_->result_int()))
        .add("route", request.route_->id_.value())
        .add("service", request.service_.value())
        .add("target", placement.target_->record_.id_.value())
        .add("home", placement.isHome_ ? "yes" : "no")
        .add("warm", placement.isKnownWarm_ ? "yes" : "no")
        .add("load", static_cast<std::int64_t>(placement.load_))
        .add("expected_ms", placement.expected_)
        .add("goal_ms", static_cast<std::int64_t>(request.route_->latencyGoal_.count()))
        .add("took_ms", took)
        .add("attempts", static_cast<std::int64_t>(request.attempts_))
        .add("version", static_cast<std::int64_t>(request.table_->version().value()));
    Http::stripConnectionFields(*attempt.answer_);
    attempt.answer_->prepare_payload();
    return std::move(*attempt.answer_);
}

} // namespace Steering
