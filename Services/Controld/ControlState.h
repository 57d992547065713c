#pragma once

#include <LibObserve/LibObserve.h>
#include <LibPeers/LibPeers.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace Controld {

/// The address of a peer's control process, and whether the peer is in the local region.
struct PeerCandidate
{
    Model::InstanceId id_;
    Model::Address address_;
    bool isSameRegion_ = false;
};

/// The state that a subscriber has already received.
struct SentState
{
    Model::TableVersion table_;
    std::uint64_t changes_ = 0;
    std::uint64_t blocks_ = 0;
};

/// The state of the control process, shared by the gRPC threads and the timers under one lock.
/// None of these threads is on the path of a request.
///
/// Thread safety: every method may be called from any thread.
class ControlState
{
public:
    explicit ControlState(const Observe::Settings &settings, Model::Incarnation incarnation);

    /// Merges the store's rows under the table's prefix.
    void onStoreRows(const Platform::StoredRows &rows);
    void onStoreFailure();
    void onInstances(std::vector<Model::Instance> instances);
    void onClientBlocks(const std::string &text);
    Platform::Revision readRevision() const;

    /// Increments the heartbeat and drops expired state.
    void advanceHeartbeat();
    cassiacrank::PullRequest makePull(bool isSameRegion) const;
    cassiacrank::PullAnswer answerPull(const cassiacrank::PullRequest &request);
    void onPullAnswer(const cassiacrank::PullAnswer &answer);
    /// Returns the peers that a gossip round may query, without the local instance.
    std::vector<PeerCandidate> peerCandidates() const;
    std::size_t fleetSize() const;
    /// Returns whether there is no recent change that still has to spread to the peers.
    bool isQuiet() const;

    void onReport(const cassiacrank::ProcessReport &report);

    /// Marks the instance as leaving and sends this to every process.
    void beginLeaving();
    bool isReady() const;

    /// Waits for changes that \a sent does not include, or for a limited time, and returns a
    /// snapshot.
    cassiacrank::Snapshot waitForSnapshot(SentState &sent, bool &isClosed);
    void onSubscriberConnected();
    void onSubscriberDisconnected();
    /// Waits until no process of the instance is subscribed, for at most \a timeout.
    void waitForSubscribersToDisconnect(Model::Milliseconds timeout);
    /// Wakes every waitForSnapshot() call and marks its stream as closed.
    void close();

    /// Returns the JSON of /status.
    std::string statusText() const;

private:
    void updateReadiness();
    void updateAllRegionsKnown();
    void onTableChanged();
    /// Records a change, which is sent to the subscribers after at most one snapshot interval.
    void recordChange();
    /// Records a change only if urgentFingerprint() changed; other changes wait for the next
    /// snapshot.
    void recordUrgentChange();
    /// Returns a hash of the state that affects placement at once: members that join, fail, leave
    /// or become ready, and targets with a leaving marker.
    std::size_t urgentFingerprint() const;
    void updateQuarantines();
    void recordCrashChanges();
    void expireReports();
    cassiacrank::LiveState liveState() const;
    void refreshSummary();

    const Observe::Settings &settings_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    Peers::GossipState gossip_;
    Policy::StartupState start_;
    std::vector<Model::Instance> listed_;
    std::string clientBlocks_;
    std::uint64_t changeCount_ = 1;
    std::size_t lastUrgentFingerprint_ = 0;
    Model::SteadyTime changedAt_;
    std::uint64_t blocksCount_ = 0;
    Model::SteadyTime startedAt_;
    Model::SteadyTime entryReportAt_;
    Model::SteadyTime lookupReportAt_;
    bool entryIsStopping_ = false;
    bool isLeaving_ = false;
    bool isClosed_ = false;
    bool storeIsDown_ = false;
    /// A peer had a fresh summary of the local region, so other regions know its state.
    bool localRegionHasSummary_ = false;
    /// The state of every region in the table is known, or the wait for it has timed out.
    bool allRegionsKnown_ = false;
    int subscribers_ = 0;
};

} // namespace Controld
