#include "RegistrationLapse.h"

#include <algorithm>
#include <optional>

namespace Policy {

namespace {

/// Tells whether \a standing is of somebody who has read the removal from the store itself. Whoever
/// heard of it from a peer may have a call that hangs, and not know yet that the store was away.
bool isWitness(const StoreStanding &standing, const RemovedRegistration &removed)
{
    return standing.contact_ == StoreContact::Reached && standing.targetsRead_ >= removed.revision_;
}

/// When the store came back, by the instance's own calls alone. One that has just started has not
/// seen it fail.
Model::SteadyTime returnSeenBy(const StoreStanding &own, const RemovedRegistration &removed)
{
    return own.contact_ == StoreContact::Refused ? removed.noticedAt_ : own.returnedAt_;
}

} // namespace

std::vector<StoreStanding> standingsOf(const Members &members, const Model::InstanceId &own,
                                       Model::SteadyTime now)
{
    std::vector<StoreStanding> standings;
    for (const auto &[id, member] : members) {
        if (id == own || !isAlive(member, now))
            continue;
        const auto &pulse = member.pulse_;
        StoreStanding standing;
        standing.contact_ = pulse.store_;
        standing.answeredSince_ = member.heardAt_ - pulse.storeAnswered_;
        standing.targetsRead_ = pulse.targetsRead_;
        standings.push_back(standing);
    }
    return standings;
}

Model::SteadyTime usableUntil(const RemovedRegistration &removed, const StoreEvidence &evidence)
{
    std::optional<Model::SteadyTime> witnessed;
    if (isWitness(evidence.own_, removed))
        witnessed = evidence.own_.returnedAt_;
    for (const auto &other : evidence.others_) {
        if (isWitness(other, removed))
            witnessed = std::min(witnessed.value_or(other.answeredSince_), other.answeredSince_);
    }
    const auto returnedAt = witnessed.value_or(returnSeenBy(evidence.own_, removed));
    // Nobody reads a removal from a store that is away: it was back when this was noticed.
    const auto until = std::min(returnedAt, removed.noticedAt_) + lapseGrace;
    const auto untilUnseen = removed.noticedAt_ + unseenLapseGrace;
    return removed.isOneOfMany_ ? std::max(until, untilUnseen) : until;
}

} // namespace Policy
