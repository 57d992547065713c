#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Policy {

/// Entries of other regions whose connections were lost lately. Not shared between threads.
struct EntryFailures
{
    std::map<Model::Address, Model::SteadyTime> notBefore_;
};

/// An entry that was lost is tried again by one request after this long.
constexpr Model::Milliseconds lostEntryPause{1000};

/// Notes that the entry at \a address was lost, or that it answered.
/// Thread safety: \a failures belongs to the calling thread.
void noteEntryLost(EntryFailures &failures, const Model::Address &address, Model::SteadyTime now);
void noteEntryAnswered(EntryFailures &failures, const Model::Address &address);

/// Returns which of \a entries takes a request that is handed over to their region, or nothing if
/// all of them were lost lately.
///
/// What goes wrong without it: until a region's last word is too old to be believed, each request
/// for it is sent to a dead entry, may have arrived there, and ends as unknown. Not sent, it is
/// truly not run, and the caller may ask again. An entry that was lost and is due to be tried again
/// is chosen once in each pause, when no other one is left.
/// Thread safety: \a failures belongs to the calling thread.
std::optional<std::size_t> chooseEntry(EntryFailures &failures,
                                       const std::vector<Model::Instance> &entries,
                                       std::uint64_t draw, Model::SteadyTime now);

} // namespace Policy
