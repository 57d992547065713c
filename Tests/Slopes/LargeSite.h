#pragma once

#include <LibModel/LibModel.h>
#include <LibPeers/LibPeers.h>

#include <random>
#include <string>
#include <vector>

namespace Slopes {

/// The sizes of a fleet, as the letter counts them.
struct FleetSize
{
    int regions_ = 3;
    int domains_ = 6;
    int services_ = 2;
    int sites_ = 42;
};

/// Today's size, one between, and the one to design for.
constexpr FleetSize today{3, 6, 2, 42};
constexpr FleetSize between{8, 20, 6, 240};
constexpr FleetSize planned{15, 46, 20, 880};

/// Returns the rows of a table of that size: a site is a target. Thread safety: any thread.
std::vector<Model::Row> rowsOf(const FleetSize &size);

/// Returns a mirror whose rows are all of version 1. Thread safety: any thread.
Platform::TableMirror mirrorOf(const FleetSize &size);

/// Returns \a mirror with \a count rows changed in version 2. Thread safety: any thread.
Platform::TableMirror changed(Platform::TableMirror mirror, int count);

/// Returns the text of \a count blocks of 2048 numbers. Thread safety: any thread.
std::string blocksText(int count, const FleetSize &size);

/// Returns the number of a random host inside blocksText(). Thread safety: one thread at a time.
std::string randomHost(std::mt19937 &random, int blocks);

/// Returns what an instance knows that has \a members others in its region and a summary of each
/// region. Thread safety: any thread.
Peers::GossipState stateOf(const FleetSize &size, int members);

/// Returns the bytes that the process has allocated. Thread safety: any thread.
double allocatedBytes();

} // namespace Slopes
