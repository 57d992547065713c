#include "CrashEvidence.h"

#include "HomePlacement.h"

#include <algorithm>
#include <set>

namespace Policy {

using Model::Milliseconds;
using Model::SteadyTime;

namespace {

using Crashes = std::vector<const CrashedIncarnation *>;

/// A request and the incarnations that crashed while processing it, sorted by their address.
struct RequestEvidence
{
    RequestFingerprint fingerprint_;
    Crashes runs_;
};

/// Sorted by fingerprint.
using Evidence = std::vector<RequestEvidence>;

RequestFingerprint anyCaller(const RequestFingerprint &fingerprint)
{
    return {fingerprint.request_, 0};
}

bool covers(const RequestFingerprint &quarantined, const RequestFingerprint &fingerprint)
{
    return quarantined.request_ == fingerprint.request_
           && (quarantined.caller_ == 0 || quarantined.caller_ == fingerprint.caller_);
}

bool isInForce(const Quarantine &quarantine, SteadyTime now)
{
    return now < inForceUntil(quarantine);
}

/// Returns whether the request has an expired quarantine that was not released: one more crash
/// renews it.
bool hasExpiredQuarantine(const CrashRecords &records, const RequestFingerprint &fingerprint,
                          SteadyTime now)
{
    const auto found = records.quarantines_.find(fingerprint);
    return found != records.quarantines_.end() && found->second.generation_ > found->second.lifted_
           && !isInForce(found->second, now);
}

/// Returns whether another request than \a fingerprint that was in progress in \a crashed is
/// quarantined.
bool isExplained(const CrashRecords &records, const CrashedIncarnation &crashed,
                 const RequestFingerprint &fingerprint, SteadyTime now)
{
    return std::any_of(
        crashed.suspects_.begin(), crashed.suspects_.end(), [&](const Suspect &suspect) {
            if (suspect.isCleared_ || suspect.fingerprint_.request_ == fingerprint.request_)
                return false;
            for (const auto &quarantined :
                 {suspect.fingerprint_, anyCaller(suspect.fingerprint_)}) {
                const auto found = records.quarantines_.find(quarantined);
                if (found != records.quarantines_.end() && isInForce(found->second, now))
                    return true;
            }
            return false;
        });
}

void sortUnique(Crashes &crashes)
{
    std::sort(crashes.begin(), crashes.end());
    crashes.erase(std::unique(crashes.begin(), crashes.end()), crashes.end());
}

/// Returns the suspects that are not cleared, each with an incarnation in which it was in progress.
std::vector<std::pair<RequestFingerprint, const CrashedIncarnation *>>
suspectsIn(const CrashRecords &records)
{
    std::vector<std::pair<RequestFingerprint, const CrashedIncarnation *>> all;
    for (const auto &[key, crashed] : records.runs_) {
        for (const auto &suspect : crashed.suspects_) {
            if (!suspect.isCleared_)
                all.emplace_back(suspect.fingerprint_, &crashed);
        }
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::set<std::uint64_t> answeredIn(const CrashRecords &records)
{
    std::set<std::uint64_t> answered;
    for (const auto &[key, crashed] : records.runs_) {
        for (const auto &suspect : crashed.suspects_) {
            if (suspect.isCleared_)
                answered.insert(suspect.fingerprint_.request_);
        }
    }
    return answered;
}

/// Returns the requests that one more crash may quarantine: those with two crashes or an earlier
/// quarantine.
Evidence evidenceIn(const CrashRecords &records)
{
    Evidence evidence;
    const auto keep = [&](const RequestFingerprint &fingerprint, Crashes crashes) {
        sortUnique(crashes);
        if (crashes.size() >= 2 || records.quarantines_.contains(fingerprint))
            evidence.push_back({fingerprint, std::move(crashes)});
    };
    const auto all = suspectsIn(records);
    const auto answered = answeredIn(records);
    for (auto first = all.begin(); first != all.end();) {
        const auto request = first->first.request_;
        Crashes crashesOfAllCallers;
        std::size_t callers = 0;
        std::vector<RequestEvidence> exact;
        while (first != all.end() && first->first.request_ == request) {
            const RequestFingerprint fingerprint = first->first;
            Crashes crashes;
            for (; first != all.end() && first->first == fingerprint; ++first)
                crashes.push_back(first->second);
            crashesOfAllCallers.insert(crashesOfAllCallers.end(), crashes.begin(), crashes.end());
            ++callers;
            exact.push_back({fingerprint, std::move(crashes)});
        }
        // A request of several callers may crash targets regardless of its caller.
        if (callers >= 2 && !answered.contains(request))
            keep({request, 0}, std::move(crashesOfAllCallers));
        for (auto &suspected : exact)
            keep(suspected.fingerprint_, std::move(suspected.runs_));
    }
    return evidence;
}

/// Returns the number of distinct crash times of \a crashes; times within simultaneousCrashWindow
/// count as one.
std::size_t countCrashTimes(const Crashes &crashes)
{
    std::vector<SteadyTime> times;
    times.reserve(crashes.size());
    for (const CrashedIncarnation *crashed : crashes)
        times.push_back(crashed->endedAt_);
    std::sort(times.begin(), times.end());
    std::size_t instants = 0;
    auto begin = Model::distantPast;
    for (const auto time : times) {
        if (instants > 0 && time - begin <= simultaneousCrashWindow)
            continue;
        ++instants;
        begin = time;
    }
    return instants;
}

/// Returns whether no other request was in progress in nearly all incarnations of \a suspected.
bool isOnlySuspect(const Evidence &evidence, const RequestEvidence &suspected)
{
    return std::none_of(evidence.begin(), evidence.end(), [&](const RequestEvidence &other) {
        if (other.fingerprint_.request_ == suspected.fingerprint_.request_
            || other.runs_.size() < 2)
            return false;
        const auto apart = std::count_if(
            suspected.runs_.begin(), suspected.runs_.end(), [&](const CrashedIncarnation *crashed) {
                return !std::binary_search(other.runs_.begin(), other.runs_.end(), crashed);
            });
        return apart < 2;
    });
}

void quarantineRequest(CrashRecords &records, const RequestFingerprint &fingerprint, SteadyTime now)
{
    Quarantine &held = records.quarantines_[fingerprint];
    const auto last = std::max(held.generation_, held.lifted_);
    const bool isFirst = held.since_ == SteadyTime();
    held.generation_ = isFirst ? 1 : last + 1;
    held.since_ = now;
    records.pending_.erase(fingerprint);
    records.isChanged_ = true;
}

/// Returns the requests with enough evidence, those with the most crashes first, because they may
/// explain the crashes of the others. A single caller's request precedes that of all callers.
std::vector<RequestEvidence> candidatesIn(CrashRecords &records, const Evidence &evidence,
                                          SteadyTime now)
{
    std::map<RequestFingerprint, SteadyTime> pending;
    std::vector<RequestEvidence> candidates;
    for (const auto &suspected : evidence) {
        const auto &fingerprint = suspected.fingerprint_;
        const auto found = records.quarantines_.find(fingerprint);
        if (found != records.quarantines_.end() && isInForce(found->second, now))
            continue;
        const std::size_t needed
            = hasExpiredQuarantine(records, fingerprint, now) ? 1 : crashTimesForQuarantine;
        if (suspected.runs_.size() < needed)
            continue;
        RequestEvidence candidate{fingerprint, {}};
        for (const CrashedIncarnation *crashed : suspected.runs_) {
            if (!isExplained(records, *crashed, fingerprint, now))
                candidate.runs_.push_back(crashed);
        }
        if (countCrashTimes(candidate.runs_) < needed)
            continue;
        const auto since = records.pending_.find(fingerprint);
        pending[fingerprint] = since == records.pending_.end() ? now : since->second;
        candidates.push_back(std::move(candidate));
    }
    records.pending_ = std::move(pending);
    std::stable_sort(candidates.begin(), candidates.end(),
                     [](const RequestEvidence &a, const RequestEvidence &b) {
                         const bool isAnyA = a.fingerprint_.caller_ == 0;
                         const bool isAnyB = b.fingerprint_.caller_ == 0;
                         return isAnyA != isAnyB ? isAnyB : a.runs_.size() > b.runs_.size();
                     });
    return candidates;
}

/// Quarantines one request, if there is one with enough evidence.
std::optional<RequestFingerprint> quarantineOne(CrashRecords &records, const Evidence &evidence,
                                                SteadyTime now)
{
    for (const auto &candidate : candidatesIn(records, evidence, now)) {
        const bool isSettled = now - records.pending_.at(candidate.fingerprint_) >= settleTime;
        const bool isShared = !isOnlySuspect(evidence, candidate)
                              && countCrashTimes(candidate.runs_) < crashTimesForSharedQuarantine;
        if (!isSettled || isShared)
            continue;
        quarantineRequest(records, candidate.fingerprint_, now);
        return candidate.fingerprint_;
    }
    return std::nullopt;
}

/// Releases recent quarantines of requests that were only in progress together with another
/// quarantined one.
void reconsiderRecent(CrashRecords &records, const Evidence &evidence, QuarantineChanges &verdicts,
                      SteadyTime now)
{
    const auto isQuarantined = [&](const RequestEvidence &suspected) {
        const auto found = records.quarantines_.find(suspected.fingerprint_);
        return found != records.quarantines_.end() && isInForce(found->second, now);
    };
    for (const auto &suspected : evidence) {
        if (!isQuarantined(suspected))
            continue;
        Quarantine &quarantine = records.quarantines_.at(suspected.fingerprint_);
        if (now - quarantine.since_ > reconsiderationTime)
            continue;
        const Crashes &crashes = suspected.runs_;
        const bool isExplainedByOther
            = std::any_of(evidence.begin(), evidence.end(), [&](const RequestEvidence &other) {
                  const Crashes &more = other.runs_;
                  return other.fingerprint_.request_ != suspected.fingerprint_.request_
                         && more.size() >= crashes.size() + 2 && isQuarantined(other)
                         && std::includes(more.begin(), more.end(), crashes.begin(), crashes.end());
              });
        if (!isExplainedByOther)
            continue;
        quarantine.lifted_ = quarantine.generation_;
        verdicts.lifted_.push_back(suspected.fingerprint_);
        records.isChanged_ = true;
    }
}

void forgetOld(CrashRecords &records, SteadyTime now)
{
    std::erase_if(records.runs_, [&](const auto &entry) {
        return now - entry.second.endedAt_ > firstQuarantine;
    });
    while (records.runs_.size() > maxCrashedIncarnations) {
        records.runs_.erase(std::min_element(records.runs_.begin(), records.runs_.end(),
                                             [](const auto &a, const auto &b) {
                                                 return a.second.endedAt_ < b.second.endedAt_;
                                             }));
    }
    std::erase_if(records.quarantines_, [&](const auto &entry) {
        const Quarantine &quarantine = entry.second;
        const bool isVoid = quarantine.lifted_ >= quarantine.generation_;
        const auto expiredAt = isVoid ? quarantine.since_ : inForceUntil(quarantine);
        return now > expiredAt + firstQuarantine;
    });
    while (records.quarantines_.size() > maxQuarantines) {
        records.quarantines_.erase(std::min_element(
            records.quarantines_.begin(), records.quarantines_.end(),
            [&](const auto &a, const auto &b) {
                const auto rank = [&](const Quarantine &quarantine) {
                    return std::make_pair(isInForce(quarantine, now), quarantine.since_);
                };
                return rank(a.second) < rank(b.second);
            }));
    }
}

} // namespace

TargetIncarnationKey targetIncarnationKeyOf(const Model::TargetId &target,
                                            Model::Incarnation incarnation)
{
    return TargetIncarnationKey(ownerScore(seedOf(target.value()), incarnation.value()));
}

void noteEnded(CrashRecords &records, TargetIncarnationKey crashed,
               const std::vector<RequestFingerprint> &fingerprints, SteadyTime now)
{
    const auto [found, isNew] = records.runs_.try_emplace(crashed);
    CrashedIncarnation &ended = found->second;
    if (isNew) {
        ended.endedAt_ = now;
        ended.changedAt_ = now;
        records.isChanged_ = true;
    }
    for (const auto &fingerprint : fingerprints) {
        const bool isKnown = std::any_of(ended.suspects_.begin(), ended.suspects_.end(),
                                         [&](const Suspect &suspect) {
                                             return suspect.fingerprint_ == fingerprint;
                                         });
        if (isKnown || ended.suspects_.size() >= maxSuspectsPerCrash)
            continue;
        ended.suspects_.push_back({fingerprint, false});
        ended.changedAt_ = now;
        records.isChanged_ = true;
    }
    if (records.runs_.size() > maxCrashedIncarnations)
        forgetOld(records, now);
}

bool liftQuarantine(CrashRecords &records, const RequestFingerprint &fingerprint, SteadyTime now)
{
    for (auto &[key, crashed] : records.runs_) {
        for (auto &suspect : crashed.suspects_) {
            if (!covers(fingerprint, suspect.fingerprint_) || suspect.isCleared_)
                continue;
            suspect.isCleared_ = true;
            crashed.changedAt_ = now;
            records.isChanged_ = true;
        }
    }
    records.pending_.erase(fingerprint);
    const auto found = records.quarantines_.find(fingerprint);
    if (found == records.quarantines_.end() || found->second.lifted_ >= found->second.generation_)
        return false;
    const bool wasInForce = isInForce(found->second, now);
    found->second.lifted_ = found->second.generation_;
    records.isChanged_ = true;
    return wasInForce;
}

bool noteAnswered(CrashRecords &records, const RequestFingerprint &fingerprint, SteadyTime now)
{
    const bool isExactLifted = liftQuarantine(records, fingerprint, now);
    const auto any = records.quarantines_.find(anyCaller(fingerprint));
    if (any == records.quarantines_.end() || !isInForce(any->second, now))
        return isExactLifted;
    // Evidence against other callers' requests alone is kept.
    any->second.lifted_ = any->second.generation_;
    records.isChanged_ = true;
    return true;
}

QuarantineChanges judge(CrashRecords &records, SteadyTime now)
{
    QuarantineChanges verdicts;
    forgetOld(records, now);
    const Evidence evidence = evidenceIn(records);
    while (const auto fingerprint = quarantineOne(records, evidence, now))
        verdicts.quarantined_.push_back(*fingerprint);
    reconsiderRecent(records, evidence, verdicts, now);
    return verdicts;
}

SteadyTime inForceUntil(const Quarantine &quarantine)
{
    if (quarantine.lifted_ >= quarantine.generation_)
        return Model::distantPast;
    auto length = firstQuarantine;
    for (std::uint32_t i = 1; i < quarantine.generation_ && length < maxQuarantineDuration; ++i)
        length *= 2;
    return quarantine.since_ + std::min(length, maxQuarantineDuration);
}

CrashView viewOf(const CrashRecords &records, SteadyTime now)
{
    CrashView view;
    for (const auto &accusation : suspectsIn(records))
        view.prefixes_.push_back(fingerprintPrefixOf(accusation.first));
    for (const auto &[fingerprint, crashes] : evidenceIn(records)) {
        const auto pending = records.pending_.find(fingerprint);
        if (pending != records.pending_.end() && now - pending->second < settleTime) {
            view.entries_.emplace(fingerprint.request_,
                                  CrashView::Entry{fingerprint, RequestStanding::Pending,
                                                   pending->second + settleTime});
        } else if (countCrashTimes(crashes) >= crashTimesForProbe) {
            view.entries_.emplace(
                fingerprint.request_,
                CrashView::Entry{fingerprint, RequestStanding::SerializedProbe, now});
        }
    }
    for (const auto &[fingerprint, quarantine] : records.quarantines_) {
        if (!isInForce(quarantine, now))
            continue;
        view.prefixes_.push_back(fingerprintPrefixOf(fingerprint));
        view.entries_.emplace(
            fingerprint.request_,
            CrashView::Entry{fingerprint, RequestStanding::Quarantined, inForceUntil(quarantine)});
    }
    std::sort(view.prefixes_.begin(), view.prefixes_.end());
    view.prefixes_.erase(std::unique(view.prefixes_.begin(), view.prefixes_.end()),
                         view.prefixes_.end());
    return view;
}

CurrentStanding standingOf(const CrashView &view, const RequestFingerprint &fingerprint,
                           SteadyTime now)
{
    CurrentStanding result;
    const auto [first, last] = view.entries_.equal_range(fingerprint.request_);
    for (auto entry = first; entry != last; ++entry) {
        const CrashView::Entry &held = entry->second;
        if (!covers(held.fingerprint_, fingerprint))
            continue;
        auto standing = held.standing_;
        const bool isOver = now >= held.until_;
        if (isOver && standing == RequestStanding::Pending)
            standing = RequestStanding::SerializedProbe;
        if (isOver && standing == RequestStanding::Quarantined)
            standing = RequestStanding::Free;
        if (standing > result.standing_)
            result = {standing, held.until_};
    }
    return result;
}

} // namespace Policy
