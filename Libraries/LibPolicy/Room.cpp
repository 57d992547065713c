#include "Room.h"

#include <algorithm>

namespace Policy {

bool mayStart(const RegionSlots &region, std::size_t inProgress)
{
    if (region.slots_ <= 0)
        return true;
    const auto instances = static_cast<double>(std::max<std::size_t>(1, region.instances_));
    const double room = std::max(1.0, region.slots_ / instances);
    if (static_cast<double>(inProgress) < room)
        return true;
    return region.slots_ - region.taken_ > region.slots_ * freePartToBorrow;
}

} // namespace Policy
