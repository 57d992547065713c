#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Policy {

/// Remote entries whose connections were lost recently. Not shared between threads.
struct EntryFailures
{
    std::map<Model::Address, Model::SteadyTime> notBefore_;
};

/// A lost entry is probed with one request after this delay.
constexpr Model::Milliseconds lostEntryProbeInterval{1000};

/// Records that the entry at \a address was lost, or that it answered.
/// Thread safety: \a failures belongs to the calling thread.
void noteEntryLost(EntryFailures &failures, const Model::Address &address, Model::SteadyTime now);
void noteEntryAnswered(EntryFailures &failures, const Model::Address &address);

/// Returns which of \a entries receives a request that is forwarded to their region, or
/// std::nullopt if all of them were lost recently.
///
/// Without this, each request for a region is sent to a failed entry until the region's last report
/// expires; it may have arrived there, and its outcome is unknown. A request that is not sent is
/// certainly not run, so the caller may retry it. A lost entry that is due for a probe is chosen
/// once per lostEntryProbeInterval, when no other entry is left.
/// Thread safety: \a failures belongs to the calling thread.
std::optional<std::size_t> chooseEntry(EntryFailures &failures,
                                       const std::vector<Model::Instance> &entries,
                                       std::uint64_t draw, Model::SteadyTime now);

} // namespace Policy
