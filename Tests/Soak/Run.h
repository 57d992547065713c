#pragma once

#include "Plan.h"
#include "Promises.h"

namespace Soak {

/// The result of one seed.
struct RunResult
{
    std::vector<std::string> broken_;
    JudgedCounts judged_{};
    std::size_t requests_ = 0;
    double servedAtEnd_ = 0;
    /// Directory of the processes' logs.
    std::string directory_;
};

/// Injects the faults of \a seed into real processes and checks the promises meanwhile; stops at
/// the first violation. Takes size.length_ and a few seconds.
RunResult run(std::uint64_t seed, const PlanSize &size);

} // namespace Soak
