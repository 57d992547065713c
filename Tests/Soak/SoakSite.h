#pragma once

#include "Callers.h"
#include "Plan.h"

#include <Platform/Fleet.h>

#include <map>
#include <set>

namespace Soak {

/// Real instances, with the store and the targets behind a proxy, and what disturbs them.
class SoakSite
{
public:
    explicit SoakSite(const PlanSize &size);

    /// Returns whether every instance serves.
    bool start();
    void begin(const Fault &fault);
    void end(const Fault &fault);
    /// Looks whether instances that were asked to stop have ended, and starts those that are due.
    /// Called again and again.
    void watchStops();

    PlatformStandIns::Fleet &fleet() { return fleet_; }
    std::vector<Model::Address> lookups() const;

    /// Since when nothing was done to an instance, to the store, or to either; nothing while
    /// something is.
    std::optional<Model::SteadyTime> calmSince(const Model::Address &entry) const;
    std::optional<Model::SteadyTime> storeCalmSince() const;
    /// The same for the way to a target.
    std::optional<Model::SteadyTime> targetWayCalmSince(std::size_t target) const;
    /// Since when an instance was killed or stopped; nothing while it runs.
    std::optional<Model::SteadyTime> goneSince(const std::string &entry) const;
    /// Tells whether any instance had been gone for longer than \a duration at \a at.
    bool isAnyGoneFor(Model::Milliseconds duration, Model::SteadyTime at) const;

    /// Sets who sends requests under which targets end; \a callers outlive the faults.
    void setCallers(Callers &callers) { callers_ = &callers; }
    /// The ends of targets under each such request, in order.
    std::map<std::string, std::vector<Model::SteadyTime>> ends();

    /// When the store took it that a run of a target leaves, by the run's id.
    const std::map<std::string, Model::SteadyTime> &leftAt() const { return leftAt_; }
    /// The newest route that was added, and when the store took it.
    const std::string &newestRoute() const { return newestRoute_; }
    Model::SteadyTime editedAt() const { return editedAt_; }
    /// What went wrong while faults were applied: a planned stop that did not end well.
    std::vector<std::string> takeMistakes() { return std::exchange(mistakes_, {}); }

private:
    /// How many disturbances there are, and when the last one ended.
    struct Disturbance
    {
        int count_ = 0;
        Model::SteadyTime endedAt_ = Model::longAgo;
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
    /// A planned stop that has not ended.
    struct Stop
    {
        Model::SteadyTime askedAt_;
        /// It is to be started again.
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
    Disturbance store_;
    std::map<std::size_t, Disturbance> targetWays_;
    /// Instances that are down, by entry.
    std::map<std::string, Model::SteadyTime> gone_;
    /// Faults of one instance that overlap: it comes back with the last of them.
    std::map<std::size_t, int> downCount_;
    std::map<std::size_t, int> pauseCount_;
    std::map<std::size_t, Stop> stops_;
    std::map<std::string, Model::SteadyTime> leftAt_;
    std::set<std::size_t> leavingTargets_;
    std::map<std::string, int> drains_;
    std::string newestRoute_;
    Model::SteadyTime editedAt_ = Model::longAgo;
    Callers *callers_ = nullptr;
    int version_ = 1;
    int lastRun_ = 0;
    std::vector<std::string> mistakes_;
};

} // namespace Soak
