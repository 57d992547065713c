#include "PeerUpdate.h"

#include "HomePlacement.h"

#include <algorithm>
#include <iterator>
#include <random>
#include <set>
#include <unordered_map>

namespace Policy {

namespace {

using Random = std::minstd_rand;
using MemberList = std::vector<const Member *>;

Random randomFrom(std::uint64_t seed)
{
    return Random(static_cast<Random::result_type>(seed ^ (seed >> 32U)));
}

MemberList sampled(const MemberList &from, std::size_t count, Random &random)
{
    MemberList result;
    std::sample(from.begin(), from.end(), std::back_inserter(result), count, random);
    return result;
}

/// Returns the live members for which \a predicate holds, without \a own.
template <typename Predicate>
MemberList aliveWhere(const Members &members, const Model::Instance &own, Model::SteadyTime now,
                      Predicate predicate)
{
    MemberList result;
    for (const auto &[id, member] : members) {
        if (id != own.id_ && isAlive(member, now) && predicate(member))
            result.push_back(&member);
    }
    return result;
}

MemberList aliveIn(const Members &members, const Model::Instance &own,
                   const Model::RegionId &region, Model::SteadyTime now)
{
    return aliveWhere(members, own, now, [&](const Member &member) {
        return member.instance_.region_ == region;
    });
}

MemberList aliveInOtherRegions(const Members &members, const Model::Instance &own,
                               Model::SteadyTime now)
{
    return aliveWhere(members, own, now, [&](const Member &member) {
        return member.instance_.region_ != own.region_;
    });
}

/// Returns the members that are considered failed, of the local region and of regions without a
/// live member.
MemberList unreachableMembers(const Members &members, const Model::Instance &own,
                              const MemberList &remote, Model::SteadyTime now)
{
    std::set<Model::RegionId> reached;
    for (const Member *member : remote)
        reached.insert(member->instance_.region_);
    MemberList failed;
    for (const auto &[id, member] : members) {
        const auto &region = member.instance_.region_;
        if (id != own.id_ && !isAlive(member, now) && !reached.contains(region))
            failed.push_back(&member);
    }
    return failed;
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
    return std::clamp(maxRemoteContacts / others, minContactsOfRegion, contactsOfRegion);
}

/// Returns the contacts among the \a members of a region: the same ones on every instance.
MemberList contactsAmong(MemberList members, std::size_t count)
{
    if (members.size() <= count)
        return members;
    std::sort(members.begin(), members.end(), ranksBefore);
    members.resize(count);
    return members;
}

void append(MemberList &to, const MemberList &more)
{
    to.insert(to.end(), more.begin(), more.end());
}

std::vector<Model::Instance> instancesOf(const MemberList &members)
{
    std::vector<Model::Instance> instances;
    instances.reserve(members.size());
    for (const Member *member : members)
        instances.push_back(member->instance_);
    return instances;
}

/// Collects the records that are newer than the asker's.
class PeerUpdateBuilder
{
public:
    PeerUpdateBuilder(const std::vector<MemberHeartbeat> &known, const Model::Instance &asker,
                      Model::SteadyTime now)
        : asker_(asker)
        , now_(now)
    {
        for (const auto &pulse : known)
            known_.emplace(pulse.id_, &pulse);
    }

    /// Adds the record of \a member, if it is newer: the full record, if the asker does not know
    /// this incarnation and \a fullRecordsLeft is above zero, else the heartbeat record.
    void add(const Member &member, std::size_t &fullRecordsLeft)
    {
        if (member.instance_.id_ == asker_.id_)
            return;
        const auto found = known_.find(member.instance_.id_);
        const bool isKnownIncarnation
            = found != known_.end()
              && found->second->incarnation_ == member.heartbeatRecord_.incarnation_;
        if (isKnownIncarnation && found->second->heartbeat_ >= member.heartbeatRecord_.heartbeat_)
            return;
        if (!isKnownIncarnation && fullRecordsLeft > 0) {
            --fullRecordsLeft;
            Member sent = member;
            sent.heartbeatRecord_ = heartbeatRecordAt(member, now_);
            update_.fullRecords_.push_back(std::move(sent));
        } else {
            update_.heartbeatRecords_.push_back(heartbeatRecordAt(member, now_));
        }
    }

    PeerUpdate take() { return std::move(update_); }

private:
    const Model::Instance &asker_;
    Model::SteadyTime now_;
    std::unordered_map<Model::InstanceId, const MemberHeartbeat *> known_;
    PeerUpdate update_;
};

} // namespace

void forgetNonContacts(Members &members, Model::SteadyTime now)
{
    std::map<Model::RegionId, MemberList> remoteByRegion;
    for (const auto &[id, member] : members) {
        if (member.isRemote_)
            remoteByRegion[member.instance_.region_].push_back(&member);
    }
    const std::size_t wanted = contactsOfEach(members);
    std::vector<Model::InstanceId> nonContacts;
    for (auto &[region, remote] : remoteByRegion) {
        if (remote.size() <= wanted)
            continue;
        std::sort(remote.begin(), remote.end(), ranksBefore);
        std::size_t alive = 0;
        for (const Member *member : remote) {
            if (alive == wanted)
                nonContacts.push_back(member->instance_.id_);
            alive += alive < wanted && isAlive(*member, now) ? 1 : 0;
        }
    }
    for (const auto &id : nonContacts)
        members.erase(id);
}

std::vector<Model::Instance> peersOfRound(const Members &members, const Model::Instance &own,
                                          Model::SteadyTime now, std::uint64_t random)
{
    Random generator = randomFrom(random);
    const auto inLocalDomain = [&](const Member *member) {
        return member->instance_.domain_ == own.domain_;
    };
    MemberList local = aliveIn(members, own, own.region_, now);
    const auto beyond = std::partition(local.begin(), local.end(), inLocalDomain);
    const MemberList sameDomain(local.begin(), beyond);
    const MemberList otherDomains(beyond, local.end());
    const MemberList remote = aliveInOtherRegions(members, own, now);
    const MemberList failed = unreachableMembers(members, own, remote, now);
    MemberList failedLocal;
    std::copy_if(failed.begin(), failed.end(), std::back_inserter(failedLocal),
                 [](const Member *member) {
                     return !member->isRemote_;
                 });
    std::uniform_real_distribution<double> chance(0, 1);
    const std::size_t crossing = chance(generator) < crossDomainProbability ? 1 : 0;
    MemberList chosen = sampled(sameDomain, localPeersInRound - crossing, generator);
    // An instance that is alone in its region, or has just started, contacts any known peers, local
    // ones first.
    for (const MemberList *others :
         std::initializer_list<const MemberList *>{&otherDomains, &failedLocal, &remote, &failed}) {
        if (chosen.size() < localPeersInRound)
            append(chosen, sampled(*others, localPeersInRound - chosen.size(), generator));
    }
    const double remoteProbability = std::max(
        remotePeerFraction, remotePeersOfRegionInRound / static_cast<double>(local.size() + 1));
    if (chance(generator) < remoteProbability)
        append(chosen, sampled(remote, 1, generator));
    if (random % roundsBetweenFailedPeers == 0)
        append(chosen, sampled(failed, 1, generator));
    return instancesOf(chosen);
}

bool hasMemberAt(const Members &members, const Model::Address &address)
{
    return std::any_of(members.begin(), members.end(), [&](const auto &entry) {
        return entry.second.instance_.addresses_.control_ == address;
    });
}

std::vector<Model::Instance> peersToAnnounceTo(const Members &members, const Model::Instance &own,
                                               Model::SteadyTime now, std::uint64_t random)
{
    Random generator = randomFrom(random);
    std::map<Model::FailureDomainId, MemberList> byDomain;
    for (const Member *member : aliveIn(members, own, own.region_, now)) {
        if (member->heartbeatRecord_.store_ == StoreContact::NotAsked)
            byDomain[member->instance_.domain_].push_back(member);
    }
    MemberList sameDomain;
    const auto localDomain = byDomain.find(own.domain_);
    if (localDomain != byDomain.end()) {
        sameDomain = std::move(localDomain->second);
        byDomain.erase(localDomain);
    }
    const auto self = members.find(own.id_);
    const bool isReader
        = self != members.end() && self->second.heartbeatRecord_.store_ != StoreContact::NotAsked;
    MemberList chosen;
    MemberList beyond;
    for (const auto &[domain, others] : byDomain) {
        if (isReader)
            append(chosen, sampled(others, 1, generator));
        append(beyond, others);
    }
    const std::size_t wanted = std::max(announcementFanout, chosen.size() + 1);
    append(chosen, sampled(sameDomain, wanted - chosen.size(), generator));
    if (chosen.size() < wanted && !isReader)
        append(chosen, sampled(beyond, wanted - chosen.size(), generator));
    return instancesOf(chosen);
}

const Member *nearestPeerWith(const Members &members, const Model::Instance &own,
                              const std::function<bool(const Member &)> &knowsMore,
                              Model::SteadyTime now, std::uint64_t random)
{
    MemberList sameDomain;
    MemberList local;
    MemberList remote;
    for (const Member *member : aliveWhere(members, own, now, knowsMore)) {
        const bool isInDomain = member->instance_.domain_ == own.domain_;
        MemberList &destination = isInDomain ? sameDomain : (member->isRemote_ ? remote : local);
        destination.push_back(member);
    }
    for (const MemberList *from :
         std::initializer_list<const MemberList *>{&sameDomain, &local, &remote}) {
        if (!from->empty())
            return (*from)[random % from->size()];
    }
    return nullptr;
}

std::vector<MemberHeartbeat> heartbeatRecordsForRequest(const Members &members,
                                                        const Model::Instance &own,
                                                        const Model::RegionId &peerRegion,
                                                        Model::SteadyTime now, std::uint64_t random)
{
    Random generator = randomFrom(random);
    MemberList sent = aliveIn(members, own, own.region_, now);
    const bool isLocal = peerRegion == own.region_;
    if (isLocal) {
        sent = sampled(sent, maxLocalRecords, generator);
    } else {
        const std::size_t contacts = contactsOfEach(members);
        sent = contactsAmong(std::move(sent), contacts);
        append(sent, contactsAmong(aliveIn(members, own, peerRegion, now), contacts));
    }
    const MemberList others = aliveWhere(members, own, now, [&](const Member &member) {
        const auto &region = member.instance_.region_;
        return region != own.region_ && region != peerRegion;
    });
    append(sent, others);
    std::vector<MemberHeartbeat> pulses;
    pulses.reserve(sent.size());
    for (const Member *member : sent)
        pulses.push_back(heartbeatRecordAt(*member, now));
    return pulses;
}

PeerUpdate peerUpdateFor(const Members &members, const Model::Instance &own,
                         const Model::Instance &asker, const std::vector<MemberHeartbeat> &known,
                         Model::SteadyTime now, std::uint64_t random)
{
    Random generator = randomFrom(random);
    PeerUpdateBuilder builder(known, asker, now);
    MemberList local = aliveIn(members, own, own.region_, now);
    std::size_t fullRecordsLeft = maxFullRecords;
    const bool isLocal = asker.region_ == own.region_;
    const std::size_t contacts = contactsOfEach(members);
    local = isLocal ? sampled(local, maxLocalRecords, generator)
                    : contactsAmong(std::move(local), contacts);
    for (const Member *member : local)
        builder.add(*member, fullRecordsLeft);
    // A remote asker may not have found any instance of its own region yet.
    if (!isLocal) {
        for (const Member *member :
             contactsAmong(aliveIn(members, own, asker.region_, now), contacts))
            builder.add(*member, fullRecordsLeft);
    }
    const MemberList others = aliveWhere(members, own, now, [&](const Member &member) {
        const auto &region = member.instance_.region_;
        return region != own.region_ && region != asker.region_;
    });
    fullRecordsLeft = maxRemoteFullRecords;
    for (const Member *member : others)
        builder.add(*member, fullRecordsLeft);
    return builder.take();
}

} // namespace Policy
