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
/// Times are judged only where this program itself was at most so late.
constexpr Milliseconds latenessBorne{150};

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

Promises::Promises(SoakSite &site, Callers &callers)
    : site_(site)
    , callers_(callers)
{
}

void Promises::broken(const std::string &promise, const std::string &what)
{
    found_.push_back(promise + ": " + what);
}

/// Nothing was done to the instance or to the store from a while before \a from until now.
bool Promises::wasCalm(const Model::Address &entry, SteadyTime from) const
{
    const auto instance = site_.calmSince(entry);
    const auto store = site_.storeCalmSince();
    return instance && store && std::max(*instance, *store) + calmBefore <= from;
}

/// The store was calm when it took it that a target leaves, and the instance is when requests are
/// judged: it may have been disturbed when the target left.
bool Promises::isBoundBy(const Model::Address &entry, SteadyTime leftAt) const
{
    const auto instance = site_.calmSince(entry);
    const auto store = site_.storeCalmSince();
    return instance && store && *store + calmBefore <= leftAt
           && *instance + calmBefore <= leftAt + knownWithin;
}

std::vector<std::string> Promises::check()
{
    for (auto &record : callers_.take()) {
        checkAnswer(record);
        checkTime(record);
        if (promisesNotRun(record.status_))
            toldNotRun_.push_back(record.id_);
        records_.push_back(std::move(record));
    }
    checkRuns();
    checkLeaving();
    checkNames();
    checkEdit();
    checkEnds();
    return std::exchange(found_, {});
}

void Promises::checkAnswer(const Record &record)
{
    const std::string what
        = record.id_ + " " + std::to_string(record.status_) + " by " + toText(record.entry_);
    if (record.status_ == 200 && !record.isOwnBody_)
        broken("each caller gets the answer to its own request", what);
    if (record.status_ >= 400 && record.status_ < 500 && !promisesNotRun(record.status_))
        broken("proper requests are taken", what);
}

void Promises::checkTime(const Record &record)
{
    const auto took = record.endedAt_ - record.sentAt_;
    const bool isJudged = callers_.lateness() <= latenessBorne
                          && wasCalm(record.entry_, record.sentAt_)
                          && record.stage_ != Http::ExchangeStage::NotConnected;
    if (isJudged && took > timeout + heldSlack) {
        const auto ms = std::chrono::duration_cast<Milliseconds>(took).count();
        broken("an answer comes within the route's timeout",
               record.id_ + " after " + std::to_string(ms) + " ms");
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
            broken("what must not repeat runs at most once", record.id_);
    }
    for (const auto &id : toldNotRun_) {
        if (runs[id] > 0)
            broken("what was told not to have run has not run", id);
    }
}

void Promises::checkLeaving()
{
    const auto now = steadyNow();
    for (const auto &left : site_.leftAt()) {
        const auto &id = left.first;
        const auto at = left.second;
        if (now < at + knownWithin)
            continue;
        for (const auto &target : site_.fleet().targets_) {
            if (target->id() != id)
                continue;
            const auto runs = target->runCount();
            const auto [known, isFirst] = runsWhenKnown_.emplace(id, runs);
            const auto &instances = site_.fleet().instances_;
            const bool allCalm
                = std::all_of(instances.begin(), instances.end(), [&](const auto &instance) {
                      return isBoundBy(instance->entry(), at);
                  });
            if (!isFirst && allCalm && runs > known->second)
                broken("a leaving target gets no new work", id);
            known->second = runs;
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
        for (const auto &entry : named.entries_) {
            const auto gone = site_.goneSince(entry);
            if (gone && named.at_ > *gone + namedWithin)
                broken("what is gone is not named", entry + " by " + toText(by));
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
        if (wasCalm(instance->entry(), at) && answer && answer->result() == status::not_found)
            broken("an edit is in force everywhere", route + " at " + instance->name_);
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
                broken("a request under which targets end is kept from them", path);
        }
    }
}

double Promises::servedSince(SteadyTime from) const
{
    double served = 0;
    double sent = 0;
    for (const auto &record : records_) {
        if (record.sentAt_ < from || record.endsTargets_)
            continue;
        sent += 1;
        served += record.status_ == 200 ? 1 : 0;
    }
    return sent > 0 ? served / sent : 0;
}

} // namespace Soak
