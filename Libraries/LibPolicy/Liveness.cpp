#include "Liveness.h"

#include <algorithm>

namespace Policy {

bool hearOf(Members &members, const Member &said, Model::SteadyTime now)
{
    Member &known = members[said.instance_.id_];
    const bool isNew = known.instance_.id_.isEmpty();
    const bool isLater = said.incarnation_ > known.incarnation_;
    const bool isRise
        = said.incarnation_ == known.incarnation_ && said.heartbeat_ > known.heartbeat_;
    if (!isNew && !isLater && !isRise && !known.isHearsay_)
        return false;
    if (!isNew && known.isHearsay_ && said.isHearsay_)
        return false;
    known = said;
    known.heardAt_ = now;
    return true;
}

bool isAlive(const Member &member, Model::SteadyTime now)
{
    return !member.isHearsay_ && now - member.heardAt_ <= aliveFor;
}

void forgetSilent(Members &members, const Model::InstanceId &own, Model::SteadyTime now)
{
    std::erase_if(members, [&](const auto &entry) {
        return entry.first != own && now - entry.second.heardAt_ > rememberedFor;
    });
}

std::size_t entriesIn(const Members &members, const Model::RegionId &region, Model::SteadyTime now)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const auto &entry) {
            const Member &member = entry.second;
            return !member.isHearsay_ && now - member.heardAt_ <= rememberedFor
                   && member.instance_.region_ == region;
        }));
}

} // namespace Policy
