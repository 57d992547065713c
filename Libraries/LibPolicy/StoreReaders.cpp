#include "StoreReaders.h"

#include "HomePlacement.h"

#include <algorithm>
#include <set>

namespace Policy {

namespace {

struct Ranked
{
    std::uint64_t rank_ = 0;
    const Member *member_ = nullptr;
};

bool isEligibleReader(const Member &member, const Model::Instance &own, Model::SteadyTime now)
{
    const bool isOwn = member.instance_.id_ == own.id_;
    const bool isAvailable = isOwn || (isAlive(member, now) && !member.heartbeatRecord_.isLeaving_);
    return isAvailable && member.instance_.region_ == own.region_
           && member.heartbeatRecord_.store_ != StoreContact::Refused;
}

/// Returns all eligible readers: the first of each failure domain, then the second, and so on.
std::vector<const Member *> readersInOrder(const Members &members, const Model::Instance &own,
                                           Model::SteadyTime now)
{
    std::map<Model::FailureDomainId, std::vector<Ranked>> byDomain;
    std::size_t count = 0;
    for (const auto &[id, member] : members) {
        if (!isEligibleReader(member, own, now))
            continue;
        byDomain[member.instance_.domain_].push_back({seedOf(id.value()), &member});
        ++count;
    }
    for (auto &[domain, ranked] : byDomain) {
        std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
            return a.rank_ < b.rank_;
        });
    }
    std::vector<const Member *> order;
    for (std::size_t turn = 0; order.size() < count; ++turn) {
        for (const auto &[domain, ranked] : byDomain) {
            if (turn < ranked.size())
                order.push_back(ranked[turn].member_);
        }
    }
    return order;
}

std::size_t fleetSize(const Members &members, Model::SteadyTime now)
{
    std::set<Model::RegionId> regions;
    for (const auto &[id, member] : members)
        regions.insert(member.instance_.region_);
    std::size_t size = 0;
    for (const auto &region : regions)
        size += entriesIn(members, region, now);
    return size;
}

} // namespace

ReaderRank readerRank(const Members &members, const Model::Instance &own, Model::SteadyTime now)
{
    const bool isSmall = fleetSize(members, now) <= maxSmallFleetSize;
    const auto order = readersInOrder(members, own, now);
    // If the store refuses all instances, all of them keep trying.
    if (order.empty() || order.front()->instance_.id_ == own.id_)
        return ReaderRank::Active;
    if (isSmall)
        return ReaderRank::Each;
    for (std::size_t i = 1; i < std::min(readersInRegion, order.size()); ++i) {
        if (order[i]->instance_.id_ == own.id_)
            return ReaderRank::Standby;
    }
    return ReaderRank::None;
}

} // namespace Policy
