#pragma once

#include "Callers.h"
#include "Plan.h"

#include <Platform/Fleet.h>

#include <map>
#include <set>

namespace Soak {

/// A target that runs a request with this path prefix crashes, and restarts after a delay.
constexpr const char *poisonPathPrefix = "/read/ends-";

/// Adds the crashes under poison requests to \a faults. Thread safety: any thread.
PlatformStandIns::TargetFaults withPoison(PlatformStandIns::TargetFaults faults);

/// Runs real instances with the store and the targets behind a proxy, and injects faults.
class SoakSite
{
public:
    explicit SoakSite(const PlanSize &size);

    /// Returns whether every instance serves.
    bool start();
    void begin(const Fault &fault);
    void end(const Fault &fault);
    /// Checks whether stopping instances have exited, and restarts those that are due.
    /// Must be called periodically.
    void watchStops();

    PlatformStandIns::Fleet &fleet() { return fleet_; }
    std::vector<Model::Address> lookups() const;
    std::size_t targetCount() const { return fleet_.targets_.size(); }

    /// Returns the time since which an instance, or the store, has been undisturbed; std::nullopt
    /// while a disturbance lasts.
    std::optional<Model::SteadyTime> calmSince(const Model::Address &entry) const;
    std::optional<Model::SteadyTime> storeCalmSince() const;
    /// Returns the time since which an instance's process has run without a pause; std::nullopt
    /// while it does not run.
    std::optional<Model::SteadyTime> processCalmSince(const Model::Address &entry) const;
    /// Returns the same for the connections to a target.
    std::optional<Model::SteadyTime> targetWayCalmSince(std::size_t target) const;
    /// Returns when an instance was killed or stopped; std::nullopt while it runs.
    std::optional<Model::SteadyTime> downSince(const std::string &entry) const;
    /// Tells whether any instance had been down for longer than \a duration at \a at.
    bool isAnyDownFor(Model::Milliseconds duration, Model::SteadyTime at) const;

    /// Sets the callers that send poison requests; \a callers must outlive the faults.
    void setCallers(Callers &callers) { callers_ = &callers; }
    /// Returns the times of target crashes caused by each poison request, in order.
    std::map<std::string, std::vector<Model::SteadyTime>> crashTimes();

    /// Returns when the store recorded the leave of a target's incarnation, by the incarnation's
    /// id.
    const std::map<std::string, Model::SteadyTime> &leftAt() const { return leftAt_; }
    /// Returns the newest added route, and when the store recorded it.
    const std::string &newestRoute() const { return newestRoute_; }
    Model::SteadyTime editedAt() const { return editedAt_; }
    /// Returns and clears the errors while injecting faults, such as a planned stop that failed.
    std::vector<std::string> takeErrors() { return std::exchange(errors_, {}); }

private:
    /// The number of active disturbances, and when the last one ended.
    struct Disturbance
    {
        int count_ = 0;
        Model::SteadyTime endedAt_ = Model::distantPast;
        std::optional<Model::SteadyTime> calmSince() const;
    };

    void writeWays();
    std::string peerSettings(std::size_t instance) const;
    Model::Address storeWay(std::size_t instance) const;
    Model::Address targetWay(std::size_t target) const;
    void switchWays(const std::string &group, const std::string &mode);
    void registerTarget(std::size_t target, const std::string &state);
    void setStoreFaults(const PlatformStandIns::StoreFaults &faults, int change);
    static void disturb(Disturbance &disturbance, int change);
    void disturb(std::size_t instance, int change);
    void disturbProcess(std::size_t instance, int change);
    std::optional<std::size_t> numberOf(const Model::Address &entry) const;
    void beginTerms(const Fault &fault);
    void endTerms(const Fault &fault);
    /// A planned stop in progress.
    struct Stop
    {
        Model::SteadyTime requestedAt_;
        /// The instance is started again after the stop.
        bool mustStart_ = false;
    };

    void stopInstance(std::size_t instance);
    bool hasStopped(std::size_t instance, const Stop &stop);
    void startInstance(std::size_t instance);
    void replaceTarget(std::size_t target);
    void leaveTarget(std::size_t target, bool isAnnounced);

    PlanSize size_;
    PlatformStandIns::Fleet fleet_;
    std::unique_ptr<Harness::Process> proxy_;
    Model::Address proxyControl_;
    std::map<std::size_t, Disturbance> instances_;
    /// Kills, stops and pauses only.
    std::map<std::size_t, Disturbance> processes_;
    Disturbance store_;
    std::map<std::size_t, Disturbance> targetWays_;
    /// Times at which the stopped instances went down, by entry.
    std::map<std::string, Model::SteadyTime> downSince_;
    /// Overlapping faults of one instance; it restarts or resumes when the last of them ends.
    std::map<std::size_t, int> downCount_;
    std::map<std::size_t, int> pauseCount_;
    std::map<std::size_t, Stop> stops_;
    std::map<std::string, Model::SteadyTime> leftAt_;
    std::set<std::size_t> leavingTargets_;
    std::map<std::string, int> drains_;
    std::string newestRoute_;
    Model::SteadyTime editedAt_ = Model::distantPast;
    Callers *callers_ = nullptr;
    int version_ = 1;
    int lastIncarnation_ = 0;
    std::vector<std::string> errors_;
};

} // namespace Soak
