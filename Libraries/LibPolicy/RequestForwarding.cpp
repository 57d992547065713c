#include "RequestForwarding.h"

namespace Policy {

using Model::InstanceId;
using Model::Microseconds;
using Model::ServiceId;
using Model::SteadyTime;

namespace {

/// Entries that are over are removed beyond this number.
constexpr std::size_t maxPausedPeers = 1024;

Microseconds costOf(const ForwardingPeer &peer)
{
    return peer.roundTrip_ + forwardingLoadCost * static_cast<long long>(peer.inProgress_);
}

bool isPaused(const ForwardingState &state, const InstanceId &peer, const ServiceId &service,
              SteadyTime now)
{
    const auto paused = state.pausedUntil_.find({peer, service});
    return paused != state.pausedUntil_.end() && now < paused->second;
}

} // namespace

bool shouldForward(const TargetReach &reach)
{
    const auto all = static_cast<double>(reach.reachable_ + reach.unreachable_);
    return reach.unreachable_ > 0
           && static_cast<double>(reach.unreachable_) >= partitionedFraction * all;
}

std::optional<std::size_t> chooseForwardingPeer(const ForwardingState &state,
                                                const ServiceId &service,
                                                const std::vector<ForwardingPeer> &peers,
                                                std::uint64_t random, SteadyTime now)
{
    const auto paused = state.servicePausedUntil_.find(service);
    if (paused != state.servicePausedUntil_.end() && now < paused->second)
        return std::nullopt;
    std::vector<std::size_t> free;
    for (std::size_t i = 0; i < peers.size(); ++i) {
        if (!isPaused(state, peers[i].id_, service, now))
            free.push_back(i);
    }
    if (free.empty())
        return std::nullopt;
    const std::size_t first = free[random % free.size()];
    const std::size_t second = free[(random >> 32U) % free.size()];
    return costOf(peers[second]) < costOf(peers[first]) ? second : first;
}

void noteNotForwarded(ForwardingState &state, const InstanceId &peer, const ServiceId &service,
                      SteadyTime now)
{
    if (state.pausedUntil_.size() >= maxPausedPeers) {
        std::erase_if(state.pausedUntil_, [&](const auto &entry) {
            return entry.second <= now;
        });
    }
    state.pausedUntil_[{peer, service}] = now + forwardingPause;
    if (++state.refusals_[service] < maxForwardingRefusals)
        return;
    state.refusals_[service] = 0;
    state.servicePausedUntil_[service] = now + forwardingPause;
}

void noteForwarded(ForwardingState &state, const InstanceId &peer, const ServiceId &service)
{
    state.pausedUntil_.erase({peer, service});
    state.refusals_[service] = 0;
}

} // namespace Policy
