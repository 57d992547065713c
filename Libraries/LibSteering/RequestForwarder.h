#pragma once

#include "PeerExchange.h"
#include "PlacementEngine.h"

namespace Steering {

/// A request that a peer has forwarded to this instance.
struct ForwardedRequest
{
    /// The request as the caller sent it to the peer.
    Http::IncomingRequest incoming_;
    /// The service that the peer chose by the route's weights.
    Model::ServiceId service_;
    /// Attempts of the peer after which the request may have run.
    int attempts_ = 0;
};

/// How a forwarded request ended at the peer.
struct ForwardingResult
{
    Policy::Outcome outcome_ = Policy::Outcome::NotRun;
    Model::ResultCode code_ = Model::ResultCode::NoTarget;
    /// The answer of a target; std::nullopt unless the outcome is Run.
    std::optional<Http::Response> answer_;
    /// The target that announced its leave to the peer meanwhile.
    std::optional<Model::TargetId> leavingTarget_;
};

/// Passes requests to peers while this instance reaches few targets of a service.
///
/// One hop only: a peer that cannot place a forwarded request either refuses it at once, so that
/// targets which are down for all instances do not multiply the load. A request whose bytes may
/// have reached a peer counts as run unless that peer says that it was not.
/// Thread safety: none; runs on one thread's io_context, which must end before the object does.
class RequestForwarder
{
public:
    /// The path at which peers take forwarded requests.
    static constexpr const char *path = "/v1/request";

    RequestForwarder(Http::asio::io_context &context, const PlatformPort &port,
                     const PlacementEngine &placementEngine, const PeerExchange &peers,
                     Observe::DecisionLog &log);

    /// Returns the peer that takes the next try of \a request, or std::nullopt if none may: peers
    /// that are ready, not leaving, not partitioned themselves, and in a home region of the route
    /// and the workspace.
    std::optional<Model::Instance> choosePeer(const RequestContext &request, Model::SteadyTime now);
    /// Sends \a request to \a peer and returns how it ended there. \a holdAnswer is as in
    /// Http::ExchangeOptions. Precondition: \a request outlives the call.
    Http::Task<ForwardingResult>
    forward(RequestContext &request, Model::Instance peer,
            std::function<bool(std::size_t, Http::AnswerLength)> holdAnswer);

private:
    Http::RequestView messageFor(const RequestContext &request, Model::Microseconds roundTrip,
                                 Model::SteadyTime now) const;
    ForwardingResult resultOf(Http::ExchangeResult exchanged) const;

    const PlatformPort &port_;
    const PlacementEngine &placementEngine_;
    const PeerExchange &peers_;
    Observe::DecisionLog &log_;
    Http::ConnectionPool pool_;
    Policy::ForwardingState state_;
    std::map<Model::InstanceId, std::size_t> inProgress_;
    std::mt19937_64 random_{std::random_device()()};
};

/// Returns the request in a peer's message, or std::nullopt with PeerMessageUnreadable as the last
/// reason. Thread safety: any thread.
std::optional<ForwardedRequest> forwardedRequestIn(Http::IncomingRequest message);

/// Adds how a forwarded request ended to the answer for the peer, and the target that announced its
/// leave meanwhile. Thread safety: any thread.
void addForwardingOutcome(Http::Response &answer, Policy::Outcome outcome, Model::ResultCode code,
                          const std::optional<Model::TargetId> &leavingTarget);

} // namespace Steering
