#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// What an entry knows of one target at this moment, copied out of the shared counters.
struct TargetView
{
    std::int64_t slots_ = 1;
    /// Requests of this entry that the target is working on.
    std::int64_t ownInFlight_ = 0;
    /// All requests in progress by the target's latest answer, and this entry's part in it then.
    std::int64_t reportedInFlight_ = 0;
    std::int64_t ownInFlightAtReport_ = 0;
    Model::Milliseconds reportAge_{0};
    /// What the other entries of the region said a moment ago that they have in progress here.
    std::optional<std::int64_t> peersInFlight_;
    Model::Microseconds latency_{0};
    /// How long the target has been taking work; new ones get little at first.
    Model::Milliseconds inUseFor_{0};
    /// It failed or fell silent just now and has not answered since.
    bool isSuspect_ = false;
    bool isLeaving_ = false;
};

/// A report fades within the usual latency of the target, but within these bounds.
constexpr Model::Milliseconds shortestReportLife{5};
constexpr Model::Milliseconds longestReportLife{500};
/// What peers say is believed unless the target itself said otherwise within this time.
constexpr Model::Milliseconds freshReport{5};
/// The time in which a cold target's share grows from the least to the whole.
constexpr Model::Milliseconds slowStartPeriod{3000};
constexpr double slowStartLeastShare = 0.25;

/// Returns the requests that the target is likely working on, by own observation first: never below
/// this entry's own; then what the region's other entries say; without that, of the others' part in
/// the latest report what has likely not finished since.
///
/// What goes wrong without the peers' word: each of four entries hears a target at every fourth
/// answer. Under load all of them believe the same slot free, three are refused, and a target that
/// refused once is passed over for a part of its latency, beside waiting requests.
///
/// What goes wrong without the fading: an entry that last heard of a full target believes so until
/// it hears again, and its requests wait beside slots that others' requests gave back.
///
/// Thread safety: any thread.
std::int64_t likelyInFlight(const TargetView &target);

/// Returns the requests that the target is likely working on if the others go on as they did: their
/// part in the latest report counts whole until it is as old as the target's usual latency.
///
/// What goes wrong with likelyInFlight() instead, where many slots are added up: others refill the
/// slots that come free, so their faded part is too low, every entry believes that the
/// region has room below a limit on its use, and bulk fills the slots that it must leave to small
/// callers. Thread safety: any thread.
std::int64_t steadyInFlight(const TargetView &target);

/// Returns the slots that may be filled now: all, or for a target that is still cold a part, so
/// that a bulk shift does not land on empty caches. Thread safety: any thread.
std::int64_t usableSlots(const TargetView &target);

/// Returns the index of the target that should get the next request: the better of two that are
/// drawn by \a firstDraw and \a secondDraw from those with a free slot.
///
/// Returns nothing if no target has a free slot; there is no last reason then.
/// Thread safety: any thread.
std::optional<std::size_t> chooseTarget(const std::vector<TargetView> &targets,
                                        std::uint64_t firstDraw, std::uint64_t secondDraw);

/// Slots of several targets together.
struct SlotUse
{
    std::int64_t slots_ = 0;
    std::int64_t inFlight_ = 0;
};

/// Adds up the slots of the targets that take work, and by steadyInFlight() what fills them.
/// Thread safety: any thread.
SlotUse slotUse(const std::vector<TargetView> &targets);

/// Tells whether one more slot of \a use may be filled under \a useLimit, a part from 0 to 1.
///
/// What goes wrong without it: a bulk caller fills every slot of a region, and a small caller's
/// single request waits a whole service time. The few slots that bulk leaves are free at once.
/// Thread safety: any thread.
bool mayFillSlot(const SlotUse &use, double useLimit);

/// What the entries of a region told each other of one service when they last exchanged notes.
struct PoolNotes
{
    std::int64_t slots_ = 0;
    std::int64_t ownInFlight_ = 0;
    std::int64_t peersInFlight_ = 0;
    /// Entries with waiting requests, this one included.
    std::int64_t waitingEntries_ = 1;
    /// Drawn anew for each exchange, from 0 to below 1.
    double dither_ = 0;
};

/// As mayFillSlot(), for an entry that shares the slots with others: now that it has \a ownInFlight
/// requests in progress, may it start one more of a class under \a useLimit?
///
/// What goes wrong without it: slots come free in a burst, each of four entries sees the same room
/// and fills it, bulk is at four times the room, and small callers wait until the burst is over.
/// Here each entry takes an equal part of the room that the last notes showed, and refills what it
/// gives back itself; where bulk is above the limit, each gives up its part of the excess. The
/// dither shares out rooms smaller than the number of entries. Thread safety: any thread.
bool mayFillShared(const PoolNotes &notes, std::int64_t ownInFlight, double useLimit);

/// Tells whether any target could take work at some time (none is leaving or suspect).
///
/// Thread safety: any thread.
bool anyUsable(const std::vector<TargetView> &targets);

} // namespace Policy
