#pragma once

#include "CrashGuard.h"
#include "EntrySnapshot.h"

#include <LibObserve/LibObserve.h>
#include <LibPeers/LibPeers.h>

#include <atomic>
#include <condition_variable>
#include <mutex>
#include <thread>

namespace Entryd {

/// Returns whether two share vectors of one table differ by more than rounding errors.
///
/// Thread safety: any thread.
bool areNotablyApart(const Policy::ShareVector &a, const Policy::ShareVector &b);

/// Builds the snapshots that request processing reads from the updates of the control process,
/// shifts the shares gradually, and reports the entry's state to the control process.
///
/// Thread safety: onSnapshot() and noteWaiting() may be called from any thread, the rest belongs to
/// the thread that owns the object.
class Planner
{
public:
    Planner(const Observe::Settings &settings, SnapshotCell &cell, CrashGuard &guard);
    ~Planner();
    Planner(const Planner &) = delete;
    Planner &operator=(const Planner &) = delete;

    /// Subscribes to the control process and starts the planner thread.
    void start();
    void stop();
    /// Marks the entry as stopping in all further reports.
    void beginStopping() { isStopping_ = true; }

    /// Adds \a change to the number of requests that wait for a slot.
    void noteWaiting(int change) { waiting_ += change; }
    int waiting() const { return waiting_; }

    std::uint64_t tableVersion() const { return tableVersion_; }
    bool isReady() const { return isReady_; }
    /// Returns the JSON of /status.
    std::string statusText();

private:
    void onSnapshot(const cassiacrank::Snapshot &snapshot);
    void run();
    void step();
    void updateTargets();
    void applyLeavingMarks();
    ServicePlan planService(const Model::Service &service, Model::WallTime now,
                            Model::Milliseconds elapsed);
    void findOutage(const Model::Service &service, ServicePlan &plan);
    OriginPlan planOrigin(const Model::Service &service, const Model::RegionId &origin,
                          const Policy::DomainOutage &outage, Model::WallTime now,
                          Model::Milliseconds elapsed);
    std::unique_ptr<EntrySnapshot> makeSnapshot(Model::Milliseconds elapsed);
    Model::Instance localInstance() const;
    void divideLimits(const EntrySnapshot &snapshot) const;
    std::uint64_t pairRank(const Model::InstanceId &other) const;
    cassiacrank::ProcessReport makeReport();
    void reportIfDue(const cassiacrank::ProcessReport &report);

    const Observe::Settings &settings_;
    SnapshotCell &cell_;
    CrashGuard &guard_;
    Peers::ControlClient client_;
    std::thread thread_;

    std::mutex mutex_;
    std::condition_variable changed_;
    /// Written by the client's thread, copied by the planner thread.
    Peers::InstanceView receivedView_;
    bool hasReceivedView_ = false;
    bool isStopRequested_ = false;

    /// Owned by the planner thread; statusText() takes the lock to read them.
    Peers::InstanceView view_;
    std::map<Model::TargetId, std::shared_ptr<TargetState>> targets_;
    Peers::ShareRamps shareRamps_;
    std::map<std::pair<Model::ServiceId, Model::FailureDomainId>, bool> loggedOutages_;
    Model::SteadyTime reportedAt_;
    /// The fields of a report whose change is reported immediately.
    struct UrgentReportState
    {
        std::uint64_t tableVersion_ = 0;
        bool isStopping_ = false;
        bool isStarting_ = true;
        int marks_ = -1;
        int rampCount_ = -1;
        std::uint64_t crashes_ = 0;

        bool operator==(const UrgentReportState &) const = default;
    };
    /// Of the last report that was delivered.
    UrgentReportState lastUrgentState_;
    /// The value of CrashGuard::changes() that the current report covers.
    std::uint64_t reportedCrashChanges_ = 0;

    std::atomic<bool> isStopping_{false};
    std::atomic<bool> isReady_{false};
    std::atomic<bool> takesCallers_{false};
    std::atomic<std::uint64_t> tableVersion_{0};
    std::atomic<int> waiting_{0};
};

} // namespace Entryd
