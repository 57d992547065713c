#pragma once

#include "Liveness.h"

namespace Policy {

/// Up to this many instances each reads the store for itself: a dozen costs 0.015 of a day's worth
/// and has nobody to wait for.
constexpr std::size_t smallFleet = 16;

/// Instances of a region that read the store where the fleet is larger.
///
/// Each call is paid for, and each change wakes every reader: 61 readers made 2,000 to 5,300 calls
/// in a day. Four leave one that is reached where a third of all instances is turned away, in 98 of
/// 100 cases, and the other regions' readers in the rest.
constexpr std::size_t readersInRegion = 4;

/// Which of a region's readers an instance is.
enum class ReaderRank {
    /// Others read the store and tell it.
    None,
    /// It asks again as soon as it has taken in what it was told, and lets no call wait for long.
    First,
    /// One of a small fleet, in which everybody reads.
    Each,
    /// It steps in where the first one is not served: it asks less often, and has most news from
    /// the first one before it does.
    Reserve,
};

/// Tells whether \a own is to read the store, by what it knows of the others.
///
/// Readers are the first few of a region by a rank that is the same on every instance, the failure
/// domains by turns; those that are gone, leave or are turned away by the store are passed over, so
/// that the next in rank takes their place without a message. Where views differ for a moment there
/// is one reader more or less. Thread safety: any thread.
ReaderRank readerRank(const Members &members, const Model::Instance &own, Model::SteadyTime now);

} // namespace Policy
