#pragma once

#include "ControlState.h"

#include <cstdint>

namespace Controld {

/// Asks a few random peers in each round: one of the own region, the others of anywhere.
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
    void ask(const PeerTarget &peer);
    std::vector<PeerTarget> choose(std::vector<PeerTarget> targets);
    std::uint64_t draw();

    Http::asio::io_context &context_;
    const Observe::Settings &settings_;
    ControlState &state_;
    Peers::PeerClient &client_;
    std::uint64_t random_;
};

} // namespace Controld
