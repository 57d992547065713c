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

/// Tells whether two share vectors of one table differ by more than rounding does.
///
/// Thread safety: any thread.
bool areNotablyApart(const Policy::ShareVector &a, const Policy::ShareVector &b);

/// Turns what the control process tells into the snapshots that requests read, moves the shares in
/// small steps, and reports back.
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

    /// Begins to follow the control process.
    void start();
    void stop();
    /// From now on reports say that the entry is stopping.
    void beginStopping() { isStopping_ = true; }

    /// Changes the count of requests that wait for a slot.
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
    void applyMarks();
    ServicePlan planService(const Model::Service &service, Model::WallTime now,
                            Model::Milliseconds elapsed);
    void findOutage(const Model::Service &service, ServicePlan &plan);
    OriginPlan planOrigin(const Model::Service &service, const Model::RegionId &origin,
                          const Policy::DomainOutage &outage, Model::WallTime now,
                          Model::Milliseconds elapsed);
    std::unique_ptr<EntrySnapshot> makeSnapshot(Model::Milliseconds elapsed);
    Model::Instance ownInstance() const;
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
    /// Written by the client's thread, copied by the planner's.
    Peers::InstanceView arrived_;
    bool hasArrived_ = false;
    bool isOver_ = false;

    /// The planner's own; statusText() takes the lock to read them.
    Peers::InstanceView view_;
    std::map<Model::TargetId, std::shared_ptr<TargetState>> targets_;
    Peers::ShareWalks walks_;
    std::map<std::pair<Model::ServiceId, Model::FailureDomainId>, bool> knownOut_;
    Model::SteadyTime reportedAt_;
    /// What of a report others must act on at once; of the last one that arrived.
    struct ReportPrint
    {
        std::uint64_t tableVersion_ = 0;
        bool isStopping_ = false;
        bool isStarting_ = true;
        int marks_ = -1;
        int walked_ = -1;
        std::uint64_t crashes_ = 0;

        bool operator==(const ReportPrint &) const = default;
    };
    ReportPrint lastReport_;
    /// The guard's changes that the report in hand tells of.
    std::uint64_t crashesReported_ = 0;

    std::atomic<bool> isStopping_{false};
    std::atomic<bool> isReady_{false};
    std::atomic<bool> takesCallers_{false};
    std::atomic<std::uint64_t> tableVersion_{0};
    std::atomic<int> waiting_{0};
};

} // namespace Entryd
