#pragma once

#include <LibModel/LibModel.h>
#include <LibPeers/LibPeers.h>

#include <random>
#include <string>
#include <vector>

namespace Slopes {

/// The size of a fleet; a site is a target.
struct FleetSize
{
    int regions_ = 3;
    int domains_ = 6;
    int services_ = 2;
    int sites_ = 42;
};

/// The current size, an intermediate one, and the design size.
constexpr FleetSize today{3, 6, 2, 42};
constexpr FleetSize between{8, 20, 6, 240};
constexpr FleetSize planned{15, 46, 20, 880};

/// Returns the rows of a table of \a size, with one target per site. Thread safety: any thread.
std::vector<Model::Row> rowsOf(const FleetSize &size);

/// Returns a table replica whose rows all have version 1. Thread safety: any thread.
Platform::TableMirror replicaOf(const FleetSize &size);

/// Returns \a replica with \a count rows changed in version 2. Thread safety: any thread.
Platform::TableMirror changed(Platform::TableMirror replica, int count);

/// Returns the text of \a count blocks of 2048 addresses. Thread safety: any thread.
std::string blocksText(int count, const FleetSize &size);

/// Returns the address of a random host inside blocksText(). Thread safety: one thread at a time.
std::string randomHost(std::mt19937 &random, int blocks);

/// Returns the gossip state of an instance with \a members peers in the local region and a summary
/// of each region. Thread safety: any thread.
Peers::GossipState stateOf(const FleetSize &size, int members);

/// Returns the bytes allocated by the process. Thread safety: any thread.
double allocatedBytes();

} // namespace Slopes
