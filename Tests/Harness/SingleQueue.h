#pragma once

#include <vector>

namespace Harness {

/// Returns the waiting times, in the unit of the arguments, of requests that arrive at \a arrivals
/// in a single queue for \a slots slots with a fixed \a serviceTime. This is the lower bound for
/// any distribution of the requests over the slots.
std::vector<double> singleQueueWaits(std::vector<double> arrivals, int slots, double serviceTime);

/// Returns the value that \a fraction of \a values does not exceed.
double quantile(std::vector<double> values, double fraction);

} // namespace Harness
