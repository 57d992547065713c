#pragma once

#include "RequestContext.h"

#include <array>
#include <random>
#include <unordered_map>
#include <variant>

namespace Steering {

/// Chooses a target for each request from the instance's state.
///
/// Thread safety: none; belongs to one thread.
class PlacementEngine
{
public:
    PlacementEngine(const Observe::Settings &settings, const PlatformState &knowledge,
                    TargetRegistry &registry);

    /// Sets, for each of the table's regions, how many entries run there.
    void setEntries(std::vector<std::size_t> entries) { entries_ = std::move(entries); }
    /// Applies a change of the table.
    void tableChanged();

    /// Chooses the service for a request by its route's weights.
    Model::ServiceId chooseService(const Model::Route &route);

    /// Chooses a target for the next attempt of \a request, or returns why there is none.
    std::variant<Placement, Refusal> place(const RequestContext &request, Model::SteadyTime now);

    /// Returns when the caller should return if every target that may run \a request pauses: after
    /// the pause that ends first. std::nullopt if one does not pause, or there is none.
    std::optional<Model::Milliseconds> retryDelayWhilePausing(const RequestContext &request,
                                                              Model::SteadyTime now);

    /// Records that a target has announced its leave in an answer, here or at a peer. Such a target
    /// takes no further requests, whatever its registration says.
    void noteLeave(TargetState &target, Model::SteadyTime now)
    {
        registry_.noteLeave(target, "answer", now);
    }
    void noteLeaveAtPeer(const Model::TargetId &target, Model::SteadyTime now)
    {
        registry_.noteLeave(target, "answer at a peer", now);
    }

    /// Records that a target of the service has reported its pace.
    void notePaceReported(const Model::ServiceId &service)
    {
        results_[service].reportsPace_ = true;
    }

    bool reportsPace(const Model::ServiceId &service) const
    {
        const auto found = results_.find(service);
        return found != results_.end() && found->second.reportsPace_;
    }

    /// Returns the service's slots in this region, as counted last.
    Policy::RegionSlots regionSlotsOf(const Model::ServiceId &service) const
    {
        const auto found = use_.find(service);
        return found == use_.end() ? Policy::RegionSlots() : found->second.region_;
    }

    /// Returns for how long a request of the service occupies a slot on average, slow targets and
    /// long requests included; zero before the first answer.
    Model::Microseconds meanSlotTimeOf(const Model::ServiceId &service) const;

    /// Records an answer, with the pace that the target reported in it, or a failure of the target
    /// that a request was placed on.
    void noteAnswer(const RequestContext &request, const Placement &placement,
                    Model::Microseconds took, Model::SteadyTime now,
                    std::optional<Model::Pace> pace = std::nullopt);
    void noteFailure(const Placement &placement, Model::SteadyTime now);
    /// Records that no answer arrived to a request that was sent at \a sentAt, or that it could not
    /// be sent.
    ///
    /// Without it, the penalty of a lost request decays within seconds; then several requests go
    /// there at once and are lost too, for as long as the target is registered. A target that
    /// answers no request is probed by one request at a time.
    void noteNoAnswer(const Placement &placement, Model::SteadyTime sentAt, bool wasSent,
                      Model::SteadyTime now);
    /// Withdraws a placement of which no request is sent.
    void withdraw(const Placement &placement);

    /// Returns how long after its first byte an unanswered request, placed by \a placement, is due
    /// for a second try. Policy::secondTryDelay() gives the rule.
    Model::Microseconds secondTryDelay(const RequestContext &request, const Placement &placement,
                                       Model::SteadyTime now);
    /// Records in the route's distribution that an attempt had taken \a took when the answer to
    /// another attempt ended it.
    ///
    /// Without it, the distribution loses the slow answers that second tries replace, so its
    /// quantiles fall and second tries start earlier and earlier.
    ///
    /// The time for which it was unanswered also counts as one of the target's latest answers.
    /// Without that, a silent target whose requests are always overtaken keeps its objects.
    void noteOvertaken(const RequestContext &request, const Placement &placement,
                       Model::Microseconds took, Model::SteadyTime now);
    /// Returns the part of the service's slots that was in use when a request was last placed.
    double slotUse(const Model::ServiceId &service) const
    {
        const auto found = use_.find(service);
        return found == use_.end() ? 0 : found->second.use_;
    }
    /// Returns the round trip to \a target as measured for its region. Precondition: the target
    /// takes work.
    Model::Microseconds roundTripTo(const TargetState &target) const
    {
        return roundTrips_[target.region_];
    }
    /// Returns the round trip to a region, as measured on connections to its targets.
    Model::Microseconds roundTripTo(const Model::RegionId &region) const;
    /// Returns the address at which this instance reaches \a target.
    Model::Address addressToDial(const TargetState &target) const
    {
        return Observe::dialAddress(settings_, target.record_.address_);
    }
    /// Returns the connect timeout for \a target.
    Model::Milliseconds connectTimeoutFor(const TargetState &target) const;
    /// Records how long a connection to \a target took to open: one round trip.
    void noteConnect(const TargetState &target, Model::Microseconds took);

private:
    /// Statistics on a route's requests at one service.
    struct RouteWork
    {
        Policy::WorkTimes times_;
        Policy::PeerWarmth peerWarmth_;
        Policy::WorkDistribution distribution_;
    };

    /// The fraction of a service's slots that was in use at a point in time.
    struct SlotUse
    {
        double use_ = 0;
        Policy::RegionSlots region_;
        Model::SteadyTime countedAt_ = Model::distantPast;
    };

    /// What the answers of a service's targets show of all of them.
    struct ServiceResults
    {
        /// Targets report their pace, so they share their machines with other work and differ from
        /// moment to moment.
        bool reportsPace_ = false;
        Policy::CommonFailureRate failures_;
    };

    struct RouteState
    {
        Policy::WeightedRoundRobin weightedSplit_;
        std::unordered_map<Model::ServiceId, RouteWork> work_;
    };

    /// An object's draw for each failure domain, and its home domain.
    struct ObjectView
    {
        /// The domain with the lowest draw divided by its share is the home domain.
        std::vector<double> draws_;
        std::size_t home_ = 0;
    };

    /// The highest-ranking targets for an object in a failure domain, best first, among those that
    /// may take it now. Null if there are fewer.
    struct Owners
    {
        std::array<const std::shared_ptr<TargetState> *, 3> ranked_{};
        std::array<std::uint64_t, 3> scores_{};
    };

    ObjectView viewOf(const RequestContext &request, const ServiceTargets &targets) const;
    void gatherCandidates(const RequestContext &request, const ServiceTargets &targets,
                          Model::SteadyTime now);
    void limitSpillOver(const RequestContext &request, std::size_t home, Model::SteadyTime now);
    Owners ownersAmong(const RequestContext &request,
                       const std::vector<std::shared_ptr<TargetState>> &targets,
                       Model::SteadyTime now) const;
    void addOwners(const RequestContext &request,
                   const std::vector<std::shared_ptr<TargetState>> &targets, bool isHome,
                   bool isHomeOfOthers, Model::SteadyTime now);
    Policy::Candidate candidateFor(const RequestContext &request, const TargetState &target,
                                   Model::SteadyTime now) const;
    /// Returns the slowness of a target that reports its pace.
    double slownessOf(const RequestContext &request, const TargetState &target,
                      Model::SteadyTime now) const;
    /// Records an answer of a target that reports its pace.
    void notePacedWork(RouteWork &work, const Placement &placement, Model::Microseconds worked,
                       Model::SteadyTime now);
    /// Returns the shortest expected time among the candidates other than \a chosen.
    std::optional<Model::Microseconds> nextExpected(std::size_t chosen,
                                                    const Policy::WorkEstimate &work) const;
    /// Returns the mean processing time of the service's requests, or zero before the first one.
    Model::Microseconds meanTimeOf(const Model::ServiceId &service) const;
    /// Returns the fraction of the service's slots that is in use.
    double slotUseOf(const Model::ServiceId &service, const ServiceTargets &targets,
                     Model::SteadyTime now);
    bool isKnownWarm(const RequestContext &request, const TargetState &target,
                     Model::SteadyTime now) const;
    bool mayTake(const RequestContext &request, const TargetState &target,
                 Model::SteadyTime now) const;
    RouteWork &workOf(const Model::Route &route, const Model::ServiceId &service);
    std::size_t entriesSharing(const TargetState &target) const;
    bool isAllowed(const RequestContext &request, std::size_t domain) const;
    /// Returns whether the next owner in rendezvous order also takes the request's object.
    bool isOverflowing(const RequestContext &request, TargetState &owner, Model::SteadyTime now);

    const Observe::Settings &settings_;
    const PlatformState &platformState_;
    TargetRegistry &registry_;
    std::vector<std::size_t> entries_;
    std::size_t localDomain_ = 0;
    std::size_t localRegion_ = 0;
    std::unordered_map<Model::RouteId, RouteState> routes_;
    /// Mean processing time of all requests of a service at its targets.
    std::unordered_map<Model::ServiceId, double> serviceMeanUs_;
    /// Mean time for which a request of a service occupies a slot, at the pace of the moment.
    std::unordered_map<Model::ServiceId, double> slotTimeUs_;
    std::unordered_map<Model::ServiceId, Policy::ObjectRetention> memory_;
    std::unordered_map<Model::ServiceId, SlotUse> use_;
    std::unordered_map<Model::ServiceId, ServiceResults> results_;
    /// The results of the service of the request that is being placed.
    ServiceResults current_;
    /// Round trip to each region, measured on new connections.
    std::vector<Model::Microseconds> roundTrips_;
    /// Refilled for each request; kept to reuse the allocation.
    std::vector<Policy::Candidate> candidates_;
    std::vector<std::shared_ptr<TargetState>> candidateTargets_;
    Policy::SpillMeter spillOver_;
    std::mt19937_64 random_{std::random_device()()};
};

} // namespace Steering
