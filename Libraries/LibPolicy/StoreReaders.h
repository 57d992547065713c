#pragma once

#include "Liveness.h"

namespace Policy {

/// In a fleet of up to this many instances, each reads the store itself.
constexpr std::size_t maxSmallFleetSize = 16;

/// The number of store readers per region in a larger fleet.
///
/// Each call is billed, and each change wakes every reader. Of four, one is almost certainly served
/// when the store refuses a third of all instances; if none is, the other regions' readers are
/// left.
constexpr std::size_t readersInRegion = 4;

/// The role of an instance in reading the store for its region.
enum class ReaderRank {
    /// Other instances read the store and update it.
    None,
    /// The active reader: it calls again as soon as it has applied an answer, and limits how long a
    /// call waits.
    Active,
    /// One of a small fleet, in which each instance reads.
    Each,
    /// The standby reader, for when the active one is not served: it calls less often, and receives
    /// most changes from the active one before.
    Standby,
};

/// Returns the role of \a own in reading the store, by the members that it knows.
///
/// The readers of a region are the first few by a rank that is the same on every instance,
/// alternating between the failure domains. Instances that failed, are leaving or are refused by
/// the store are skipped, so that the next in rank takes over without a message. While views
/// differ, there is one reader more or less. Thread safety: any thread.
ReaderRank readerRank(const Members &members, const Model::Instance &own, Model::SteadyTime now);

} // namespace Policy
