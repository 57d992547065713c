#include "Members.h"

#include <algorithm>
#include <tuple>

namespace Peers {

namespace {

auto orderOf(const InstanceRecord &record)
{
    return std::make_tuple(record.incarnation_, record.heartbeat_);
}

/// The entries of a region shift their shares alike, so the first report for a pair is used.
void addWalked(std::vector<WalkedShares> &sum, const std::vector<WalkedShares> &more)
{
    for (const auto &walked : more) {
        const bool isKnown = std::any_of(sum.begin(), sum.end(), [&](const auto &item) {
            return item.service_ == walked.service_ && item.origin_ == walked.origin_;
        });
        if (!isKnown)
            sum.push_back(walked);
    }
}

} // namespace

bool mergeIfNewer(Members &members, const InstanceRecord &record, Model::SteadyTime now)
{
    const auto [found, isNew] = members.members_.try_emplace(record.instance_.id_);
    Member &member = found->second;
    if (!isNew && orderOf(record) <= orderOf(member.record_))
        return false;
    const bool isSameIncarnation = !isNew && record.incarnation_ == member.record_.incarnation_;
    const bool wasLeaving = isSameIncarnation && member.record_.instance_.isLeaving_;
    member.record_ = record;
    member.record_.instance_.isLeaving_ = record.instance_.isLeaving_ || wasLeaving;
    member.recordReceivedAt_ = now;
    return true;
}

bool mergeIfNewer(Members &members, const RegionSummary &summary, Model::SteadyTime now)
{
    RegionSummary &current = members.summaries_[summary.region_];
    if (summary.madeAt_ <= current.madeAt_)
        return false;
    current = summary;
    members.summaryMadeAt_[summary.region_] = now - summary.age_;
    return true;
}

bool isFresh(const Members &members, const Model::RegionId &region, Model::SteadyTime now)
{
    const auto madeAtLocally = members.summaryMadeAt_.find(region);
    return madeAtLocally != members.summaryMadeAt_.end()
           && now - madeAtLocally->second <= summaryLifetime;
}

bool isKnown(const Members &members, const Model::RegionId &region, Model::SteadyTime now)
{
    const auto summary = members.summaries_.find(region);
    if (summary == members.summaries_.end())
        return false;
    return !summary->second.contacts_.empty() || !isFresh(members, region, now);
}

void removeSilentMembers(Members &members, Model::Milliseconds maxSilence, Model::SteadyTime now)
{
    std::erase_if(members.members_, [&](const auto &entry) {
        return now - entry.second.recordReceivedAt_ > maxSilence;
    });
}

bool isAlive(const Member &member, Model::SteadyTime now)
{
    return now - member.recordReceivedAt_ <= memberLifetime;
}

RegionSummary summarise(const Members &members, const Model::RegionId &region,
                        Model::WallTime madeAt, Model::SteadyTime now)
{
    RegionSummary summary;
    summary.region_ = region;
    summary.madeAt_ = madeAt;
    std::map<std::pair<Model::ServiceId, Model::FailureDomainId>, DomainLoad> loads;
    std::vector<Model::Instance> leaving;
    for (const auto &[id, member] : members.members_) {
        const InstanceRecord &record = member.record_;
        if (record.instance_.region_ != region || !isAlive(member, now))
            continue;
        const bool isServing = record.isReady_ && record.entryVersion_ > Model::TableVersion(0);
        auto &group = record.instance_.isLeaving_ ? leaving : summary.contacts_;
        if (isServing && group.size() < maxSummaryContacts)
            group.push_back(record.instance_);
        for (const auto &load : record.loads_) {
            DomainLoad &total = loads[{load.service_, load.domain_}];
            total.service_ = load.service_;
            total.domain_ = load.domain_;
            // Every entry sees the same slots, but only its own requests in them.
            total.slots_ = std::max(total.slots_, load.slots_);
            total.inFlight_ += load.inFlight_;
            total.waiting_ += load.waiting_;
        }
    }
    for (const auto &[key, load] : loads)
        summary.loads_.push_back(load);
    for (const auto &[id, member] : members.members_) {
        if (member.record_.instance_.region_ == region && isAlive(member, now))
            addWalked(summary.walked_, member.record_.walked_);
    }
    // While the last entries leave and no record of their replacements has arrived, an empty list
    // would send the region's callers to other regions. Leaving entries still serve for a while.
    if (summary.contacts_.empty())
        summary.contacts_ = std::move(leaving);
    return summary;
}

} // namespace Peers
