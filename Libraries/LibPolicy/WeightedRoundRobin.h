#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <vector>

namespace Policy {

/// Smooth weighted round robin over the splits of a route: the number of requests that each split
/// is owed. Not shared between threads.
struct WeightedRoundRobin
{
    std::vector<double> owed_;
};

/// Returns the index of the weighted split that takes the next request, so that the counts follow
/// the weights with the least deviation.
///
/// With a random draw, the counts of a few hundred requests would deviate by several percent from
/// the weights. Precondition: \a parts has a weight above zero. Thread safety: \a turns belongs to
/// the calling thread.
std::size_t nextWeightedSplit(WeightedRoundRobin &turns,
                              const std::vector<Model::WeightedSplit> &parts);

} // namespace Policy
