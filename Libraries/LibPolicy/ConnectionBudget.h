#pragma once

#include <cstddef>

namespace Policy {

/// Share of a target's connections that pools may use; the rest is reserved for probes and
/// operators.
constexpr double pooledConnectionShare = 0.9;

/// Returns how many connections one thread of one entry may hold to a target; at least one.
///
/// \a entriesInRegion is the number of known entries. Each counts twice, because an instance and
/// its replacement both hold connections during a replacement. Without that, replacing all entries
/// at once opens a full pool for each, and the target refuses connections from all of them. Thread
/// safety: any thread.
std::size_t connectionsForThread(int targetConnections, std::size_t entriesInRegion,
                                 std::size_t threadsInEntry);

} // namespace Policy
