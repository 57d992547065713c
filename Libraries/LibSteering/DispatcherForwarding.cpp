#include "Dispatcher.h"
#include "HeldAttempt.h"
#include "InProgressEntry.h"

namespace Steering {

using Http::Task;
using Model::Microseconds;
using Model::SteadyTime;
using Policy::Outcome;

namespace {

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

Task<Http::Response> Dispatcher::answerForwarded(Http::IncomingRequest message)
{
    ++counters_.receivedForwarded_;
    auto forwarded = forwardedRequestIn(std::move(message));
    if (!forwarded) {
        auto refused = Http::refusal(Model::lastReason(), 11);
        addForwardingOutcome(refused, Outcome::NotRun, Model::lastReason().code_, std::nullopt);
        co_return refused;
    }
    RequestContext request;
    request.incoming_
        = std::make_shared<const Http::IncomingRequest>(std::move(forwarded->incoming_));
    request.isForwarded_ = true;
    request.attempts_ = forwarded->attempts_;
    const InProgressEntry inProgressEntry(requestsInProgress_, request);
    auto refused = readRequest(request, &*forwarded);
    Http::Response response = co_await process(request, std::move(refused));
    addForwardingOutcome(response, request.outcome_, request.code_, request.leavingTarget_);
    co_return response;
}

/// Returns the peer that takes the request if it cannot be placed here, while this instance reaches
/// few of the targets. Meanwhile, these are probed beside the requests.
std::optional<Model::Instance> Dispatcher::peerFor(RequestContext &request, SteadyTime now)
{
    request.avoidsUnreachable_ = false;
    if (!forwarder_ || request.isForwarded_ || request.isAbandoned_
        || request.forwardingTries_ >= Policy::maxForwardingTries
        || !Policy::shouldForward(reach_.reachOf(request, now)))
        return std::nullopt;
    probeUnreachable(request, now);
    auto peer = forwarder_->choosePeer(request, now);
    request.avoidsUnreachable_ = peer.has_value();
    return peer;
}

Task<Dispatcher::Attempt> Dispatcher::forward(RequestContext &request, Model::Instance peer)
{
    ++request.forwardingTries_;
    ++counters_.forwarded_;
    HeldAttempt held(held_, nullptr, request.incoming_->message_.body().size());
    auto holdAnswer = answerHolder(held);
    ForwardingResult result
        = co_await forwarder_->forward(request, std::move(peer), std::move(holdAnswer));
    if (result.leavingTarget_)
        placementEngine_.noteLeaveAtPeer(*result.leavingTarget_, steadyNow());
    Attempt attempted;
    attempted.outcome_ = result.outcome_;
    attempted.code_ = result.code_;
    attempted.wasSent_ = result.outcome_ != Outcome::NotRun;
    attempted.answer_ = std::move(result.answer_);
    co_return attempted;
}

/// The peer has logged the answer and its target.
Http::Response Dispatcher::deliverForwarded(RequestContext &request, Attempt attempt)
{
    ++counters_.answered_;
    ++counters_.forwardedAnswered_;
    counters_.latency_[request.route_->id_].add(
        std::chrono::duration_cast<Microseconds>(steadyNow() - request.arrivedAt_));
    Http::stripConnectionFields(*attempt.answer_);
    attempt.answer_->prepare_payload();
    return std::move(*attempt.answer_);
}

} // namespace Steering
