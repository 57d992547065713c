#pragma once

#include "InstanceView.h"

#include <map>
#include <vector>

namespace Peers {

/// Where the traffic of one service and origin stands on its way to where it should go.
struct ShareWalk
{
    Policy::ShareVector shares_;
    /// The table to whose rows the shares belong, and the names of those rows.
    Model::TableVersion version_;
    std::vector<Model::FailureDomainId> domains_;
};

/// All walks of one entry. Not shared between threads.
struct ShareWalks
{
    using Key = std::pair<Model::ServiceId, Model::RegionId>;

    std::map<Key, ShareWalk> walks_;
    Model::SteadyTime steppedAt_;
    /// The last step was made before it was known where the other regions stand.
    bool wasStarting_ = true;
};

/// Begins a step at \a now and returns how far walks may move in it, as time since the last step.
///
/// Walks begin anew, from what others say, after a pause of the process and for as long as the
/// entry is starting; the step that ends the start is still part of it. What goes wrong otherwise:
/// the news that ends the start is often the first that says where traffic stands, and a walk that
/// an earlier step began from the plan, for want of that news, brings all callers of a returning
/// region back in one jump. Thread safety: \a walks belongs to the calling thread.
Model::Milliseconds beginStep(ShareWalks &walks, bool isStarting, Model::SteadyTime now);

/// Returns the walk of a service and origin. A new one begins where other entries say that the
/// traffic stands, or else at \a planned.
///
/// An entry that starts while failure domains are out takes over from its peers. In a region that
/// comes back whole none of them knows better, but the entries of other regions, which served its
/// callers meanwhile, do. \a own is the asking instance, whose own word does not count.
/// Precondition: \a view has a table. Thread safety: \a walks belongs to the calling thread.
ShareWalk &walkFor(ShareWalks &walks, const InstanceView &view, const Model::Instance &own,
                   const ShareWalks::Key &key, const Policy::ShareVector &planned);

} // namespace Peers
