#pragma once

#include <cstddef>

namespace Policy {

/// The slots of one service in an instance's region, as its targets report them.
struct RegionSlots
{
    double slots_ = 0;
    double taken_ = 0;
    /// Live instances of the region; they share the slots equally.
    std::size_t instances_ = 1;
};

/// While more than this part of the slots is free, no instance is short of room, and each may use
/// what others leave. A smaller rest is that of slots between two requests.
constexpr double freePartToBorrow = 0.03;

/// Returns whether an instance with \a inProgress requests at the targets may start another one
/// there.
///
/// Without it, the slot that comes free goes to the instance whose request has ended as long as
/// requests wait there. An instance that holds few slots keeps few, and the workspaces whose
/// requests wait there do not get their share. If no slots are known, the instance may. Thread
/// safety: any thread.
bool mayStart(const RegionSlots &region, std::size_t inProgress);

} // namespace Policy
