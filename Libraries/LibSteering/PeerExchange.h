#pragma once

#include "PeerMessage.h"
#include "PeerTraffic.h"
#include "PlatformState.h"

#include <functional>
#include <random>
#include <set>

namespace Steering {

/// Restarts the call that waits for a table's changes. The peer has newer rows, and the instance
/// has known that for the given time.
using StoreCallRestart
    = std::function<void(StoreTable, const Model::InstanceId &, Model::Microseconds)>;

/// Gossips with other instances about all members, loads and crashes.
///
/// Each round exchanges messages with a few instances chosen at random, most of them in the local
/// region, so an update reaches all instances in a few rounds and the cost for each instance does
/// not grow with their number. An instance that learns that a peer has newer rows of the store
/// requests them from it.
/// Thread safety: none; runs on one thread's io_context, which must end before the object does.
class PeerExchange
{
public:
    PeerExchange(Http::asio::io_context &context, const Observe::Settings &settings,
                 PlatformState &platformState, Observe::DecisionLog &log);

    /// Begins to listen and to gossip. Returns false, with the last reason set, if it cannot
    /// listen.
    bool start();

    /// Sets whether this instance is announced as ready for callers' requests or as leaving.
    void setReady(bool isReady) { isReady_ = isReady; }
    /// Tells peers whether this instance could run their requests.
    void setPartitioned(bool isPartitioned) { isPartitioned_ = isPartitioned; }
    /// Tells peers the used part of this instance's tightest resource.
    void setUse(std::optional<std::uint8_t> percent) { usePercent_ = percent; }
    void setLeaving();

    /// Called whenever this instance's contact with the store may have changed.
    void setStoreStanding(const Policy::StoreStanding &standing) { store_ = standing; }
    /// Returns the store standing of this instance and of its live peers.
    Policy::StoreEvidence storeEvidence() const;
    /// Sets the callback for when rows from a peer have been recorded.
    void setStateChangedCallback(std::function<void()> changed) { changed_ = std::move(changed); }

    /// Sets the source of the target loads that are sent to peers, and the sink for theirs.
    void setLoadExchange(std::function<std::vector<Policy::TargetLoad>()> provide,
                         std::function<void(const std::vector<Policy::TargetLoad> &)> receive);

    /// Sets the source of the reports on targets' rate limits that are sent to peers, and the sink
    /// for theirs; the sink also gets the peer's name.
    void setLimitExchange(
        std::function<std::vector<Policy::TargetLimitReport>()> provide,
        std::function<void(const std::vector<Policy::TargetLimitReport> &, const std::string &)>
            receive);

    /// Sets the source of the demand that is sent to peers of the region, and the sink for theirs.
    /// Nothing is sent while the source returns std::nullopt.
    void setDemandExchange(
        std::function<std::optional<std::vector<Policy::DemandItem>>()> provide,
        std::function<void(const std::vector<Policy::DemandItem> &, const Model::InstanceId &)>
            receive);

    /// Sets the source of updates on crashed targets and quarantined requests, and the sink for
    /// those of peers; the sink also gets whether the peer is ready.
    void setCrashExchange(std::function<Policy::CrashUpdate()> provide,
                          std::function<void(const Policy::CrashUpdate &, bool)> receive);

    /// Sets the function that tells whether this instance's call for a table has waited for changes
    /// since a time, and the one that restarts that call.
    void setStoreCalls(std::function<bool(StoreTable, Model::SteadyTime)> hasWaitedSince,
                       StoreCallRestart restartWaitingCall);
    /// Sets the source of the ages of expired or removed target registrations, and the sink for
    /// those of peers.
    void setRemovalExchange(std::function<RemovalAges()> provide,
                            std::function<void(const RemovalAges &)> receive);

    /// Returns the bytes that are held for peers, most of them of forwarded requests.
    std::size_t heldBytes() const { return server_.heldBytes(); }

    /// Sets the function that answers other instances' requests to \a path.
    void setRequestHandler(const std::string &path,
                           std::function<Http::Response(const Http::Request &)> answer)
    {
        requestHandlers_[path] = std::move(answer);
    }
    /// Sets the function that answers requests that other instances forward to \a path.
    void setForwardingHandler(const std::string &path, Http::Handler answer)
    {
        forwardingPath_ = path;
        answerForwarded_ = std::move(answer);
    }
    /// The largest body of a request from another instance.
    static constexpr std::size_t maxRequestBytes = 4 * 1024 * 1024;
    /// Returns the address at which this instance reaches \a address of a peer.
    Model::Address addressToDial(const Model::Address &address) const;
    /// Posts \a body to \a path of another instance, on a connection of \a pool.
    Http::Task<Http::ExchangeResult> call(Model::Instance peer, std::string path, std::string body,
                                          Model::Milliseconds timeout, Http::ConnectionPool &pool);
    Model::Incarnation incarnation() const { return incarnation_; }

    /// Requests missing rows from a peer if this instance is behind and a request is due. Called
    /// every tick.
    void fetchIfBehind();

    /// Sends the revisions, if they have changed, at once to a few peers that do not read the
    /// store.
    void announce();

    /// Adds the member that an instance's record in the store describes. It stays unconfirmed until
    /// a heartbeat of it arrives.
    void addRecord(const std::string &record);
    /// Returns this instance's record for the store.
    std::string localRecord() const;

    const Policy::Members &members() const { return members_; }
    const Model::Instance &localInstance() const;
    /// Tells whether an exchange with each of a few peers has been attempted.
    bool hasContactedPeers() const { return rounds_ >= 2; }
    /// Tells whether any other instance is alive.
    bool hasLivePeer() const;
    /// Tells whether an instance is alive that started well before this one.
    bool knowsEarlierInstance() const;
    /// Tells whether an instance in every region of the settings is alive.
    bool hasLiveMemberInEveryRegion() const;
    /// When a message last arrived from a peer while no peer was known to have newer rows.
    Model::SteadyTime upToDateAt() const { return upToDateAt_; }
    /// Returns whether this instance reads the store, and in which role.
    Policy::ReaderRank readerRank() const;

    /// The traffic of this instance's calls to peers so far.
    const PeerTraffic &traffic() const { return traffic_; }

    /// Makes all members unconfirmed, because the ages of their heartbeats are wrong after the
    /// process was suspended.
    void markMembersUnconfirmed();

private:
    Http::Task<void> gossipLoop();
    Http::Task<void> gossipTo(Model::Instance peer, bool isAnnouncement);
    Http::Task<void> fetchState();
    RemovalAges recentRemovals() const;
    void countCall(PeerCall call, const Model::Instance &peer, const Http::Request &request,
                   const Http::ExchangeResult &result);
    Http::Task<Http::Response> answer(Http::IncomingRequest request);
    Http::Response answerGossip(const Http::Request &request);
    Http::Response answerStateRequest(const Http::Request &request);
    std::vector<Model::Instance> choosePeers();
    void refreshLocalMember();
    void recordMessage(const PeerMessage &message, Model::SteadyTime now);
    void recordMember(Policy::Member member);
    void logLivenessChanges(Model::SteadyTime now);
    const Policy::Member *peerWithNewerRows(Model::SteadyTime now);
    void catchUp(Model::SteadyTime now);
    bool isCallHanging(StoreTable table, const Policy::Member &peer, Model::SteadyTime now) const;
    bool mayFetch(Model::SteadyTime now) const;

    Http::asio::io_context &context_;
    const Observe::Settings &settings_;
    PlatformState &platformState_;
    Observe::DecisionLog &log_;
    Http::Server server_;
    Http::ConnectionPool pool_;
    PeerTraffic traffic_;
    Policy::Members members_;
    std::map<Model::InstanceId, bool> knownAlive_;
    std::function<void()> changed_;
    std::function<std::vector<Policy::TargetLoad>()> provideLoads_ = [] {
        return std::vector<Policy::TargetLoad>();
    };
    std::function<void(const std::vector<Policy::TargetLoad> &)> receiveLoads_
        = [](const auto &) {};
    std::function<Policy::CrashUpdate()> provideCrashes_ = [] {
        return Policy::CrashUpdate();
    };
    std::function<void(const Policy::CrashUpdate &, bool)> receiveCrashes_
        = [](const auto &, bool) {};
    std::function<bool(StoreTable, Model::SteadyTime)> hasWaitedSince_
        = [](StoreTable, Model::SteadyTime) {
              return false;
          };
    StoreCallRestart restartWaitingCall_
        = [](StoreTable, const Model::InstanceId &, Model::Microseconds) {};
    std::function<RemovalAges()> provideRemovals_ = [] {
        return RemovalAges();
    };
    std::function<void(const RemovalAges &)> receiveRemovals_ = [](const RemovalAges &) {};
    std::function<std::vector<Policy::TargetLimitReport>()> provideLimits_ = [] {
        return std::vector<Policy::TargetLimitReport>();
    };
    std::function<void(const std::vector<Policy::TargetLimitReport> &, const std::string &)>
        receiveLimits_ = [](const auto &, const std::string &) {};
    std::function<std::optional<std::vector<Policy::DemandItem>>()> provideDemand_ = [] {
        return std::optional<std::vector<Policy::DemandItem>>();
    };
    std::function<void(const std::vector<Policy::DemandItem> &, const Model::InstanceId &)>
        receiveDemand_ = [](const auto &, const Model::InstanceId &) {};
    std::map<std::string, std::function<Http::Response(const Http::Request &)>> requestHandlers_;
    std::string forwardingPath_;
    Http::Handler answerForwarded_;
    std::mt19937_64 random_{std::random_device()()};
    Model::Incarnation incarnation_;
    std::uint64_t rounds_ = 0;
    bool isReady_ = false;
    bool isLeaving_ = false;
    bool isPartitioned_ = false;
    std::optional<std::uint8_t> usePercent_;
    Policy::StoreStanding store_;
    /// Peers to which a request for rows is in progress.
    std::map<Model::InstanceId, Http::ExchangeControl *> pendingFetches_;
    Model::SteadyTime lastFetchAt_ = Model::distantPast;
    Model::SteadyTime nextFetchAt_ = Model::distantPast;
    /// Since when a peer is known to have newer rows.
    std::optional<Model::SteadyTime> behindSince_;
    Model::SteadyTime upToDateAt_ = Model::distantPast;
};

} // namespace Steering
