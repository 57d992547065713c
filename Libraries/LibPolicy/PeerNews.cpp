#include "PeerNews.h"

#include "HomePlacement.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <set>
#include <unordered_map>

namespace Policy {

namespace {

using Random = std::minstd_rand;
using Chosen = std::vector<const Member *>;

Random randomFrom(std::uint64_t seed)
{
    return Random(static_cast<Random::result_type>(seed ^ (seed >> 32U)));
}

Chosen sampled(const Chosen &from, std::size_t count, Random &random)
{
    Chosen result;
    std::sample(from.begin(), from.end(), std::back_inserter(result), count, random);
    return result;
}

/// Returns the live members for which \a isWanted holds, without \a own.
template <typename Wanted>
Chosen aliveWhere(const Members &members, const Model::Instance &own, Model::SteadyTime now,
                  Wanted isWanted)
{
    Chosen result;
    for (const auto &[id, member] : members) {
        if (id != own.id_ && isAlive(member, now) && isWanted(member))
            result.push_back(&member);
    }
    return result;
}

Chosen aliveIn(const Members &members, const Model::Instance &own, const Model::RegionId &region,
               Model::SteadyTime now)
{
    return aliveWhere(members, own, now, [&](const Member &member) {
        return member.instance_.region_ == region;
    });
}

Chosen aliveElsewhere(const Members &members, const Model::Instance &own, Model::SteadyTime now)
{
    return aliveWhere(members, own, now, [&](const Member &member) {
        return member.instance_.region_ != own.region_;
    });
}

/// Returns the members that are considered failed, of the local region and of regions without a
/// live member.
Chosen lostMembers(const Members &members, const Model::Instance &own, const Chosen &far,
                   Model::SteadyTime now)
{
    std::set<Model::RegionId> reached;
    for (const Member *member : far)
        reached.insert(member->instance_.region_);
    Chosen lost;
    for (const auto &[id, member] : members) {
        const auto &region = member.instance_.region_;
        if (id != own.id_ && !isAlive(member, now) && !reached.contains(region))
            lost.push_back(&member);
    }
    return lost;
}

/// The order in which the instances of a region are chosen as its contacts.
bool ranksBefore(const Member *a, const Member *b)
{
    return seedOf(a->instance_.id_.value()) < seedOf(b->instance_.id_.value());
}

/// Returns how many members of each region the other regions know.
std::size_t contactsOfEach(const Members &members)
{
    std::set<Model::RegionId> regions;
    for (const auto &[id, member] : members)
        regions.insert(member.instance_.region_);
    const std::size_t others = std::max<std::size_t>(1, regions.size() - 1);
    return std::clamp(mostContacts / others, fewestContactsOfRegion, contactsOfRegion);
}

/// Returns the contacts among the \a members of a region: the same ones on every instance.
Chosen contactsAmong(Chosen members, std::size_t count)
{
    if (members.size() <= count)
        return members;
    std::sort(members.begin(), members.end(), ranksBefore);
    members.resize(count);
    return members;
}

void append(Chosen &to, const Chosen &more)
{
    to.insert(to.end(), more.begin(), more.end());
}

std::vector<Model::Instance> instancesOf(const Chosen &members)
{
    std::vector<Model::Instance> instances;
    instances.reserve(members.size());
    for (const Member *member : members)
        instances.push_back(member->instance_);
    return instances;
}

/// Collects the records that are newer than the asker's.
class NewsWriter
{
public:
    NewsWriter(const std::vector<MemberPulse> &known, const Model::Instance &asker,
               Model::SteadyTime now)
        : asker_(asker)
        , now_(now)
    {
        for (const auto &pulse : known)
            known_.emplace(pulse.id_, &pulse);
    }

    /// Adds the record of \a member, if it is newer: the full record, if the asker does not know
    /// this incarnation and \a wholeLeft is above zero, else the heartbeat record.
    void tell(const Member &member, std::size_t &wholeLeft)
    {
        if (member.instance_.id_ == asker_.id_)
            return;
        const auto found = known_.find(member.instance_.id_);
        const bool isKnownRun
            = found != known_.end() && found->second->incarnation_ == member.pulse_.incarnation_;
        if (isKnownRun && found->second->heartbeat_ >= member.pulse_.heartbeat_)
            return;
        if (!isKnownRun && wholeLeft > 0) {
            --wholeLeft;
            Member told = member;
            told.pulse_ = pulseAt(member, now_);
            news_.whole_.push_back(std::move(told));
        } else {
            news_.pulses_.push_back(pulseAt(member, now_));
        }
    }

    PeerNews take() { return std::move(news_); }

private:
    const Model::Instance &asker_;
    Model::SteadyTime now_;
    std::unordered_map<Model::InstanceId, const MemberPulse *> known_;
    PeerNews news_;
};

} // namespace

void forgetStrangers(Members &members, Model::SteadyTime now)
{
    std::map<Model::RegionId, Chosen> farByRegion;
    for (const auto &[id, member] : members) {
        if (member.isFar_)
            farByRegion[member.instance_.region_].push_back(&member);
    }
    const std::size_t wanted = contactsOfEach(members);
    std::vector<Model::InstanceId> strangers;
    for (auto &[region, far] : farByRegion) {
        if (far.size() <= wanted)
            continue;
        std::sort(far.begin(), far.end(), ranksBefore);
        std::size_t alive = 0;
        for (const Member *member : far) {
            if (alive == wanted)
                strangers.push_back(member->instance_.id_);
            alive += alive < wanted && isAlive(*member, now) ? 1 : 0;
        }
    }
    for (const auto &id : strangers)
        members.erase(id);
}

std::vector<Model::Instance> peersOfRound(const Members &members, const Model::Instance &own,
                                          Model::SteadyTime now, std::uint64_t random)
{
    Random generator = randomFrom(random);
    const auto inOwnDomain = [&](const Member *member) {
        return member->instance_.domain_ == own.domain_;
    };
    Chosen near = aliveIn(members, own, own.region_, now);
    const auto beyond = std::partition(near.begin(), near.end(), inOwnDomain);
    const Chosen sameDomain(near.begin(), beyond);
    const Chosen otherDomains(beyond, near.end());
    const Chosen far = aliveElsewhere(members, own, now);
    const Chosen lost = lostMembers(members, own, far, now);
    Chosen lostNear;
    std::copy_if(lost.begin(), lost.end(), std::back_inserter(lostNear), [](const Member *member) {
        return !member->isFar_;
    });
    std::uniform_real_distribution<double> chance(0, 1);
    const std::size_t crossing = chance(generator) < crossingChance ? 1 : 0;
    Chosen chosen = sampled(sameDomain, nearPeersInRound - crossing, generator);
    // An instance that is alone in its region, or has just started, contacts any known peers, local
    // ones first.
    for (const Chosen *others :
         std::initializer_list<const Chosen *>{&otherDomains, &lostNear, &far, &lost}) {
        if (chosen.size() < nearPeersInRound)
            append(chosen, sampled(*others, nearPeersInRound - chosen.size(), generator));
    }
    const double farChance
        = std::max(farPartOfRegion, farPeersOfRegionInRound / static_cast<double>(near.size() + 1));
    if (chance(generator) < farChance)
        append(chosen, sampled(far, 1, generator));
    if (random % roundsBetweenLost == 0)
        append(chosen, sampled(lost, 1, generator));
    return instancesOf(chosen);
}

std::vector<Model::Instance> peersToTellAtOnce(const Members &members, const Model::Instance &own,
                                               Model::SteadyTime now, std::uint64_t random)
{
    Random generator = randomFrom(random);
    std::map<Model::FailureDomainId, Chosen> byDomain;
    for (const Member *member : aliveIn(members, own, own.region_, now)) {
        if (member->pulse_.store_ == StoreContact::NotAsked)
            byDomain[member->instance_.domain_].push_back(member);
    }
    Chosen sameDomain;
    const auto ownPlace = byDomain.find(own.domain_);
    if (ownPlace != byDomain.end()) {
        sameDomain = std::move(ownPlace->second);
        byDomain.erase(ownPlace);
    }
    const auto self = members.find(own.id_);
    const bool isReader
        = self != members.end() && self->second.pulse_.store_ != StoreContact::NotAsked;
    Chosen chosen;
    Chosen beyond;
    for (const auto &[domain, others] : byDomain) {
        if (isReader)
            append(chosen, sampled(others, 1, generator));
        append(beyond, others);
    }
    const std::size_t wanted = std::max(peersToldAtOnce, chosen.size() + 1);
    append(chosen, sampled(sameDomain, wanted - chosen.size(), generator));
    if (chosen.size() < wanted && !isReader)
        append(chosen, sampled(beyond, wanted - chosen.size(), generator));
    return instancesOf(chosen);
}

const Member *nearestThat(const Members &members, const Model::Instance &own,
                          const std::function<bool(const Member &)> &knowsMore,
                          Model::SteadyTime now, std::uint64_t random)
{
    Chosen sameDomain;
    Chosen near;
    Chosen far;
    for (const Member *member : aliveWhere(members, own, now, knowsMore)) {
        const bool isInDomain = member->instance_.domain_ == own.domain_;
        Chosen &place = isInDomain ? sameDomain : (member->isFar_ ? far : near);
        place.push_back(member);
    }
    for (const Chosen *from : std::initializer_list<const Chosen *>{&sameDomain, &near, &far}) {
        if (!from->empty())
            return (*from)[random % from->size()];
    }
    return nullptr;
}

std::vector<MemberPulse> pulsesToAskWith(const Members &members, const Model::Instance &own,
                                         const Model::RegionId &peerRegion, Model::SteadyTime now,
                                         std::uint64_t random)
{
    Random generator = randomFrom(random);
    Chosen told = aliveIn(members, own, own.region_, now);
    const bool isNear = peerRegion == own.region_;
    if (isNear) {
        told = sampled(told, mostNearTold, generator);
    } else {
        const std::size_t contacts = contactsOfEach(members);
        told = contactsAmong(std::move(told), contacts);
        append(told, contactsAmong(aliveIn(members, own, peerRegion, now), contacts));
    }
    const Chosen others = aliveWhere(members, own, now, [&](const Member &member) {
        const auto &region = member.instance_.region_;
        return region != own.region_ && region != peerRegion;
    });
    append(told, others);
    std::vector<MemberPulse> pulses;
    pulses.reserve(told.size());
    for (const Member *member : told)
        pulses.push_back(pulseAt(*member, now));
    return pulses;
}

PeerNews newsFor(const Members &members, const Model::Instance &own, const Model::Instance &asker,
                 const std::vector<MemberPulse> &known, Model::SteadyTime now, std::uint64_t random)
{
    Random generator = randomFrom(random);
    NewsWriter writer(known, asker, now);
    Chosen near = aliveIn(members, own, own.region_, now);
    std::size_t wholeLeft = mostWholeTold;
    const bool isNear = asker.region_ == own.region_;
    const std::size_t contacts = contactsOfEach(members);
    near = isNear ? sampled(near, mostNearTold, generator)
                  : contactsAmong(std::move(near), contacts);
    for (const Member *member : near)
        writer.tell(*member, wholeLeft);
    // A remote asker may not have found any instance of its own region yet.
    if (!isNear) {
        for (const Member *member :
             contactsAmong(aliveIn(members, own, asker.region_, now), contacts))
            writer.tell(*member, wholeLeft);
    }
    const Chosen others = aliveWhere(members, own, now, [&](const Member &member) {
        const auto &region = member.instance_.region_;
        return region != own.region_ && region != asker.region_;
    });
    wholeLeft = farWholeTold;
    for (const Member *member : others)
        writer.tell(*member, wholeLeft);
    return writer.take();
}

} // namespace Policy
