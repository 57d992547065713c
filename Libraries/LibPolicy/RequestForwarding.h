#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace Policy {

/// How many targets an instance may use for a request, as its own attempts show.
struct TargetReach
{
    std::size_t reachable_ = 0;
    /// Targets that take work, but could not be reached from here lately.
    std::size_t unreachable_ = 0;
};

/// From this fraction of unreachable targets on, an instance counts as partitioned from a service.
/// Targets that fail together are fewer: half of a failure domain, or a region.
constexpr double partitionedFraction = 0.6;

/// Returns whether an instance that cannot place a request should forward it to a peer: most
/// targets are unreachable from here, so that a peer may reach them.
///
/// Without the fraction, an overloaded service would get each refused request through a second
/// instance too. Thread safety: any thread.
bool shouldForward(const TargetReach &reach);

/// A peer that may take a request.
struct ForwardingPeer
{
    Model::InstanceId id_;
    Model::Microseconds roundTrip_{0};
    /// Requests that this instance has forwarded to the peer and that are still in progress.
    std::size_t inProgress_ = 0;
};

/// What an instance has learned of its peers by forwarding requests. Not shared between threads.
struct ForwardingState
{
    using PeerService = std::pair<Model::InstanceId, Model::ServiceId>;

    /// Until when a peer that did not take a request for a service is not chosen for it again.
    std::map<PeerService, Model::SteadyTime> pausedUntil_;
    /// Refusals by peers since one last served a request for the service.
    std::map<Model::ServiceId, std::size_t> refusals_;
    /// Until when no request for a service is forwarded, because no peer serves it.
    std::map<Model::ServiceId, Model::SteadyTime> servicePausedUntil_;
};

/// After a peer has not taken a request, the next one goes there no earlier than this.
constexpr Model::Milliseconds forwardingPause{1000};
/// This many refusals in series by different peers mean that the targets are down, not the way to
/// them.
constexpr std::size_t maxForwardingRefusals = 6;
/// Peers that are tried for one request.
constexpr int maxForwardingTries = 3;
/// The load of a request in progress at a peer, as a longer way to it: a peer farther away is
/// preferred once the near ones have this much more to do.
constexpr Model::Microseconds forwardingLoadCost{10000};

/// Returns the index of the peer that takes the next request for \a service, or std::nullopt if
/// none may: the nearer and less loaded one of two that are drawn by \a random.
///
/// Without the draw, all instances of a failure domain that is partitioned from the targets would
/// send their callers' requests to the same peer. Thread safety: any thread.
std::optional<std::size_t> chooseForwardingPeer(const ForwardingState &state,
                                                const Model::ServiceId &service,
                                                const std::vector<ForwardingPeer> &peers,
                                                std::uint64_t random, Model::SteadyTime now);

/// Records that \a peer did not run a request, or was not reached, or that it answered.
/// Thread safety: \a state belongs to the calling thread.
void noteNotForwarded(ForwardingState &state, const Model::InstanceId &peer,
                      const Model::ServiceId &service, Model::SteadyTime now);
void noteForwarded(ForwardingState &state, const Model::InstanceId &peer,
                   const Model::ServiceId &service);

} // namespace Policy
