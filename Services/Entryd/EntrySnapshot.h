#pragma once

#include "TargetState.h"

#include <LibConcurrency/LibConcurrency.h>
#include <LibPeers/LibPeers.h>

#include <unordered_map>
#include <vector>

namespace Entryd {

/// The current distribution of one origin's traffic.
struct OriginPlan
{
    Policy::ShareVector shares_;
    /// The shares are being shifted to another goal.
    bool isMoving_ = false;
    /// The retry delay of a request that may not shift yet.
    Model::Milliseconds retryDelay_{1000};
};

/// The placement data of one service.
struct ServicePlan
{
    /// The targets of each failure domain of the local region; empty for domains of other regions.
    std::vector<std::vector<std::shared_ptr<TargetState>>> targets_;
    /// For each failure domain, whether it can serve requests.
    Policy::DomainOutage outage_;
    /// For each row of Table::regions().
    std::vector<OriginPlan> origins_;
};

/// All shared state that request processing reads; immutable once published.
struct EntrySnapshot
{
    std::shared_ptr<const Model::Table> table_;
    std::shared_ptr<const Model::ClientBlocks> blocks_;
    /// The entry accepts requests forwarded by other entries.
    bool isReady_ = false;
    /// The entry accepts callers' requests too.
    bool takesCallers_ = false;
    /// One for each row of Table::services().
    std::vector<ServicePlan> services_;
    std::unordered_map<Model::ServiceId, std::size_t> serviceIndex_;
    std::unordered_map<Model::RegionId, std::size_t> regionIndex_;
    /// For each failure domain of other regions, the entries to which its requests are forwarded.
    std::vector<std::vector<Model::Instance>> remoteEntries_;
    /// Other live entries of the local region, ordered by pairwise rank.
    std::vector<Model::Instance> localPeerEntries_;
    std::size_t localRegion_ = 0;
    std::size_t entriesInRegion_ = 1;
    std::size_t fleetSize_ = 1;
};

using SnapshotCell = Concurrency::RcuCell<EntrySnapshot>;

/// Finds the origin region of a request: the location of \a remoteHost in the client block map, or
/// the local region if it is not listed. Returns an index into Table::regions(). Thread safety: any
/// thread.
std::size_t originOf(const EntrySnapshot &snapshot, const std::string &remoteHost);

} // namespace Entryd
