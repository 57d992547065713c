#include "ConnectionBudget.h"

#include <algorithm>

namespace Policy {

namespace {

constexpr std::size_t replacementFactor = 2;

} // namespace

std::size_t connectionsForThread(int targetConnections, std::size_t entriesInRegion,
                                 std::size_t threadsInEntry)
{
    const std::size_t holders = std::max<std::size_t>(1, entriesInRegion) * replacementFactor
                                * std::max<std::size_t>(1, threadsInEntry);
    const auto pooled = static_cast<std::size_t>(targetConnections * pooledConnectionShare);
    return std::max<std::size_t>(1, pooled / holders);
}

} // namespace Policy
