#include "RegistrationExpiry.h"

#include <algorithm>
#include <optional>

namespace Policy {

namespace {

/// Returns whether \a standing is of an instance that has read the removal from the store itself.
/// An instance that received it from a peer may have a hanging call, and not have detected an
/// outage of the store yet.
bool hasReadRemoval(const StoreStanding &standing, const RemovedRegistration &removed)
{
    return standing.contact_ == StoreContact::Reached && standing.targetsRead_ >= removed.revision_;
}

/// Returns when the store recovered, by the instance's own calls alone. An instance that has just
/// started has not seen it fail.
Model::SteadyTime recoverySeenBy(const StoreStanding &own, const RemovedRegistration &removed)
{
    return own.contact_ == StoreContact::Refused ? removed.noticedAt_ : own.recoveredAt_;
}

} // namespace

std::vector<StoreStanding> standingsOf(const Members &members, const Model::InstanceId &own,
                                       Model::SteadyTime now)
{
    std::vector<StoreStanding> standings;
    for (const auto &[id, member] : members) {
        if (id == own || !isAlive(member, now))
            continue;
        const auto &pulse = member.heartbeatRecord_;
        StoreStanding standing;
        standing.contact_ = pulse.store_;
        standing.answeredSince_ = member.heartbeatAt_ - pulse.storeAnswered_;
        standing.targetsRead_ = pulse.targetsRead_;
        standings.push_back(standing);
    }
    return standings;
}

Model::SteadyTime usableUntil(const RemovedRegistration &removed, const StoreEvidence &evidence)
{
    std::optional<Model::SteadyTime> recovery;
    if (hasReadRemoval(evidence.own_, removed))
        recovery = evidence.own_.recoveredAt_;
    for (const auto &other : evidence.others_) {
        if (hasReadRemoval(other, removed))
            recovery = std::min(recovery.value_or(other.answeredSince_), other.answeredSince_);
    }
    const auto recoveredAt = recovery.value_or(recoverySeenBy(evidence.own_, removed));
    // A removal cannot be read during an outage: the store had recovered when it was noticed.
    const auto until = std::min(recoveredAt, removed.noticedAt_) + registrationExpiryGrace;
    const auto untilUnseen = removed.noticedAt_ + unobservedExpiryGrace;
    return removed.isSimultaneousRemoval_ ? std::max(until, untilUnseen) : until;
}

} // namespace Policy
