#pragma once

#include "Knowledge.h"
#include "PeerMessage.h"
#include "PeerTraffic.h"

#include <functional>
#include <random>
#include <set>

namespace Steering {

/// Tells other instances what this one knows of all, and hears the same from them.
///
/// Each round asks a few instances drawn by chance, most of them in the own region, so news reaches
/// all in a few rounds and the cost for each instance does not grow with their number. Whoever
/// hears that a peer knows newer rows of the store asks it for them.
/// Thread safety: none; runs on one thread's io_context, which must end before the object does.
class PeerExchange
{
public:
    PeerExchange(Http::asio::io_context &context, const Observe::Settings &settings,
                 Knowledge &knowledge, Observe::DecisionLog &log);

    /// Begins to listen and to ask. Returns false if it cannot listen, with the last reason set.
    bool start();

    /// Says of this instance, from now on, whether it takes callers' requests or is leaving.
    void setReady(bool isReady) { isReady_ = isReady; }
    void setLeaving();

    /// Called whenever it may have changed how this instance stands with the store.
    void setStoreStanding(const Policy::StoreStanding &standing) { store_ = standing; }
    /// Returns that, and how the living peers stand with it.
    Policy::StoreEvidence storeEvidence() const;
    /// Called when a peer's knowledge was taken in.
    void setKnowledgeChanged(std::function<void()> changed) { changed_ = std::move(changed); }

    /// Sets where the loads of targets that peers are told come from, and where theirs go.
    void setLoadNews(std::function<std::vector<Policy::TargetLoad>()> told,
                     std::function<void(const std::vector<Policy::TargetLoad> &)> heard);

    /// Sets where news of ended targets and of requests in quarantine comes from, and where that of
    /// peers goes, with whether the peer is ready.
    void setCrashNews(std::function<Policy::CrashNews()> told,
                      std::function<void(const Policy::CrashNews &, bool)> heard);

    /// Sets what tells whether this instance's call for a table has waited for news since a time,
    /// and what has the store asked anew.
    void setStoreCalls(std::function<bool(StoreTable, Model::SteadyTime)> hasWaitedSince,
                       std::function<void(StoreTable)> askAnew);
    /// Sets where it comes from, and where it goes, how long ago targets' registrations were first
    /// found to be gone.
    void setRemovalNews(std::function<RemovalAges()> told,
                        std::function<void(const RemovalAges &)> heard);

    /// If this instance is known to lack rows, asks for them where that is due. Called every tick.
    void lookForNews();

    /// If there is news of the store, tells it at once to a few peers that do not read the store.
    void announce();

    /// Takes what an instance said of itself in the store; it counts once it was heard of.
    void addRecord(const std::string &record);
    /// Returns what this instance says of itself in the store.
    std::string ownRecord() const;

    const Policy::Members &members() const { return members_; }
    const Model::Instance &ownInstance() const;
    /// Tells whether at least one exchange with each of a few peers was tried.
    bool hasAsked() const { return rounds_ >= 2; }
    /// Tells whether any other instance is known to run.
    bool knowsAnyone() const;
    /// Tells whether a running instance of every region of the settings is known.
    bool knowsEveryRegion() const;
    /// When a peer last spoke and nobody was known to know newer rows.
    Model::SteadyTime informedAt() const { return informedAt_; }
    /// Tells whether this instance is to read the store.
    Policy::ReaderRank readerRank() const;

    /// What this instance's calls to peers have moved so far.
    const PeerTraffic &traffic() const { return traffic_; }

    /// Takes it that everything heard is old: the process stood still.
    void forgetAges();

private:
    Http::Task<void> roundLoop();
    Http::Task<void> askPeer(Model::Instance peer, bool isAnnouncement);
    Http::Task<void> fetchKnowledge();
    void countCall(PeerCall call, const Model::Instance &peer, const Http::Request &request,
                   const Http::ExchangeResult &result);
    Http::Task<Http::Response> answer(Http::IncomingRequest request);
    Http::Response answerGossip(const Http::Request &request);
    Http::Response answerKnowledge(const Http::Request &request);
    std::vector<Model::Instance> choosePeers();
    void refreshOwn();
    Model::Address dialled(const Model::Address &address) const;
    void take(const PeerMessage &message, Model::SteadyTime now);
    void hear(Policy::Member member);
    void noteChanges(Model::SteadyTime now);
    const Policy::Member *betterInformed(Model::SteadyTime now);
    void catchUp(Model::SteadyTime now);
    bool isCallHanging(StoreTable table, const Policy::Member &peer, Model::SteadyTime now) const;
    bool mayFetch(Model::SteadyTime now) const;

    Http::asio::io_context &context_;
    const Observe::Settings &settings_;
    Knowledge &knowledge_;
    Observe::DecisionLog &log_;
    Http::Server server_;
    Http::ConnectionPool pool_;
    PeerTraffic traffic_;
    Policy::Members members_;
    std::map<Model::InstanceId, bool> knownAlive_;
    std::function<void()> changed_;
    std::function<std::vector<Policy::TargetLoad>()> loadsTold_ = [] {
        return std::vector<Policy::TargetLoad>();
    };
    std::function<void(const std::vector<Policy::TargetLoad> &)> loadsHeard_ = [](const auto &) {};
    std::function<Policy::CrashNews()> crashesTold_ = [] {
        return Policy::CrashNews();
    };
    std::function<void(const Policy::CrashNews &, bool)> crashesHeard_ = [](const auto &, bool) {};
    std::function<bool(StoreTable, Model::SteadyTime)> hasWaitedSince_
        = [](StoreTable, Model::SteadyTime) {
              return false;
          };
    std::function<void(StoreTable)> askAnew_ = [](StoreTable) {};
    std::function<RemovalAges()> removalsTold_ = [] {
        return RemovalAges();
    };
    std::function<void(const RemovalAges &)> removalsHeard_ = [](const RemovalAges &) {};
    std::mt19937_64 random_{std::random_device()()};
    Model::Incarnation incarnation_;
    std::uint64_t rounds_ = 0;
    bool isReady_ = false;
    bool isLeaving_ = false;
    Policy::StoreStanding store_;
    /// Peers that are being asked for their rows.
    std::set<Model::InstanceId> asked_;
    Model::SteadyTime askedAt_ = Model::longAgo;
    Model::SteadyTime fetchAgainAt_ = Model::longAgo;
    /// Since when a peer is known to know newer rows.
    std::optional<Model::SteadyTime> behindSince_;
    Model::SteadyTime informedAt_ = Model::longAgo;
};

} // namespace Steering
