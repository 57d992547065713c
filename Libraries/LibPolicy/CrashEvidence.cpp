#include "CrashEvidence.h"

#include "HomePlacement.h"

#include <algorithm>
#include <set>

namespace Policy {

using Model::Milliseconds;
using Model::SteadyTime;

namespace {

using Runs = std::vector<const EndedRun *>;

/// A request and the incarnations that crashed while processing it, sorted by their address.
struct Accused
{
    RequestPrint print_;
    Runs runs_;
};

/// Sorted by fingerprint.
using Evidence = std::vector<Accused>;

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

/// Returns whether the request has an expired quarantine that was not released: one more crash
/// renews it.
bool isOnProbation(const CrashBook &book, const RequestPrint &print, SteadyTime now)
{
    const auto found = book.quarantines_.find(print);
    return found != book.quarantines_.end() && found->second.generation_ > found->second.lifted_
           && !isInForce(found->second, now);
}

/// Returns whether another request than \a print that was in progress in \a run is quarantined.
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

void sortOut(Runs &runs)
{
    std::sort(runs.begin(), runs.end());
    runs.erase(std::unique(runs.begin(), runs.end()), runs.end());
}

/// Returns the suspects that are not cleared, each with an incarnation in which it was in progress.
std::vector<std::pair<RequestPrint, const EndedRun *>> accusationsIn(const CrashBook &book)
{
    std::vector<std::pair<RequestPrint, const EndedRun *>> all;
    for (const auto &[key, run] : book.runs_) {
        for (const auto &suspect : run.suspects_) {
            if (!suspect.isCleared_)
                all.emplace_back(suspect.print_, &run);
        }
    }
    std::sort(all.begin(), all.end());
    return all;
}

std::set<std::uint64_t> answeredIn(const CrashBook &book)
{
    std::set<std::uint64_t> answered;
    for (const auto &[key, run] : book.runs_) {
        for (const auto &suspect : run.suspects_) {
            if (suspect.isCleared_)
                answered.insert(suspect.print_.request_);
        }
    }
    return answered;
}

/// Returns the requests that one more crash may quarantine: those with two crashes or an earlier
/// quarantine.
Evidence evidenceIn(const CrashBook &book)
{
    Evidence evidence;
    const auto keep = [&](const RequestPrint &print, Runs runs) {
        sortOut(runs);
        if (runs.size() >= 2 || book.quarantines_.contains(print))
            evidence.push_back({print, std::move(runs)});
    };
    const auto all = accusationsIn(book);
    const auto answered = answeredIn(book);
    for (auto first = all.begin(); first != all.end();) {
        const auto request = first->first.request_;
        Runs ofAll;
        std::size_t callers = 0;
        std::vector<Accused> exact;
        while (first != all.end() && first->first.request_ == request) {
            const RequestPrint print = first->first;
            Runs runs;
            for (; first != all.end() && first->first == print; ++first)
                runs.push_back(first->second);
            ofAll.insert(ofAll.end(), runs.begin(), runs.end());
            ++callers;
            exact.push_back({print, std::move(runs)});
        }
        // A request of several callers may crash targets regardless of its caller.
        if (callers >= 2 && !answered.contains(request))
            keep({request, 0}, std::move(ofAll));
        for (auto &accused : exact)
            keep(accused.print_, std::move(accused.runs_));
    }
    return evidence;
}

/// Returns the number of distinct crash times of \a runs; times within sameInstant count as one.
std::size_t instantsOf(const Runs &runs)
{
    std::vector<SteadyTime> times;
    times.reserve(runs.size());
    for (const EndedRun *run : runs)
        times.push_back(run->endedAt_);
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

/// Returns whether no other request was in progress in nearly all incarnations of \a accused.
bool standsAlone(const Evidence &evidence, const Accused &accused)
{
    return std::none_of(evidence.begin(), evidence.end(), [&](const Accused &other) {
        if (other.print_.request_ == accused.print_.request_ || other.runs_.size() < 2)
            return false;
        const auto apart
            = std::count_if(accused.runs_.begin(), accused.runs_.end(), [&](const EndedRun *run) {
                  return !std::binary_search(other.runs_.begin(), other.runs_.end(), run);
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

/// Returns the requests with enough evidence, those with the most crashes first, because they may
/// explain the crashes of the others. A single caller's request precedes that of all callers.
std::vector<Accused> candidatesIn(CrashBook &book, const Evidence &evidence, SteadyTime now)
{
    std::map<RequestPrint, SteadyTime> pending;
    std::vector<Accused> candidates;
    for (const auto &accused : evidence) {
        const auto &print = accused.print_;
        const auto found = book.quarantines_.find(print);
        if (found != book.quarantines_.end() && isInForce(found->second, now))
            continue;
        const std::size_t needed = isOnProbation(book, print, now) ? 1 : instantsForVerdict;
        if (accused.runs_.size() < needed)
            continue;
        Accused candidate{print, {}};
        for (const EndedRun *run : accused.runs_) {
            if (!isExplained(book, *run, print, now))
                candidate.runs_.push_back(run);
        }
        if (instantsOf(candidate.runs_) < needed)
            continue;
        const auto since = book.pending_.find(print);
        pending[print] = since == book.pending_.end() ? now : since->second;
        candidates.push_back(std::move(candidate));
    }
    book.pending_ = std::move(pending);
    std::stable_sort(candidates.begin(), candidates.end(), [](const Accused &a, const Accused &b) {
        const bool isAnyA = a.print_.caller_ == 0;
        const bool isAnyB = b.print_.caller_ == 0;
        return isAnyA != isAnyB ? isAnyB : a.runs_.size() > b.runs_.size();
    });
    return candidates;
}

/// Quarantines one request, if there is one with enough evidence.
std::optional<RequestPrint> sentenceOne(CrashBook &book, const Evidence &evidence, SteadyTime now)
{
    for (const auto &candidate : candidatesIn(book, evidence, now)) {
        const bool isSettled = now - book.pending_.at(candidate.print_) >= settleTime;
        const bool isShared = !standsAlone(evidence, candidate)
                              && instantsOf(candidate.runs_) < instantsForSharedVerdict;
        if (!isSettled || isShared)
            continue;
        sentence(book, candidate.print_, now);
        return candidate.print_;
    }
    return std::nullopt;
}

/// Releases recent quarantines of requests that were only in progress together with another
/// quarantined one.
void hearAppeals(CrashBook &book, const Evidence &evidence, Verdicts &verdicts, SteadyTime now)
{
    const auto isGuilty = [&](const Accused &accused) {
        const auto found = book.quarantines_.find(accused.print_);
        return found != book.quarantines_.end() && isInForce(found->second, now);
    };
    for (const auto &accused : evidence) {
        if (!isGuilty(accused))
            continue;
        Quarantine &quarantine = book.quarantines_.at(accused.print_);
        if (now - quarantine.since_ > appealTime)
            continue;
        const Runs &runs = accused.runs_;
        const bool isBeside
            = std::any_of(evidence.begin(), evidence.end(), [&](const Accused &other) {
                  const Runs &more = other.runs_;
                  return other.print_.request_ != accused.print_.request_
                         && more.size() >= runs.size() + 2 && isGuilty(other)
                         && std::includes(more.begin(), more.end(), runs.begin(), runs.end());
              });
        if (!isBeside)
            continue;
        quarantine.lifted_ = quarantine.generation_;
        verdicts.lifted_.push_back(accused.print_);
        book.isChanged_ = true;
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
    // Evidence against other callers' requests alone is kept.
    any->second.lifted_ = any->second.generation_;
    book.isChanged_ = true;
    return true;
}

Verdicts judge(CrashBook &book, SteadyTime now)
{
    Verdicts verdicts;
    forgetOld(book, now);
    const Evidence evidence = evidenceIn(book);
    while (const auto print = sentenceOne(book, evidence, now))
        verdicts.quarantined_.push_back(*print);
    hearAppeals(book, evidence, verdicts, now);
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
    for (const auto &accusation : accusationsIn(book))
        view.heads_.push_back(headOf(accusation.first));
    for (const auto &[print, runs] : evidenceIn(book)) {
        const auto pending = book.pending_.find(print);
        if (pending != book.pending_.end() && now - pending->second < settleTime) {
            view.entries_.emplace(print.request_, CrashView::Entry{print, RequestStanding::Pending,
                                                                   pending->second + settleTime});
        } else if (instantsOf(runs) >= instantsForTrial) {
            view.entries_.emplace(print.request_,
                                  CrashView::Entry{print, RequestStanding::Trial, now});
        }
    }
    for (const auto &[print, quarantine] : book.quarantines_) {
        if (!isInForce(quarantine, now))
            continue;
        view.heads_.push_back(headOf(print));
        view.entries_.emplace(print.request_, CrashView::Entry{print, RequestStanding::Quarantined,
                                                               inForceUntil(quarantine)});
    }
    std::sort(view.heads_.begin(), view.heads_.end());
    view.heads_.erase(std::unique(view.heads_.begin(), view.heads_.end()), view.heads_.end());
    return view;
}

StandingNow standingOf(const CrashView &view, const RequestPrint &print, SteadyTime now)
{
    StandingNow result;
    const auto [first, last] = view.entries_.equal_range(print.request_);
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
