#pragma once

#include "RequestContext.h"

#include <random>
#include <unordered_map>

namespace Steering {

/// Finds out which failure domains this instance reaches, service by service: from the contacts
/// that its requests make, and by probes of other targets as soon as these are in doubt.
///
/// Thread safety: none; belongs to one thread.
class ReachMonitor
{
public:
    ReachMonitor(const PlatformState &platformState, const TargetRegistry &registry,
                 Observe::DecisionLog &log);

    /// Records that a connection to \a target was opened or answered, or could not be opened. Where
    /// most targets of a failure domain are not reached, all of them are out of reach until probes
    /// succeed, except those that register later.
    void noteContact(const TargetState &target, bool isReached, Model::SteadyTime now);

    /// Counts the targets that may run \a request by whether this instance has reached them. A
    /// change is noticed after up to 100 ms.
    Policy::TargetReach reachOf(const RequestContext &request, Model::SteadyTime now);
    /// Returns whether most targets of some service are out of reach, so that this instance could
    /// not run requests of a peer.
    bool isPartitioned(Model::SteadyTime now);

    /// Returns a target of the request's service that has not answered and is due for a probe, or
    /// nullptr.
    std::shared_ptr<TargetState> targetToProbe(const RequestContext &request,
                                               Model::SteadyTime now) const;
    /// Returns the targets to which a connection should be opened now, to learn whether their
    /// failure domains are reached. Called every tick, and when a target was not reached.
    std::vector<std::shared_ptr<TargetState>> takeTargetsToProbe(Model::SteadyTime now);
    /// Returns the targets of the failure domains that were lost since the last call. Connections
    /// to them may be silent.
    std::vector<std::shared_ptr<TargetState>> takeLost() { return std::exchange(newlyLost_, {}); }

    /// Returns the number of pairs of a service and a failure domain that are lost.
    std::size_t lostDomains() const;

private:
    struct ServiceReach
    {
        /// By index of the table's domains.
        std::vector<Policy::DomainReach> domains_;
        std::vector<Policy::TargetReach> counts_;
        Model::SteadyTime countedAt_ = Model::distantPast;
    };

    ServiceReach &reachOf(const Model::ServiceId &service, std::size_t domains);
    const std::vector<Policy::TargetReach> &
    countsOf(const Model::ServiceId &service, const ServiceTargets &targets, Model::SteadyTime now);
    void logChange(const TargetState &target, const Policy::DomainReach &reach, bool isLost,
                   std::size_t targets, Model::SteadyTime now);
    void noteLost(ServiceReach &reach, const std::vector<std::shared_ptr<TargetState>> &targets,
                  Model::SteadyTime now);

    const PlatformState &platformState_;
    const TargetRegistry &registry_;
    Observe::DecisionLog &log_;
    std::unordered_map<Model::ServiceId, ServiceReach> services_;
    std::vector<std::shared_ptr<TargetState>> newlyLost_;
    /// Contacts in any failure domain since a target was last reached.
    std::size_t unreachedInSeries_ = 0;
    std::mt19937_64 random_{std::random_device()()};
};

} // namespace Steering
