#pragma once

#include "Codec.h"

#include <memory>

namespace Peers {

/// What entryd and lookupd know through the control process of their instance.
struct InstanceView
{
    std::shared_ptr<const Model::Table> table_;
    std::shared_ptr<const Model::ClientBlocks> blocks_;
    bool isReady_ = false;
    bool isLeaving_ = false;
    /// As in InstanceRecord, of the own instance.
    bool isStarting_ = false;
    /// Live instances of the own region, the own one included.
    std::vector<InstanceRecord> members_;
    /// Fresh summaries of all regions.
    std::vector<RegionSummary> summaries_;
    Policy::LeavingMarks marks_;
    /// What the control process last told of ended targets and quarantines.
    Policy::CrashNews crashes_;
    std::size_t fleetSize_ = 1;
};

/// What a snapshot changed.
struct ViewChange
{
    bool tableChanged_ = false;
    /// The offered table was older or invalid; the one held stays.
    bool tableRefused_ = false;
};

/// Takes \a snapshot into \a view. A table of a lower version is refused, whoever offers it: a
/// control process that restarted may know less than this process does.
///
/// Thread safety: none.
ViewChange takeIn(InstanceView &view, const cassiacrank::Snapshot &snapshot);

/// Returns how each instance's state stands for a look-up: live, ready and staying ones of the own
/// region and the contacts of the others. Thread safety: any thread.
std::vector<Policy::EntryCandidate> entryCandidates(const InstanceView &view);

} // namespace Peers
