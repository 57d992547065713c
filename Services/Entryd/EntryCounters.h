#pragma once

#include <LibObserve/LibObserve.h>

#include <atomic>
#include <cstdint>
#include <map>

namespace Entryd {

/// The counters of one thread; the metrics carry one series per thread.
///
/// Thread safety: the atomics are written by one thread and read by any; the summaries belong to
/// the writing thread.
struct EntryCounters
{
    std::atomic<std::uint64_t> requests_{0};
    std::atomic<std::uint64_t> run_{0};
    std::atomic<std::uint64_t> notRun_{0};
    std::atomic<std::uint64_t> unknown_{0};
    std::atomic<std::uint64_t> retries_{0};
    std::atomic<std::uint64_t> refusedByTargets_{0};
    std::atomic<std::uint64_t> forwardedRequests_{0};
    std::atomic<std::uint64_t> receivedForwarded_{0};
    std::atomic<std::uint64_t> foreignAnswers_{0};
    /// Attempts withdrawn because the target was leaving before the first or the last byte was
    /// sent.
    std::atomic<std::uint64_t> withdrawn_{0};
    Observe::DurationSummary latency_;
    Observe::DurationSummary waiting_;
    /// Time from a request's arrival until its refusal is ready.
    Observe::DurationSummary refusing_;
    /// How late a timer of the thread fires: the delay before this thread handles an arriving
    /// event.
    Observe::DurationSummary loopLag_;
};

} // namespace Entryd
