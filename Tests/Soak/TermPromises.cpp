#include "TermPromises.h"

namespace Soak {

using Model::Milliseconds;
using Model::SteadyTime;

namespace {

/// Requests that are on the way when a target asks for a pause, and those that may follow.
constexpr Milliseconds requestsOnTheWay{500};
constexpr int maxRequestsInAPause = 2;
/// A request that arrives later than this after an announced leave breaks the promise.
constexpr Milliseconds leaveBound{2500};

std::string describe(const PlatformStandIns::Arrival &arrival, SteadyTime since)
{
    const auto after = std::chrono::duration_cast<Milliseconds>(arrival.at_ - since);
    return arrival.request_ + " reached " + arrival.run_ + " through " + arrival.viaEntry_ + " "
           + std::to_string(after.count()) + " ms after";
}

} // namespace

bool TermPromises::isBoundSince(const Model::Address &entry, SteadyTime time) const
{
    const auto process = site_.processCalmSince(entry);
    if (!process || *process > time)
        return false;
    for (std::size_t i = 0; i < site_.targetCount(); ++i) {
        const auto way = site_.targetWayCalmSince(i);
        if (!way || *way > time)
            return false;
    }
    return true;
}

void TermPromises::note(const PlatformStandIns::Arrival &arrival, bool isOnTime)
{
    const auto entry = Model::addressFromText(arrival.viaEntry_);
    if (!entry)
        return;
    Terms &terms = terms_[{arrival.run_, arrival.viaEntry_}];
    for (Pause &pause : terms.pauses_) {
        if (arrival.at_ <= pause.askedAt_ + requestsOnTheWay || arrival.at_ >= pause.endsAt_
            || !isBoundSince(*entry, pause.askedAt_))
            continue;
        if (++pause.requests_ > maxRequestsInAPause && isOnTime)
            violations_.push_back({true, describe(arrival, pause.askedAt_)});
    }
    std::erase_if(terms.pauses_, [&](const Pause &pause) {
        const bool isOver = arrival.at_ >= pause.endsAt_;
        if (isOver && isBoundSince(*entry, pause.askedAt_))
            ++judgedPauses_;
        return isOver;
    });
    if (isOnTime && terms.leaveAnnouncedAt_ && isBoundSince(*entry, *terms.leaveAnnouncedAt_)
        && arrival.at_ > *terms.leaveAnnouncedAt_ + leaveBound)
        violations_.push_back({false, describe(arrival, *terms.leaveAnnouncedAt_)});
    if (arrival.pause_ > Milliseconds(0))
        terms.pauses_.push_back({arrival.at_, arrival.at_ + arrival.pause_});
    if (arrival.announcesLeave_ && !terms.leaveAnnouncedAt_) {
        terms.leaveAnnouncedAt_ = arrival.at_;
        ++judgedLeaves_;
    }
}

} // namespace Soak
