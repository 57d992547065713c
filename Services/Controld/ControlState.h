#pragma once

#include <LibObserve/LibObserve.h>
#include <LibPeers/LibPeers.h>

#include <condition_variable>
#include <mutex>
#include <optional>
#include <vector>

namespace Controld {

/// Where a peer can be asked, and whether it is of the own region.
struct PeerTarget
{
    Model::InstanceId id_;
    Model::Address address_;
    bool isSameRegion_ = false;
};

/// What a subscriber has been sent already.
struct SentMarks
{
    Model::TableVersion table_;
    std::uint64_t changes_ = 0;
    std::uint64_t blocks_ = 0;
};

/// All that the control process knows, behind one lock: the threads of gRPC and the timers share
/// it. None of them is on the path of a request.
///
/// Thread safety: every method may be called from any thread.
class ControlState
{
public:
    explicit ControlState(const Observe::Settings &settings, Model::Incarnation incarnation);

    /// Takes in an answer of the store's rows under the table's prefix.
    void onStoreRows(const Platform::StoredRows &rows);
    void onStoreFailure();
    void onInstances(std::vector<Model::Instance> instances);
    void onClientBlocks(const std::string &text);
    Platform::Revision seenRevision() const;

    /// Counts one heartbeat and forgets what is too old.
    void beat();
    cassiacrank::PullRequest makePull(bool isSameRegion) const;
    cassiacrank::PullAnswer answerPull(const cassiacrank::PullRequest &request);
    void onPullAnswer(const cassiacrank::PullAnswer &answer);
    /// Returns whom a gossip round may ask, the instance itself left out.
    std::vector<PeerTarget> peerTargets() const;
    std::size_t fleetSize() const;
    /// Tells whether nothing changed of late that the others must hear of soon.
    bool isQuiet() const;

    void onReport(const cassiacrank::ProcessReport &report);

    /// Marks the instance as leaving; every process learns of it.
    void beginLeaving();
    bool isReady() const;

    /// Waits until there is something that \a sent lacks, or for a while, and returns it.
    cassiacrank::Snapshot waitForSnapshot(SentMarks &sent, bool &isClosed);
    void onSubscriberCame();
    void onSubscriberGone();
    /// Waits until no process of the instance follows this one, at most \a patience.
    void waitForSubscribersToGo(Model::Milliseconds patience);
    /// Ends every waitForSnapshot().
    void close();

    /// Returns the JSON of /status.
    std::string statusText() const;

private:
    void judgeReadiness();
    void judgeRegions();
    void onTableChanged();
    /// Has the subscribers told within snapshotPause.
    void noteChange();
    /// Has them told with the next routine snapshot, unless something urgent changed with it.
    void noteRoutine();
    /// Returns a number that changes when a member comes, goes, leaves or becomes ready, or a
    /// target is marked: what requests are placed by at once.
    std::size_t urgentPrint() const;
    void judgeCrashes();
    void noteCrashes();
    void expireReports();
    cassiacrank::LiveState liveState() const;
    void refreshSummary();

    const Observe::Settings &settings_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    Peers::GossipState gossip_;
    Policy::StartKnowledge start_;
    std::vector<Model::Instance> listed_;
    std::string clientBlocks_;
    std::uint64_t changeCount_ = 1;
    std::size_t lastUrgentPrint_ = 0;
    Model::SteadyTime changedAt_;
    std::uint64_t blocksCount_ = 0;
    Model::SteadyTime startedAt_;
    Model::SteadyTime entryReportAt_;
    Model::SteadyTime lookupReportAt_;
    bool entryIsStopping_ = false;
    bool isLeaving_ = false;
    bool isClosed_ = false;
    bool storeIsDown_ = false;
    /// Somebody had a summary of the own region, so others know where it stands.
    bool ownRegionIsSpokenFor_ = false;
    /// It is known where every region of the table stands, or was waited for long enough.
    bool knowsRegions_ = false;
    int subscribers_ = 0;
};

} // namespace Controld
