#pragma once

#include "PlacementEngine.h"

#include <random>
#include <unordered_map>

namespace Steering {

/// Finds out for which services the region is short of slots, from this instance's requests and
/// from the demand that its peers report, and decides which requests are admitted meanwhile.
///
/// Thread safety: none; belongs to one thread.
class ShortageMonitor
{
public:
    /// Where \a isOn is false, nothing is counted, refused or sent. The other arguments must
    /// outlive the monitor.
    ShortageMonitor(const Observe::Settings &settings, const PlatformState &platformState,
                    const TargetRegistry &registry, const PlacementEngine &placementEngine,
                    Observe::DecisionLog &log, bool isOn);

    /// Counts \a request and returns why it is refused, if it is. Called once for each request of
    /// this instance's own callers, before it is placed.
    std::optional<Refusal> check(const RequestContext &request, Model::SteadyTime now);

    /// Updates the state of each service, where \a entries are alive in this region. Called every
    /// tick.
    void update(std::size_t entries, Model::SteadyTime now);

    /// Returns this instance's demand for its peers of the region; std::nullopt where it is off.
    std::optional<std::vector<Policy::DemandItem>> demandToSend(Model::SteadyTime now) const;
    /// Records the demand that a peer of the region sent.
    void receiveDemand(const std::vector<Policy::DemandItem> &items, const Model::InstanceId &peer,
                       Model::SteadyTime now);

    /// The services that have had requests.
    const std::unordered_map<Model::ServiceId, Policy::Shortage> &services() const
    {
        return services_;
    }

private:
    double slotsOf(const Model::ServiceId &service, Model::SteadyTime now) const;
    void logChange(const Model::ServiceId &service, const Policy::Shortage &shortage,
                   const Policy::ShortageCapacity &capacity, Model::Microseconds previousState);

    const Observe::Settings &settings_;
    const PlatformState &platformState_;
    const TargetRegistry &registry_;
    const PlacementEngine &placementEngine_;
    Observe::DecisionLog &log_;
    bool isOn_ = false;
    std::unordered_map<Model::ServiceId, Policy::Shortage> services_;
    std::mt19937_64 random_{std::random_device()()};
};

} // namespace Steering
