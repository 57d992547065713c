#pragma once

#include "ControlState.h"

#include <cstdint>

namespace Controld {

/// Pulls from a few random peers in each round: one in the local region, the others in any region.
///
/// Thread safety: start() and the coroutine run on the io_context's thread.
class GossipRounds
{
public:
    GossipRounds(Http::asio::io_context &context, const Observe::Settings &settings,
                 ControlState &state, Peers::PeerClient &client);

    void start();

private:
    Http::Task<void> run();
    void sendPull(const PeerCandidate &peer);
    std::vector<PeerCandidate> selectPeers(std::vector<PeerCandidate> candidates);
    std::uint64_t nextRandom();

    Http::asio::io_context &context_;
    const Observe::Settings &settings_;
    ControlState &state_;
    Peers::PeerClient &client_;
    std::uint64_t random_;
};

} // namespace Controld
