#pragma once

#include "Liveness.h"

namespace Policy {

/// Up to this many instances each reads the store for itself and has nobody to wait for.
constexpr std::size_t smallFleet = 16;

/// Instances of a region that read the store where the fleet is larger.
///
/// Each call is paid for, and each change wakes every reader. Of four, one is all but surely served
/// where the store turns a third of all instances away; else there are the other regions' readers.
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
