#pragma once

#include "Job.h"

#include <random>
#include <unordered_map>
#include <variant>

namespace Steering {

/// Chooses a target for each request from what the instance knows.
///
/// Thread safety: none; belongs to one thread.
class Placer
{
public:
    Placer(const Observe::Settings &settings, const Knowledge &knowledge, TargetBook &book);

    /// Sets, for each of the table's regions, how many entries run there.
    void setEntries(std::vector<std::size_t> entries) { entries_ = std::move(entries); }
    /// Takes in that another table is in force.
    void tableChanged();

    /// Decides which service takes the request, by the weights of its route.
    Model::ServiceId chooseService(const Model::Route &route);

    /// Chooses a target for the next attempt of \a job, or says why there is none.
    std::variant<Placement, Refusal> place(const Job &job, Model::SteadyTime now);

    /// Takes in an answer or a failure of the target that a request was placed on.
    void noteAnswer(const Job &job, const Placement &placement, Model::Microseconds took,
                    Model::SteadyTime now);
    void noteFailure(const Placement &placement, Model::SteadyTime now);
    /// Takes in that nothing came back of a request that was sent at \a sentAt, or that none could
    /// be sent.
    ///
    /// What goes wrong without it: what a request's loss says against a target fades within
    /// seconds, then a handful of requests go there at once and are lost too, for as long as the
    /// target is registered. One that answers nobody is asked by one request at a time.
    void noteSilence(const Placement &placement, Model::SteadyTime sentAt, bool wasSent,
                     Model::SteadyTime now);
    /// Returns the round trip to \a target, as it is known for its region. Precondition: the target
    /// takes work.
    Model::Microseconds roundTripTo(const TargetState &target) const
    {
        return roundTrips_[target.region_];
    }
    /// Returns how long to wait for a new connection to \a target.
    Model::Milliseconds connectPatienceFor(const TargetState &target) const;
    /// Takes in how long a new connection to a target took to be made: one round trip.
    void noteConnect(const TargetState &target, Model::Microseconds took);

private:
    /// What was learned of a route's requests at one service.
    struct RouteWork
    {
        Policy::WorkTimes times_;
        Policy::OthersWarmth othersWarmth_;
    };

    /// The part of a service's slots that was taken at a moment.
    struct SlotUse
    {
        double use_ = 0;
        Model::SteadyTime countedAt_ = Model::longAgo;
    };

    struct RouteState
    {
        Policy::PartTurns turns_;
        std::unordered_map<Model::ServiceId, RouteWork> work_;
    };

    /// How near an object is to each failure domain, and which one is its home.
    struct ObjectView
    {
        /// The least of these, divided by the share, decides.
        std::vector<double> draws_;
        std::size_t home_ = 0;
    };

    /// The two targets of a failure domain that rank highest for an object, of those that may take
    /// it now. Null where there are none.
    struct Owners
    {
        const std::shared_ptr<TargetState> *first_ = nullptr;
        const std::shared_ptr<TargetState> *second_ = nullptr;
    };

    ObjectView viewOf(const Job &job, const ServiceTargets &targets) const;
    void gather(const Job &job, const ServiceTargets &targets, Model::SteadyTime now);
    void limitSpill(const Job &job, std::size_t home, Model::SteadyTime now);
    Owners ownersAmong(const Job &job, const std::vector<std::shared_ptr<TargetState>> &targets,
                       Model::SteadyTime now) const;
    void addOwners(const Job &job, const std::vector<std::shared_ptr<TargetState>> &targets,
                   bool isHome, bool isHomeOfOthers, Model::SteadyTime now);
    Policy::Candidate candidateFor(const Job &job, const TargetState &target,
                                   Model::SteadyTime now) const;
    /// Returns the mean time of the service's requests, or zero before any was seen.
    Model::Microseconds meanTimeOf(const Model::ServiceId &service) const;
    /// Returns the part of the service's slots that is taken.
    double useOf(const Model::ServiceId &service, const ServiceTargets &targets,
                 Model::SteadyTime now);
    bool isKnownWarm(const Job &job, const TargetState &target, Model::SteadyTime now) const;
    bool mayTake(const Job &job, const TargetState &target, Model::SteadyTime now) const;
    RouteWork &workOf(const Model::Route &route, const Model::ServiceId &service);
    std::size_t holdersOf(const TargetState &target) const;
    bool isAllowed(const Model::Route &route, std::size_t domain) const;

    const Observe::Settings &settings_;
    const Knowledge &knowledge_;
    TargetBook &book_;
    std::vector<std::size_t> entries_;
    std::size_t ownDomain_ = 0;
    std::size_t ownRegion_ = 0;
    std::unordered_map<Model::RouteId, RouteState> routes_;
    /// Mean time of all requests of a service at its targets.
    std::unordered_map<Model::ServiceId, double> serviceMeanUs_;
    std::unordered_map<Model::ServiceId, Policy::ObjectMemory> memory_;
    std::unordered_map<Model::ServiceId, SlotUse> use_;
    /// Round trip to each region, learned from new connections.
    std::vector<Model::Microseconds> roundTrips_;
    /// Filled anew for each request; kept for their memory.
    std::vector<Policy::Candidate> candidates_;
    std::vector<std::shared_ptr<TargetState>> candidateTargets_;
    Policy::SpillMeter spill_;
    std::mt19937_64 random_{std::random_device()()};
};

} // namespace Steering
