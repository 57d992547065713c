#pragma once

#include "InstanceView.h"

#include <map>
#include <vector>

namespace Peers {

/// The current shares of one service and origin during a gradual shift to the planned ones.
struct ShareRamp
{
    Policy::ShareVector shares_;
    /// The version of the table whose domains the shares refer to, and the ids of these domains.
    Model::TableVersion version_;
    std::vector<Model::FailureDomainId> domains_;
};

/// All ramps of one entry. Not shared between threads.
struct ShareRamps
{
    using Key = std::pair<Model::ServiceId, Model::RegionId>;

    std::map<Key, ShareRamp> ramps_;
    Model::SteadyTime steppedAt_;
    /// The state of the other regions was still unknown at the last step.
    bool wasStarting_ = true;
};

/// Begins a step at \a now and returns the time since the last step, which limits how far shares
/// may shift in it.
///
/// Ramps restart from the shares that peers report after a pause of the process and while the entry
/// is starting, including the step that ends the start. Without this, all callers of a recovering
/// region return in one jump, because the update that ends the start is often the first that has
/// the current shares, and a ramp begun in an earlier step starts from the planned ones.
/// Thread safety: \a ramps belongs to the calling thread.
Model::Milliseconds beginRampStep(ShareRamps &ramps, bool isStarting, Model::SteadyTime now);

/// Returns the ramp of a service and origin. A new one begins at the shares that other entries
/// report, or at \a planned if there are none.
///
/// An entry that starts while failure domains are out adopts the shares of its peers in the region.
/// If the whole region recovers, only entries of other regions, which served its callers in the
/// meantime, have the current shares. \a own is the local instance, whose own report is ignored.
/// Precondition: \a view has a table. Thread safety: \a ramps belongs to the calling thread.
ShareRamp &rampFor(ShareRamps &ramps, const InstanceView &view, const Model::Instance &own,
                   const ShareRamps::Key &key, const Policy::ShareVector &planned);

} // namespace Peers
