#pragma once

#include <cstddef>

namespace Policy {

/// The part of a target's connections that pools may fill; the rest is for probes and operators.
constexpr double pooledConnectionShare = 0.9;

/// Returns how many connections one thread of one entry may hold to a target.
///
/// \a entriesInRegion counts every entry that may be there at once: while an instance is replaced,
/// the old and its replacement both hold connections, so each known entry counts twice. What goes
/// wrong without it: all entries are replaced at once, each opens a full pool, and the target
/// refuses connections of all. At least one connection is granted. Thread safety: any thread.
std::size_t connectionsForThread(int targetConnections, std::size_t entriesInRegion,
                                 std::size_t threadsInEntry);

} // namespace Policy
