#include "CrashEvidence.h"

#include "HomePlacement.h"

#include <algorithm>
#include <set>

namespace Policy {

using Model::Milliseconds;
using Model::SteadyTime;

namespace {

using Runs = std::set<RunKey>;
using Evidence = std::map<RequestPrint, Runs>;

RequestPrint anyCaller(const RequestPrint &print)
{
    return {print.request_, 0};
}

bool covers(const RequestPrint &sentence, const RequestPrint &print)
{
    return sentence.request_ == print.request_
           && (sentence.caller_ == 0 || sentence.caller_ == print.caller_);
}

bool isInForce(const Quarantine &quarantine, SteadyTime now)
{
    return now < inForceUntil(quarantine);
}

/// A lapsed verdict that was not lifted: one more end renews it.
bool isOnProbation(const CrashBook &book, const RequestPrint &print, SteadyTime now)
{
    const auto found = book.quarantines_.find(print);
    return found != book.quarantines_.end() && found->second.generation_ > found->second.lifted_
           && !isInForce(found->second, now);
}

/// Tells whether a request other than \a print that was in progress in \a run is in quarantine.
bool isExplained(const CrashBook &book, const EndedRun &run, const RequestPrint &print,
                 SteadyTime now)
{
    return std::any_of(run.suspects_.begin(), run.suspects_.end(), [&](const Suspect &suspect) {
        if (suspect.isCleared_ || suspect.print_.request_ == print.request_)
            return false;
        for (const auto &sentence : {suspect.print_, anyCaller(suspect.print_)}) {
            const auto found = book.quarantines_.find(sentence);
            if (found != book.quarantines_.end() && isInForce(found->second, now))
                return true;
        }
        return false;
    });
}

/// The runs that ended under each request that no target has answered since.
Evidence evidenceIn(const CrashBook &book)
{
    Evidence evidence;
    std::map<std::uint64_t, std::set<std::uint32_t>> callers;
    std::set<std::uint64_t> answered;
    for (const auto &[key, run] : book.runs_) {
        for (const auto &suspect : run.suspects_) {
            const auto &print = suspect.print_;
            if (suspect.isCleared_) {
                answered.insert(print.request_);
                continue;
            }
            evidence[print].insert(key);
            callers[print.request_].insert(print.caller_);
        }
    }
    // What several callers ask for may end targets whoever asks.
    for (const auto &[request, names] : callers) {
        if (names.size() < 2 || answered.contains(request))
            continue;
        Runs &all = evidence[{request, 0}];
        for (const auto caller : names) {
            const Runs &own = evidence[{request, caller}];
            all.insert(own.begin(), own.end());
        }
    }
    return evidence;
}

/// Counts the instants in which \a runs ended.
std::size_t instantsOf(const CrashBook &book, const Runs &runs)
{
    std::vector<SteadyTime> times;
    times.reserve(runs.size());
    for (const auto &key : runs)
        times.push_back(book.runs_.at(key).endedAt_);
    std::sort(times.begin(), times.end());
    std::size_t instants = 0;
    auto begin = Model::longAgo;
    for (const auto time : times) {
        if (instants > 0 && time - begin <= sameInstant)
            continue;
        ++instants;
        begin = time;
    }
    return instants;
}

/// Tells whether no other request was in progress in nearly all of \a runs.
bool standsAlone(const Evidence &evidence, const RequestPrint &print, const Runs &runs)
{
    return std::none_of(evidence.begin(), evidence.end(), [&](const auto &other) {
        if (other.first.request_ == print.request_ || other.second.size() < 2)
            return false;
        const auto apart = std::count_if(runs.begin(), runs.end(), [&](const RunKey &run) {
            return !other.second.contains(run);
        });
        return apart < 2;
    });
}

void sentence(CrashBook &book, const RequestPrint &print, SteadyTime now)
{
    Quarantine &held = book.quarantines_[print];
    const auto last = std::max(held.generation_, held.lifted_);
    const bool isFirst = held.since_ == SteadyTime();
    held.generation_ = isFirst ? 1 : last + 1;
    held.since_ = now;
    book.pending_.erase(print);
    book.isChanged_ = true;
}

/// Sentences one request, if there is one against which there is enough.
std::optional<RequestPrint> sentenceOne(CrashBook &book, SteadyTime now)
{
    const Evidence evidence = evidenceIn(book);
    std::map<RequestPrint, SteadyTime> pending;
    std::vector<std::pair<RequestPrint, Runs>> candidates;
    for (const auto &[print, all] : evidence) {
        const auto found = book.quarantines_.find(print);
        if (found != book.quarantines_.end() && isInForce(found->second, now))
            continue;
        Runs runs;
        for (const auto &key : all) {
            if (!isExplained(book, book.runs_.at(key), print, now))
                runs.insert(key);
        }
        const std::size_t needed = isOnProbation(book, print, now) ? 1 : instantsForVerdict;
        if (runs.size() < needed || instantsOf(book, runs) < needed)
            continue;
        const auto since = book.pending_.find(print);
        pending[print] = since == book.pending_.end() ? now : since->second;
        candidates.emplace_back(print, std::move(runs));
    }
    book.pending_ = std::move(pending);
    // Who was there most often first: it may explain the ends of the others. A single caller's
    // request goes before the same one of all callers.
    std::stable_sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        const bool isAnyA = a.first.caller_ == 0;
        const bool isAnyB = b.first.caller_ == 0;
        return isAnyA != isAnyB ? isAnyB : a.second.size() > b.second.size();
    });
    for (const auto &[print, runs] : candidates) {
        const bool isSettled = now - book.pending_.at(print) >= settleTime;
        const bool isShared = !standsAlone(evidence, print, runs)
                              && instantsOf(book, runs) < instantsForSharedVerdict;
        if (!isSettled || isShared)
            continue;
        sentence(book, print, now);
        return print;
    }
    return std::nullopt;
}

/// Voids fresh verdicts against requests that were only ever in progress beside another guilty one.
void hearAppeals(CrashBook &book, Verdicts &verdicts, SteadyTime now)
{
    const Evidence evidence = evidenceIn(book);
    const auto runsOf = [&](const RequestPrint &print) {
        const auto found = evidence.find(print);
        return found == evidence.end() ? Runs() : found->second;
    };
    for (auto &[print, quarantine] : book.quarantines_) {
        if (!isInForce(quarantine, now) || now - quarantine.since_ > appealTime)
            continue;
        const Runs runs = runsOf(print);
        for (const auto &[other, otherQuarantine] : book.quarantines_) {
            const Runs more = runsOf(other);
            const bool isBeside
                = other.request_ != print.request_ && isInForce(otherQuarantine, now)
                  && more.size() >= runs.size() + 2
                  && std::includes(more.begin(), more.end(), runs.begin(), runs.end());
            if (!isBeside)
                continue;
            quarantine.lifted_ = quarantine.generation_;
            verdicts.lifted_.push_back(print);
            book.isChanged_ = true;
            break;
        }
    }
}

void forgetOld(CrashBook &book, SteadyTime now)
{
    std::erase_if(book.runs_, [&](const auto &entry) {
        return now - entry.second.endedAt_ > firstQuarantine;
    });
    while (book.runs_.size() > mostRuns) {
        book.runs_.erase(std::min_element(book.runs_.begin(), book.runs_.end(),
                                          [](const auto &a, const auto &b) {
                                              return a.second.endedAt_ < b.second.endedAt_;
                                          }));
    }
    std::erase_if(book.quarantines_, [&](const auto &entry) {
        const Quarantine &quarantine = entry.second;
        const bool isVoid = quarantine.lifted_ >= quarantine.generation_;
        const auto lapsedAt = isVoid ? quarantine.since_ : inForceUntil(quarantine);
        return now > lapsedAt + firstQuarantine;
    });
    while (book.quarantines_.size() > mostQuarantines) {
        book.quarantines_.erase(std::min_element(
            book.quarantines_.begin(), book.quarantines_.end(), [&](const auto &a, const auto &b) {
                const auto rank = [&](const Quarantine &quarantine) {
                    return std::make_pair(isInForce(quarantine, now), quarantine.since_);
                };
                return rank(a.second) < rank(b.second);
            }));
    }
}

} // namespace

RunKey runKeyOf(const Model::TargetId &target, Model::Incarnation incarnation)
{
    return RunKey(ownerScore(seedOf(target.value()), incarnation.value()));
}

void noteEnded(CrashBook &book, RunKey run, const std::vector<RequestPrint> &prints, SteadyTime now)
{
    const auto [found, isNew] = book.runs_.try_emplace(run);
    EndedRun &ended = found->second;
    if (isNew) {
        ended.endedAt_ = now;
        ended.changedAt_ = now;
        book.isChanged_ = true;
    }
    for (const auto &print : prints) {
        const bool isKnown = std::any_of(ended.suspects_.begin(), ended.suspects_.end(),
                                         [&](const Suspect &suspect) {
                                             return suspect.print_ == print;
                                         });
        if (isKnown || ended.suspects_.size() >= mostSuspects)
            continue;
        ended.suspects_.push_back({print, false});
        ended.changedAt_ = now;
        book.isChanged_ = true;
    }
    if (book.runs_.size() > mostRuns)
        forgetOld(book, now);
}

bool liftQuarantine(CrashBook &book, const RequestPrint &print, SteadyTime now)
{
    for (auto &[key, run] : book.runs_) {
        for (auto &suspect : run.suspects_) {
            if (!covers(print, suspect.print_) || suspect.isCleared_)
                continue;
            suspect.isCleared_ = true;
            run.changedAt_ = now;
            book.isChanged_ = true;
        }
    }
    book.pending_.erase(print);
    const auto found = book.quarantines_.find(print);
    if (found == book.quarantines_.end() || found->second.lifted_ >= found->second.generation_)
        return false;
    const bool wasInForce = isInForce(found->second, now);
    found->second.lifted_ = found->second.generation_;
    book.isChanged_ = true;
    return wasInForce;
}

bool noteAnswered(CrashBook &book, const RequestPrint &print, SteadyTime now)
{
    const bool isOwnLifted = liftQuarantine(book, print, now);
    const auto any = book.quarantines_.find(anyCaller(print));
    if (any == book.quarantines_.end() || !isInForce(any->second, now))
        return isOwnLifted;
    // What is known against other callers' requests alone stays.
    any->second.lifted_ = any->second.generation_;
    book.isChanged_ = true;
    return true;
}

Verdicts judge(CrashBook &book, SteadyTime now)
{
    Verdicts verdicts;
    forgetOld(book, now);
    while (const auto print = sentenceOne(book, now))
        verdicts.quarantined_.push_back(*print);
    hearAppeals(book, verdicts, now);
    return verdicts;
}

SteadyTime inForceUntil(const Quarantine &quarantine)
{
    if (quarantine.lifted_ >= quarantine.generation_)
        return Model::longAgo;
    auto length = firstQuarantine;
    for (std::uint32_t i = 1; i < quarantine.generation_ && length < longestQuarantine; ++i)
        length *= 2;
    return quarantine.since_ + std::min(length, longestQuarantine);
}

CrashView viewOf(const CrashBook &book, SteadyTime now)
{
    CrashView view;
    for (const auto &[print, runs] : evidenceIn(book)) {
        auto standing = RequestStanding::Free;
        SteadyTime until = now;
        const auto pending = book.pending_.find(print);
        if (pending != book.pending_.end() && now - pending->second < settleTime) {
            standing = RequestStanding::Pending;
            until = pending->second + settleTime;
        } else if (instantsOf(book, runs) >= instantsForTrial) {
            standing = RequestStanding::Trial;
        }
        view.entries_.emplace(headOf(print), CrashView::Entry{print, standing, until});
    }
    for (const auto &[print, quarantine] : book.quarantines_) {
        if (!isInForce(quarantine, now))
            continue;
        view.entries_.emplace(headOf(print), CrashView::Entry{print, RequestStanding::Quarantined,
                                                              inForceUntil(quarantine)});
    }
    return view;
}

StandingNow standingOf(const CrashView &view, const RequestPrint &print, SteadyTime now)
{
    StandingNow result;
    const auto [first, last] = view.entries_.equal_range(headOf(print));
    for (auto entry = first; entry != last; ++entry) {
        const CrashView::Entry &held = entry->second;
        if (!covers(held.print_, print))
            continue;
        auto standing = held.standing_;
        const bool isOver = now >= held.until_;
        if (isOver && standing == RequestStanding::Pending)
            standing = RequestStanding::Trial;
        if (isOver && standing == RequestStanding::Quarantined)
            standing = RequestStanding::Free;
        if (standing > result.standing_)
            result = {standing, held.until_};
    }
    return result;
}

} // namespace Policy
