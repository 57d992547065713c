#pragma once

#include <LibObserve/LibObserve.h>

#include <atomic>
#include <cstdint>
#include <map>

namespace Entryd {

/// What one thread counted; the readout adds the threads up.
///
/// Thread safety: the atomics are written by one thread and read by any; the summary belongs to the
/// writing thread.
struct EntryCounters
{
    std::atomic<std::uint64_t> requests_{0};
    std::atomic<std::uint64_t> run_{0};
    std::atomic<std::uint64_t> notRun_{0};
    std::atomic<std::uint64_t> unknown_{0};
    std::atomic<std::uint64_t> retries_{0};
    std::atomic<std::uint64_t> refusedByTargets_{0};
    std::atomic<std::uint64_t> handedOver_{0};
    std::atomic<std::uint64_t> takenOver_{0};
    std::atomic<std::uint64_t> foreignAnswers_{0};
    /// Attempts whose target was known to leave before the first byte was sent, or the last.
    std::atomic<std::uint64_t> withdrawn_{0};
    Observe::DurationSummary latency_;
    Observe::DurationSummary waiting_;
    /// From a request's arrival to the moment at which its refusal is ready.
    Observe::DurationSummary refusing_;
    /// How much later than asked a pause of the thread ended: how long whatever arrives has to wait
    /// before this thread looks at it.
    Observe::DurationSummary loopLag_;
};

} // namespace Entryd
