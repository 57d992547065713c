#include "CrashUpdate.h"

#include <algorithm>

namespace Policy {

using Model::Milliseconds;
using Model::SteadyTime;

namespace {

Milliseconds ageOf(SteadyTime time, SteadyTime now)
{
    return std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(now - time));
}

/// Keeps the youngest \a most of \a items.
template <typename Item>
void keepYoungest(std::vector<Item> &items, std::size_t most)
{
    if (items.size() <= most)
        return;
    std::nth_element(items.begin(), items.begin() + static_cast<std::ptrdiff_t>(most), items.end(),
                     [](const Item &a, const Item &b) {
                         return a.age_ < b.age_;
                     });
    items.resize(most);
}

bool mergeCrash(CrashRecords &records, const CrashReport &received, SteadyTime now)
{
    if (received.age_ > firstQuarantine)
        return false;
    const bool wasChanged = std::exchange(records.isChanged_, false);
    std::vector<RequestFingerprint> fingerprints;
    const auto count = std::min(received.suspects_.size(), maxSuspectsPerCrash);
    for (std::size_t i = 0; i < count; ++i)
        fingerprints.push_back(received.suspects_[i].fingerprint_);
    noteEnded(records, received.run_, fingerprints, now);
    bool hasChanged = std::exchange(records.isChanged_, wasChanged);
    const auto found = records.runs_.find(received.run_);
    // It is dropped again if the records are full of younger ones.
    if (found == records.runs_.end())
        return hasChanged;
    CrashedIncarnation &crashed = found->second;
    crashed.endedAt_ = std::min(crashed.endedAt_, now - received.age_);
    for (std::size_t i = 0; i < count; ++i) {
        for (auto &suspect : crashed.suspects_) {
            const bool isCleared = received.suspects_[i].isCleared_ && !suspect.isCleared_
                                   && suspect.fingerprint_ == received.suspects_[i].fingerprint_;
            if (!isCleared)
                continue;
            suspect.isCleared_ = true;
            crashed.changedAt_ = now;
            hasChanged = true;
        }
    }
    records.isChanged_ |= hasChanged;
    return hasChanged;
}

bool mergeQuarantine(CrashRecords &records, const QuarantineReport &received, SteadyTime now)
{
    const auto since = now - std::clamp(received.age_, Milliseconds(0), maxQuarantineDuration);
    const auto [found, isNew] = records.quarantines_.try_emplace(received.fingerprint_);
    Quarantine &held = found->second;
    bool hasChanged = isNew || received.generation_ > held.generation_;
    if (hasChanged) {
        held.generation_ = received.generation_;
        held.since_ = since;
    } else if (received.generation_ == held.generation_) {
        held.since_ = std::min(held.since_, since);
    }
    if (received.lifted_ > held.lifted_) {
        hasChanged = true;
        // The evidence behind the released quarantine must not renew it.
        if (received.lifted_ >= held.generation_)
            liftQuarantine(records, received.fingerprint_, now);
        held.lifted_ = received.lifted_;
    }
    records.isChanged_ |= hasChanged;
    return hasChanged;
}

} // namespace

CrashUpdate crashUpdateFrom(const CrashRecords &records, SteadyTime now)
{
    CrashUpdate update;
    for (const auto &[key, crashed] : records.runs_) {
        if (now - crashed.changedAt_ <= crashSendTime)
            update.runs_.push_back({key, ageOf(crashed.endedAt_, now), crashed.suspects_});
    }
    keepYoungest(update.runs_, maxCrashesInUpdate);
    for (const auto &[fingerprint, quarantine] : records.quarantines_) {
        update.quarantines_.push_back({fingerprint, quarantine.generation_, quarantine.lifted_,
                                       ageOf(quarantine.since_, now)});
    }
    keepYoungest(update.quarantines_, maxQuarantinesInUpdate);
    return update;
}

bool takeIn(CrashRecords &records, const CrashUpdate &update, SteadyTime now)
{
    bool hasChanged = false;
    const auto crashes = std::min(update.runs_.size(), maxCrashesInUpdate);
    for (std::size_t i = 0; i < crashes; ++i)
        hasChanged |= mergeCrash(records, update.runs_[i], now);
    const auto quarantines = std::min(update.quarantines_.size(), maxQuarantinesInUpdate);
    for (std::size_t i = 0; i < quarantines; ++i)
        hasChanged |= mergeQuarantine(records, update.quarantines_[i], now);
    return hasChanged;
}

} // namespace Policy
