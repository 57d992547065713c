#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <vector>

namespace Policy {

/// What each part of a route is owed, in requests. Not shared between threads.
struct PartTurns
{
    std::vector<double> owed_;
};

/// Returns the index of the part that takes the next request, so that the counts follow the weights
/// with the least deviation.
///
/// What goes wrong with a random draw: the counts of a few hundred requests scatter by several
/// percent around the weights. Precondition: \a parts has a weight above zero.
/// Thread safety: \a turns belongs to the calling thread.
std::size_t nextPart(PartTurns &turns, const std::vector<Model::RoutePart> &parts);

} // namespace Policy
