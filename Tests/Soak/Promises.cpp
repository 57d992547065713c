#include "Promises.h"

#include <algorithm>

namespace Soak {

using Http::http::status;
using Model::Milliseconds;
using Model::SteadyTime;

namespace {

/// Bounds hold where nothing was disturbed for so long before.
constexpr Milliseconds calmBefore{4000};
/// News of a leaving target and of an edit must be in force everywhere after this.
constexpr Milliseconds knownWithin{2500};
/// An instance that is gone is named no longer than this.
constexpr Milliseconds namedWithin{7000};
/// The routes' timeout, and how long after it the answer may come.
constexpr Milliseconds timeout{1500};
constexpr Milliseconds heldSlack{500};
/// After so many ends a request is known to be what ends targets, and so many more are borne later.
constexpr std::size_t endsToKnow = 3;
constexpr int mostLateEnds = 3;

bool promisesNotRun(unsigned code)
{
    return code == 429 || code == 503 || code == 408 || code == 421;
}

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

const char *toText(Promise promise)
{
    switch (promise) {
    case Promise::OwnAnswers:
        return "each caller gets the answer to its own request";
    case Promise::ProperRequestsAreTaken:
        return "proper requests are taken";
    case Promise::AnswersInTime:
        return "an answer comes within the route's timeout";
    case Promise::AtMostOnce:
        return "what must not repeat runs at most once";
    case Promise::NotRunIsTrue:
        return "what was told not to have run has not run";
    case Promise::LeavingTargets:
        return "a leaving target gets no new work";
    case Promise::NamesOfTheGone:
        return "what is gone is not named";
    case Promise::EditsInForce:
        return "an edit is in force everywhere";
    case Promise::EndingRequests:
        return "a request under which targets end is kept from them";
    }
    return "";
}

Promises::Promises(SoakSite &site, Callers &callers)
    : site_(site)
    , callers_(callers)
{
}

void Promises::broken(Promise promise, const std::string &what)
{
    found_.push_back(std::string(toText(promise)) + ": " + what);
}

/// Nothing was done to the instance or to the store from a while before \a from until now.
bool Promises::wasCalm(const Model::Address &entry, SteadyTime from) const
{
    const auto instance = site_.calmSince(entry);
    const auto store = site_.storeCalmSince();
    return instance && store && std::max(*instance, *store) + calmBefore <= from;
}

/// Tells whether an instance may send nothing at \a at to a target that left at \a leftAt. The
/// store was calm when it took the leave, and the instance and its way to the target have been for
/// a while by now.
bool Promises::isBoundBy(const Model::Address &entry, SteadyTime leftAt, SteadyTime at,
                         std::size_t target) const
{
    const auto instance = site_.calmSince(entry);
    const auto store = site_.storeCalmSince();
    const auto way = site_.targetWayCalmSince(target);
    return callers_.isOnTime() && instance && store && way && at >= leftAt + knownWithin
           && *store + calmBefore <= leftAt && std::max(*instance, *way) + calmBefore <= at;
}

std::vector<std::string> Promises::check()
{
    for (auto &record : callers_.take()) {
        checkAnswer(record);
        checkTime(record);
        if (promisesNotRun(record.status_)) {
            judge(Promise::NotRunIsTrue);
            toldNotRun_.push_back(record.id_);
        }
        if (!record.mayRepeat_)
            judge(Promise::AtMostOnce);
        records_.push_back(std::move(record));
    }
    checkRuns();
    checkLeaving();
    checkNames();
    checkEdit();
    checkEnds();
    countJudgedEnding();
    return std::exchange(found_, {});
}

void Promises::checkAnswer(const Record &record)
{
    const std::string what
        = record.id_ + " " + std::to_string(record.status_) + " by " + toText(record.entry_);
    if (record.status_ == 200)
        judge(Promise::OwnAnswers);
    if (record.status_ > 0)
        judge(Promise::ProperRequestsAreTaken);
    if (record.status_ == 200 && !record.isOwnBody_)
        broken(Promise::OwnAnswers, what);
    if (record.status_ >= 400 && record.status_ < 500 && !promisesNotRun(record.status_))
        broken(Promise::ProperRequestsAreTaken, what);
}

void Promises::checkTime(const Record &record)
{
    const auto took = record.endedAt_ - record.sentAt_;
    const bool isJudged = callers_.isOnTime() && wasCalm(record.entry_, record.sentAt_)
                          && record.stage_ != Http::ExchangeStage::NotConnected;
    if (isJudged)
        judge(Promise::AnswersInTime);
    if (isJudged && took > timeout + heldSlack) {
        const auto ms = std::chrono::duration_cast<Milliseconds>(took).count();
        broken(Promise::AnswersInTime, record.id_ + " after " + std::to_string(ms) + " ms");
    }
}

void Promises::checkRuns()
{
    std::map<std::string, int> runs;
    for (const auto &target : site_.fleet().targets_) {
        for (const auto &[id, count] : target->runs())
            runs[id] += count;
    }
    for (const auto &record : records_) {
        if (!record.mayRepeat_ && runs[record.id_] > 1)
            broken(Promise::AtMostOnce, record.id_);
    }
    for (const auto &id : toldNotRun_) {
        if (runs[id] > 0)
            broken(Promise::NotRunIsTrue, id);
    }
}

void Promises::checkLeaving()
{
    const auto &targets = site_.fleet().targets_;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        for (const auto &arrival : targets[i]->takeArrivals())
            checkArrival(arrival, i);
    }
    countJudgedLeaves();
}

void Promises::checkArrival(const PlatformStandIns::Arrival &arrival, std::size_t target)
{
    const auto left = site_.leftAt().find(arrival.run_);
    const auto through = Model::addressFromText(arrival.through_);
    if (left == site_.leftAt().end() || !through
        || !isBoundBy(*through, left->second, arrival.at_, target))
        return;
    const auto after = std::chrono::duration_cast<Milliseconds>(arrival.at_ - left->second);
    broken(Promise::LeavingTargets, arrival.request_ + " reached " + arrival.run_ + " through "
                                        + arrival.through_ + " " + std::to_string(after.count())
                                        + " ms after its leave");
}

/// Each instance that is bound by a leave while the target serves on is judged by it, whether or
/// not it sends anything there.
void Promises::countJudgedLeaves()
{
    const auto now = steadyNow();
    const auto &targets = site_.fleet().targets_;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        const std::string run = targets[i]->id();
        const auto left = site_.leftAt().find(run);
        if (left == site_.leftAt().end())
            continue;
        for (const auto &instance : site_.fleet().instances_) {
            if (isBoundBy(instance->entry(), left->second, now, i)
                && judgedLeaves_.insert({run, instance->name_}).second)
                judge(Promise::LeavingTargets);
        }
    }
}

void Promises::checkNames()
{
    for (const auto &named : callers_.takeNamed()) {
        Model::Address by = named.by_;
        by.port_ = 8144;
        if (!wasCalm(by, named.at_))
            continue;
        if (site_.isAnyGoneFor(namedWithin, named.at_))
            judge(Promise::NamesOfTheGone);
        for (const auto &entry : named.entries_) {
            const auto gone = site_.goneSince(entry);
            if (gone && named.at_ > *gone + namedWithin)
                broken(Promise::NamesOfTheGone, entry + " by " + toText(by));
        }
    }
}

void Promises::checkEdit()
{
    const auto at = site_.editedAt();
    const std::string route = site_.newestRoute();
    if (route.empty() || route == checkedRoute_ || steadyNow() < at + knownWithin)
        return;
    checkedRoute_ = route;
    for (const auto &instance : site_.fleet().instances_) {
        if (!wasCalm(instance->entry(), at))
            continue;
        const auto answer = site_.fleet().send(*instance, route, "edit-" + route + instance->name_);
        if (!wasCalm(instance->entry(), at) || !answer)
            continue;
        judge(Promise::EditsInForce);
        if (answer->result() == status::not_found)
            broken(Promise::EditsInForce, route + " at " + instance->name_);
    }
}

/// Who was disturbed when a target ended, or just before, is not bound: any of them may have sent
/// what ended it.
void Promises::checkEnds()
{
    const auto &instances = site_.fleet().instances_;
    for (const auto &[path, times] : site_.ends()) {
        for (std::size_t &seen = endsSeen_[path]; seen < times.size(); ++seen) {
            const auto at = times[seen];
            const bool allCalm
                = std::all_of(instances.begin(), instances.end(), [&](const auto &instance) {
                      return wasCalm(instance->entry(), at);
                  });
            if (seen < endsToKnow || at <= times[endsToKnow - 1] + calmBefore || !allCalm)
                continue;
            if (++lateEnds_[path] > mostLateEnds)
                broken(Promise::EndingRequests, path);
        }
    }
}

/// Requests under which targets ended before, that came when this was known.
void Promises::countJudgedEnding()
{
    const auto ends = site_.ends();
    for (; recordsSeen_ < records_.size(); ++recordsSeen_) {
        const Record &record = records_[recordsSeen_];
        const auto found = ends.find(record.endingPath_);
        if (found == ends.end() || found->second.size() < endsToKnow)
            continue;
        const auto known = found->second[endsToKnow - 1] + calmBefore;
        if (record.sentAt_ > known && wasCalm(record.entry_, record.sentAt_))
            judge(Promise::EndingRequests);
    }
}

double Promises::servedSince(SteadyTime from) const
{
    double served = 0;
    double sent = 0;
    for (const auto &record : records_) {
        if (record.sentAt_ < from || record.endsTargets())
            continue;
        sent += 1;
        served += record.status_ == 200 ? 1 : 0;
    }
    return sent > 0 ? served / sent : 0;
}

} // namespace Soak
