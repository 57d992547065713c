#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// Snapshot of an entry's counters for one target.
struct TargetView
{
    std::int64_t slots_ = 1;
    /// Requests of this entry that the target processes.
    std::int64_t ownInFlight_ = 0;
    /// All requests in progress by the target's latest report, and this entry's part of them at
    /// that time.
    std::int64_t reportedInFlight_ = 0;
    std::int64_t ownInFlightAtReport_ = 0;
    Model::Milliseconds reportAge_{0};
    /// Requests that the other entries of the region have in progress here, by their recent
    /// reports.
    std::optional<std::int64_t> peersInFlight_;
    Model::Microseconds latency_{0};
    /// Time since the target began to take work; drives the slow start.
    Model::Milliseconds inUseFor_{0};
    /// The target recently failed or stopped answering and has not answered since.
    bool isSuspect_ = false;
    bool isLeaving_ = false;
    /// The target has named a rate limit, which allows this entry no request now.
    bool isOverLimit_ = false;
    /// The remaining time of a pause that the target has asked this entry for, and the requests
    /// that may be in progress after it.
    Model::Microseconds pauseLeft_{0};
    std::optional<std::int64_t> returnWindow_;
};

/// A report decays within the target's usual latency, clamped to these bounds.
constexpr Model::Milliseconds minReportLifetime{5};
constexpr Model::Milliseconds maxReportLifetime{500};
/// A target's own report takes precedence over peers' reports until it is older than this.
constexpr Model::Milliseconds ownReportPrecedence{5};
/// Duration in which a cold target's share grows from the minimum to the whole.
constexpr Model::Milliseconds slowStartPeriod{3000};
constexpr double minSlowStartShare = 0.25;

/// Returns the estimated number of requests that the target processes: this entry's own, plus those
/// that the region's other entries report. Without peer reports, adds the others' part of the
/// target's latest report, decayed by what has likely finished since. Never below this entry's own.
///
/// Without peer reports, each of four entries receives a target's report with every fourth answer.
/// Under load all of them consider the same slot free, three are refused, and a target that refused
/// once is skipped for a fraction of its latency although requests wait.
///
/// Without the decay, an entry whose last report showed a full target considers it full until the
/// next report, and its requests wait although others' requests have released slots.
///
/// Thread safety: any thread.
std::int64_t likelyInFlight(const TargetView &target);

/// Returns the estimated number of requests that the target processes if the others keep their
/// rate: their part of the latest report counts in full until it is as old as the target's usual
/// latency.
///
/// likelyInFlight() is too low where many slots are added up, because others refill the slots that
/// come free. Every entry would see room below a limit on the region's use, and bulk would fill the
/// slots reserved for small callers. Thread safety: any thread.
std::int64_t steadyInFlight(const TargetView &target);

/// Returns the slots that may be used now: all, or a fraction for a cold target, so that a bulk
/// shift does not hit empty caches. Thread safety: any thread.
std::int64_t usableSlots(const TargetView &target);

/// Returns the index of the target for the next request: the better of two targets with a free
/// slot, drawn by \a firstDraw and \a secondDraw (power of two choices).
///
/// Returns std::nullopt if no target has a free slot; sets no last reason in that case. Thread
/// safety: any thread.
std::optional<std::size_t> chooseTarget(const std::vector<TargetView> &targets,
                                        std::uint64_t firstDraw, std::uint64_t secondDraw);

/// Total slots and in-flight requests of several targets.
struct SlotUse
{
    std::int64_t slots_ = 0;
    std::int64_t inFlight_ = 0;
};

/// Sums the slots of the targets that accept work now, and their in-flight requests by
/// steadyInFlight(). Thread safety: any thread.
SlotUse slotUse(const std::vector<TargetView> &targets);

/// Returns whether one more slot of \a use may be used under \a useLimit, a fraction from 0 to 1.
///
/// Without it, a bulk caller fills every slot of a region, and a small caller's single request
/// waits a whole service time. The few slots that bulk leaves are free at once. Thread safety: any
/// thread.
bool mayFillSlot(const SlotUse &use, double useLimit);

/// State of one service's slots as of the last exchange between the entries of a region.
struct PoolUsage
{
    std::int64_t slots_ = 0;
    std::int64_t ownInFlight_ = 0;
    std::int64_t peersInFlight_ = 0;
    /// Number of entries with waiting requests, including this one.
    std::int64_t waitingEntries_ = 1;
    /// Drawn anew for each exchange, from 0 to below 1.
    double dither_ = 0;
};

/// As mayFillSlot(), for an entry that shares the slots with others: returns whether an entry with
/// \a ownInFlight requests in progress may start one more of a class under \a useLimit.
///
/// Without it, slots come free in a burst, each of four entries sees the same room and fills it,
/// bulk takes four times the room, and small callers wait until the burst ends. Here each entry
/// takes an equal part of the room at the last exchange, and refills the slots that it releases
/// itself. If bulk is above the limit, each entry gives up its part of the excess. The dither
/// distributes rooms smaller than the number of entries. Thread safety: any thread.
bool mayFillShared(const PoolUsage &notes, std::int64_t ownInFlight, double useLimit);

/// Returns whether any target is neither leaving nor suspect, and does not pause for longer than
/// \a longestWait, and so could take work.
///
/// Thread safety: any thread.
bool anyUsable(const std::vector<TargetView> &targets, Model::Microseconds longestWait);

} // namespace Policy
