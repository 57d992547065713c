#pragma once

#include "Knowledge.h"

#include <functional>
#include <random>

namespace Steering {

/// Tells other instances what this one knows of all, and hears the same from them.
///
/// Each round asks a few instances drawn by chance, so news reaches all in a few rounds and the
/// cost for each instance does not grow with their number. Where the store does not answer here, a
/// peer that knows newer rows is asked for them.
/// Thread safety: none; runs on one thread's io_context, which must end before the object does.
class PeerExchange
{
public:
    PeerExchange(Http::asio::io_context &context, const PlatformPort &port,
                 const Observe::Settings &settings, Knowledge &knowledge,
                 Observe::DecisionLog &log);

    /// Begins to listen and to ask. Returns false if it cannot listen, with the last reason set.
    bool start();

    /// Says of this instance, from now on, whether it takes callers' requests or is leaving.
    void setReady(bool isReady) { isReady_ = isReady; }
    void setLeaving();

    /// Called before each round with whether the store answers here.
    void setStoreReached(bool isReached) { isStoreReached_ = isReached; }
    /// Called when a peer's knowledge was taken in.
    void setKnowledgeChanged(std::function<void()> changed) { changed_ = std::move(changed); }

    /// Takes what an instance said of itself in the store; it counts once it was heard of.
    void addRecord(const std::string &record);
    /// Returns what this instance says of itself in the store.
    std::string ownRecord() const;

    const Policy::Members &members() const { return members_; }
    /// Tells whether at least one exchange with each of a few peers was tried.
    bool hasAsked() const { return rounds_ >= 2; }
    std::uint64_t rounds() const { return rounds_; }

    /// Takes it that everything heard is old: the process stood still.
    void forgetAges();

private:
    Http::Task<void> roundLoop();
    Http::Task<void> askPeer(Model::Address address);
    Http::Task<void> fetchKnowledge();
    Http::Task<Http::Response> answer(Http::IncomingRequest request);
    std::vector<Model::Address> choosePeers();
    void refreshOwn();
    std::string messageText();
    void take(const std::string &text);
    void noteChanges(Model::SteadyTime now);
    const Policy::Member *betterInformed(Model::SteadyTime now) const;

    Http::asio::io_context &context_;
    const PlatformPort &port_;
    const Observe::Settings &settings_;
    Knowledge &knowledge_;
    Observe::DecisionLog &log_;
    Http::Server server_;
    Http::ConnectionPool pool_;
    Policy::Members members_;
    std::map<Model::InstanceId, bool> knownAlive_;
    std::function<void()> changed_;
    std::mt19937_64 random_{std::random_device()()};
    Model::Incarnation incarnation_;
    std::uint64_t rounds_ = 0;
    bool isReady_ = false;
    bool isLeaving_ = false;
    bool isStoreReached_ = false;
    bool isFetching_ = false;
};

} // namespace Steering
