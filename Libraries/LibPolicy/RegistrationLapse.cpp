#include "RegistrationLapse.h"

#include <algorithm>

namespace Policy {

namespace {

/// Tells whether \a standing is of somebody who has read the removal from the store itself. Whoever
/// heard of it from a peer may have a call that hangs, and not know yet that the store was away.
bool isWitness(const StoreStanding &standing, const RemovedRegistration &removed)
{
    return standing.contact_ == StoreContact::Reached && standing.targetsRead_ >= removed.revision_;
}

/// When the store came back, by the instance's own calls alone.
Model::SteadyTime ownReturn(const StoreStanding &own, const RemovedRegistration &removed)
{
    switch (own.contact_) {
    case StoreContact::Reached:
        return own.answeredSince_;
    case StoreContact::Refused:
        return removed.noticedAt_;
    case StoreContact::NotAsked:
        break;
    }
    return Model::longAgo;
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
        standings.push_back(
            {pulse.store_, member.heardAt_ - pulse.storeAnswered_, pulse.targetsRead_});
    }
    return standings;
}

Model::SteadyTime usableUntil(const RemovedRegistration &removed, const StoreEvidence &evidence)
{
    std::vector<StoreStanding> witnesses;
    std::copy_if(evidence.others_.begin(), evidence.others_.end(), std::back_inserter(witnesses),
                 [&](const StoreStanding &standing) {
                     return isWitness(standing, removed);
                 });
    if (isWitness(evidence.own_, removed))
        witnesses.push_back(evidence.own_);
    const auto earliest = std::min_element(witnesses.begin(), witnesses.end(),
                                           [](const StoreStanding &a, const StoreStanding &b) {
                                               return a.answeredSince_ < b.answeredSince_;
                                           });
    const bool isWitnessed = earliest != witnesses.end();
    const auto returnedAt
        = isWitnessed ? earliest->answeredSince_ : ownReturn(evidence.own_, removed);
    // Nobody reads a removal from a store that is away: it was back when this was noticed.
    const auto until = std::min(returnedAt, removed.noticedAt_) + lapseGrace;
    const auto untilUnseen = removed.noticedAt_ + unseenLapseGrace;
    return removed.isOneOfMany_ ? std::max(until, untilUnseen) : until;
}

} // namespace Policy
