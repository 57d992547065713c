#pragma once

#include "Plan.h"
#include "Promises.h"

namespace Soak {

/// What became of one seed.
struct RunResult
{
    std::vector<std::string> broken_;
    JudgedCounts judged_{};
    std::size_t requests_ = 0;
    double servedAtEnd_ = 0;
    /// Where the processes' logs are.
    std::string directory_;
};

/// Plays the faults of \a seed against real processes and checks the promises meanwhile; stops at
/// the first that is broken. Takes size.length_ and a few seconds.
RunResult run(std::uint64_t seed, const PlanSize &size);

} // namespace Soak
