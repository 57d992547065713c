#include "GossipRounds.h"

#include <algorithm>

namespace Controld {

namespace {

constexpr Model::Milliseconds pullTimeout{1000};
constexpr int quietPeriods = 2;

} // namespace

GossipRounds::GossipRounds(Http::asio::io_context &context, const Observe::Settings &settings,
                           ControlState &state, Peers::PeerClient &client)
    : context_(context)
    , settings_(settings)
    , state_(state)
    , client_(client)
    , random_(Policy::rendezvousScore(settings.instance_.value(), "gossip"))
{
}

void GossipRounds::start()
{
    Http::asio::co_spawn(context_, run(), Http::asio::detached);
}

std::uint64_t GossipRounds::nextRandom()
{
    random_ = Policy::rendezvousScore(std::to_string(random_), "draw");
    return random_;
}

std::vector<PeerCandidate> GossipRounds::selectPeers(std::vector<PeerCandidate> candidates)
{
    std::vector<PeerCandidate> localPeers;
    for (const auto &candidate : candidates) {
        if (candidate.isSameRegion_)
            localPeers.push_back(candidate);
    }
    std::vector<PeerCandidate> chosen;
    for (std::size_t position : Policy::choosePeers(localPeers.size(), 1, {nextRandom()}))
        chosen.push_back(localPeers[position]);

    const auto others = static_cast<std::size_t>(settings_.gossipPeers_ - 1);
    std::vector<std::uint64_t> draws;
    for (std::size_t i = 0; i < others; ++i)
        draws.push_back(nextRandom());
    for (std::size_t position : Policy::choosePeers(candidates.size(), others, draws))
        chosen.push_back(candidates[position]);
    return chosen;
}

void GossipRounds::sendPull(const PeerCandidate &peer)
{
    client_.pull(peer.address_, state_.makePull(peer.isSameRegion_), pullTimeout,
                 [&state = state_](const cassiacrank::PullAnswer *answer) {
                     if (answer)
                         state.onPullAnswer(*answer);
                 });
}

Http::Task<void> GossipRounds::run()
{
    while (true) {
        state_.advanceHeartbeat();
        for (const auto &peer : selectPeers(state_.peerCandidates()))
            sendPull(peer);
        // Heartbeats alone do not need rounds as frequent as those that spread a change.
        const int periods = state_.isQuiet() ? quietPeriods : 1;
        co_await Http::sleepFor(periods * settings_.gossipPeriod_);
    }
}

} // namespace Controld
