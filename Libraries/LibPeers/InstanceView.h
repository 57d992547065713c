#pragma once

#include "Codec.h"

#include <memory>

namespace Peers {

/// The state that entryd and lookupd receive from the control process of their instance.
struct InstanceView
{
    std::shared_ptr<const Model::Table> table_;
    std::shared_ptr<const Model::ClientBlocks> blocks_;
    bool isReady_ = false;
    bool isLeaving_ = false;
    /// As in InstanceRecord, for the local instance.
    bool isStarting_ = false;
    /// Live instances in the local region, including the local one.
    std::vector<InstanceRecord> members_;
    /// Fresh summaries of all regions.
    std::vector<RegionSummary> summaries_;
    Policy::LeavingMarks marks_;
    /// The last update of crashed incarnations and quarantines from the control process.
    Policy::CrashUpdate crashes_;
    std::size_t fleetSize_ = 1;
};

/// What a snapshot changed.
struct ViewChange
{
    bool tableChanged_ = false;
    /// The received table was older or invalid; the current one stays.
    bool tableRefused_ = false;
};

/// Applies \a snapshot to \a view. A table of a lower version is always refused, because a
/// restarted control process may hold an older table than this process.
///
/// Thread safety: none.
ViewChange applySnapshot(InstanceView &view, const cassiacrank::Snapshot &snapshot);

/// Returns the candidates for a look-up: all live instances in the local region, each with whether
/// it serves, and the contacts of the other regions. Thread safety: any thread.
std::vector<Policy::EntryCandidate> entryCandidates(const InstanceView &view);

} // namespace Peers
