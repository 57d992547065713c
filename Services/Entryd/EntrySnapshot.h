#pragma once

#include "TargetState.h"

#include <LibConcurrency/LibConcurrency.h>
#include <LibPeers/LibPeers.h>

#include <unordered_map>
#include <vector>

namespace Entryd {

/// How the traffic of one origin is spread at the moment.
struct OriginPlan
{
    Policy::ShareVector shares_;
    /// The shares are on their way to another goal.
    bool isMoving_ = false;
    /// When a request that may not move yet should come back.
    Model::Milliseconds comeBack_{1000};
};

/// What the entry does for one service.
struct ServicePlan
{
    /// The targets of each failure domain of the own region; empty for those of other regions.
    std::vector<std::vector<std::shared_ptr<TargetState>>> targets_;
    /// For each failure domain, whether it can serve at all.
    Policy::DomainOutage outage_;
    /// For each row of Table::regions().
    std::vector<OriginPlan> origins_;
};

/// Everything that a request reads; immutable once published.
struct EntrySnapshot
{
    std::shared_ptr<const Model::Table> table_;
    std::shared_ptr<const Model::ClientBlocks> blocks_;
    /// Requests of other entries are taken.
    bool isReady_ = false;
    /// Callers' requests are taken too.
    bool takesCallers_ = false;
    /// One for each row of Table::services().
    std::vector<ServicePlan> services_;
    std::unordered_map<Model::ServiceId, std::size_t> serviceIndex_;
    std::unordered_map<Model::RegionId, std::size_t> regionIndex_;
    /// For each failure domain of other regions, the entries that take requests for it.
    std::vector<std::vector<Model::Instance>> handOver_;
    /// Other live entries of the own region, those near in rank first.
    std::vector<Model::Instance> nearEntries_;
    std::size_t ownRegion_ = 0;
    std::size_t entriesInRegion_ = 1;
    std::size_t fleetSize_ = 1;
};

using SnapshotCell = Concurrency::RcuCell<EntrySnapshot>;

/// Finds where a request comes from: the place of \a remoteHost by the map of client blocks, else
/// the own region. Returns an index into Table::regions(). Thread safety: any thread.
std::size_t originOf(const EntrySnapshot &snapshot, const std::string &remoteHost);

} // namespace Entryd
