#include "Liveness.h"

#include <algorithm>

namespace Policy {

namespace {

/// Returns whether \a reported is of a later incarnation than \a known. A lower incarnation is the
/// later one if its machine's clock was set back before it began: then the other one has been
/// silent, and any report on it is older than the known one.
bool isLaterIncarnation(const Member &reported, const Member &known, Model::SteadyTime heardAt)
{
    if (reported.heartbeatRecord_.incarnation_ > known.heartbeatRecord_.incarnation_)
        return heardAt >= known.heartbeatAt_;
    return heardAt - known.heartbeatAt_ > maxHeartbeatAge;
}

bool isNewer(const Member &reported, const Member &known, Model::SteadyTime heardAt)
{
    if (reported.heartbeatRecord_.incarnation_ != known.heartbeatRecord_.incarnation_)
        return isLaterIncarnation(reported, known, heardAt);
    return reported.heartbeatRecord_.heartbeat_ > known.heartbeatRecord_.heartbeat_;
}

bool hasRecentHeartbeat(const Member &member, Model::SteadyTime now)
{
    return !member.isUnconfirmed_ && now - member.heartbeatAt_ <= memberCountingTime;
}

} // namespace

bool mergeMemberRecord(Members &members, const Member &reported, Model::SteadyTime heardAt)
{
    const auto [position, isNew] = members.try_emplace(reported.instance_.id_);
    Member &known = position->second;
    const bool isFirstHeartbeat = known.isUnconfirmed_ && !reported.isUnconfirmed_;
    if (!isNew && !isFirstHeartbeat && !isNewer(reported, known, heardAt))
        return false;
    known = reported;
    known.heartbeatAt_ = heardAt;
    return true;
}

bool mergeHeartbeatRecord(Members &members, const MemberHeartbeat &pulse, Model::SteadyTime now)
{
    const auto found = members.find(pulse.id_);
    if (found == members.end())
        return false;
    Member &known = found->second;
    const bool isSameIncarnation = known.heartbeatRecord_.incarnation_ == pulse.incarnation_;
    if (!isSameIncarnation || pulse.heartbeat_ <= known.heartbeatRecord_.heartbeat_)
        return false;
    known.heartbeatRecord_ = pulse;
    known.heartbeatAt_ = now - pulse.age_;
    known.isUnconfirmed_ = false;
    return true;
}

MemberHeartbeat heartbeatRecordAt(const Member &member, Model::SteadyTime now)
{
    MemberHeartbeat pulse = member.heartbeatRecord_;
    const auto age = std::chrono::duration_cast<Model::Milliseconds>(now - member.heartbeatAt_);
    pulse.age_ = std::max(Model::Milliseconds(0), age);
    return pulse;
}

bool isAlive(const Member &member, Model::SteadyTime now)
{
    const auto maxAge = member.isRemote_ ? maxRemoteHeartbeatAge : maxHeartbeatAge;
    return !member.isUnconfirmed_ && now - member.heartbeatAt_ <= maxAge;
}

void forgetSilent(Members &members, const Model::InstanceId &own, Model::SteadyTime now)
{
    std::erase_if(members, [&](const auto &entry) {
        return entry.first != own && now - entry.second.heartbeatAt_ > silentMemberRetention;
    });
}

std::size_t entriesIn(const Members &members, const Model::RegionId &region, Model::SteadyTime now)
{
    std::size_t withRecentHeartbeat = 0;
    std::size_t counted = 0;
    for (const auto &[id, member] : members) {
        if (member.instance_.region_ != region || !hasRecentHeartbeat(member, now))
            continue;
        ++withRecentHeartbeat;
        // Counts of local instances add nothing to the members counted here.
        if (member.isRemote_)
            counted = std::max<std::size_t>(counted, member.heartbeatRecord_.regionEntries_);
    }
    return std::max(withRecentHeartbeat, counted);
}

} // namespace Policy
