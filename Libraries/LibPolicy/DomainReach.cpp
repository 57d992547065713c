#include "DomainReach.h"

#include <algorithm>

namespace Policy {

namespace {

std::size_t unreachedAmong(const std::vector<DomainReach::Contact> &contacts)
{
    return static_cast<std::size_t>(
        std::count_if(contacts.begin(), contacts.end(), [](const auto &contact) {
            return !contact.isReached_;
        }));
}

std::size_t unreachedInSeries(const std::vector<DomainReach::Contact> &contacts)
{
    const auto lastReached = std::find_if(contacts.rbegin(), contacts.rend(), [](const auto &it) {
        return it.isReached_;
    });
    return static_cast<std::size_t>(lastReached - contacts.rbegin());
}

} // namespace

ReachChange noteContact(DomainReach &reach, std::uint64_t target, bool isReached,
                        std::size_t targets, Model::SteadyTime now)
{
    auto &contacts = reach.contacts_;
    std::erase_if(contacts, [&](const auto &contact) {
        return contact.target_ == target;
    });
    contacts.push_back({target, isReached});
    if (contacts.size() > maxReachContacts)
        contacts.erase(contacts.begin());
    if (isReached)
        reach.reachedAt_ = now;

    const std::size_t needed = std::clamp<std::size_t>(targets, 1, minReachContacts);
    reach.isInDoubt_ = reach.isInDoubt_ || unreachedInSeries(contacts) >= needed;
    const auto unreached = static_cast<double>(unreachedAmong(contacts));
    const auto all = static_cast<double>(contacts.size());
    if (!reach.lostSince_ && contacts.size() >= needed && unreached >= lostFraction * all) {
        reach.lostSince_ = now;
        return ReachChange::Lost;
    }
    if (reach.lostSince_ && unreached <= regainedFraction * all) {
        reach.lostSince_.reset();
        return ReachChange::Regained;
    }
    return ReachChange::None;
}

std::size_t takeProbes(DomainReach &reach, Model::SteadyTime now)
{
    const bool hasReached = reach.reachedAt_ >= reach.probedAt_;
    if (reach.lostSince_) {
        if (now - reach.probedAt_ < lostProbeInterval)
            return 0;
        reach.probedAt_ = now;
        return hasReached ? probesInDoubt : probesWhileLost;
    }
    const auto interval = hasReached ? reassuredProbeInterval : doubtProbeInterval;
    if (!reach.isInDoubt_ || now - reach.probedAt_ < interval)
        return 0;
    reach.isInDoubt_ = false;
    reach.probedAt_ = now;
    return probesInDoubt;
}

} // namespace Policy
