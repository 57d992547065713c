#pragma once

#include <vector>

namespace Harness {

/// Returns the waiting times, in the unit of the arguments, that requests arriving at \a arrivals
/// would have in a single queue before \a slots slots with a fixed \a serviceTime: the best that
/// any sharing of the slots can reach.
std::vector<double> singleQueueWaits(std::vector<double> arrivals, int slots, double serviceTime);

/// Returns the value that a part of \a values stays at or below.
double quantile(std::vector<double> values, double part);

} // namespace Harness
