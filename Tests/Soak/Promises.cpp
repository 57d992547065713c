#include "Promises.h"

#include <algorithm>

namespace Soak {

using Http::http::status;
using Model::Milliseconds;
using Model::SteadyTime;

namespace {

/// Time bounds apply only after this duration without disturbance.
constexpr Milliseconds requiredCalm{4000};
/// Every instance must apply a target's leave and a table edit within this time.
constexpr Milliseconds propagationLimit{2500};
/// Look-ups may return a stopped instance for at most this long.
constexpr Milliseconds staleLookupLimit{7000};
/// The routes' timeout, and the tolerated delay of an answer beyond it.
constexpr Milliseconds timeout{1500};
constexpr Milliseconds answerSlack{500};
/// Crashes after which a poison request must be identified, and the crashes tolerated after that.
constexpr std::size_t crashesToIdentify = 3;
constexpr int maxLateCrashes = 3;

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
    case Promise::AnswerMatchesRequest:
        return "each caller gets the answer to its own request";
    case Promise::ValidRequestsAreAccepted:
        return "valid requests are accepted";
    case Promise::AnswersInTime:
        return "an answer comes within the route's timeout";
    case Promise::AtMostOnce:
        return "a request that must not be repeated runs at most once";
    case Promise::NotRunIsTrue:
        return "a request reported as not run has not run";
    case Promise::LeavingTargets:
        return "a leaving target receives no new requests";
    case Promise::LookupsOmitStoppedInstances:
        return "a stopped instance is not returned by look-ups";
    case Promise::EditsInForce:
        return "an edit is in force at every instance";
    case Promise::PoisonRequests:
        return "a poison request is kept from targets";
    case Promise::PausesAreKept:
        return "a target that asked for a pause receives no requests";
    case Promise::AnnouncedLeavesAreKept:
        return "a target that announced its leave in an answer receives no new requests";
    }
    return "";
}

Promises::Promises(SoakSite &site, Callers &callers)
    : site_(site)
    , callers_(callers)
    , terms_(site)
{
}

void Promises::reportBroken(Promise promise, const std::string &what)
{
    violations_.push_back(std::string(toText(promise)) + ": " + what);
}

/// Tells whether instance and store were undisturbed from requiredCalm before \a from until now.
bool Promises::wasCalm(const Model::Address &entry, SteadyTime from) const
{
    const auto instance = site_.calmSince(entry);
    const auto store = site_.storeCalmSince();
    return instance && store && std::max(*instance, *store) + requiredCalm <= from;
}

/// Tells whether an instance must send nothing at \a at to a target that left at \a leftAt: the
/// store was undisturbed when it recorded the leave, and the instance and its connection to the
/// target have been undisturbed for long enough.
bool Promises::isBoundBy(const Model::Address &entry, SteadyTime leftAt, SteadyTime at,
                         std::size_t target) const
{
    const auto instance = site_.calmSince(entry);
    const auto store = site_.storeCalmSince();
    const auto way = site_.targetWayCalmSince(target);
    return callers_.isOnTime() && instance && store && way && at >= leftAt + propagationLimit
           && *store + requiredCalm <= leftAt && std::max(*instance, *way) + requiredCalm <= at;
}

std::vector<std::string> Promises::check()
{
    for (auto &record : callers_.take()) {
        checkAnswer(record);
        checkTime(record);
        if (promisesNotRun(record.status_)) {
            judge(Promise::NotRunIsTrue);
            reportedNotRun_.push_back(record.id_);
        }
        if (!record.mayRepeat_)
            judge(Promise::AtMostOnce);
        records_.push_back(std::move(record));
    }
    checkRuns();
    checkLeaving();
    checkNames();
    checkEdit();
    checkCrashes();
    countJudgedPoisonRequests();
    return std::exchange(violations_, {});
}

void Promises::checkAnswer(const Record &record)
{
    const std::string what
        = record.id_ + " " + std::to_string(record.status_) + " by " + toText(record.entry_);
    if (record.status_ == 200)
        judge(Promise::AnswerMatchesRequest);
    if (record.status_ > 0)
        judge(Promise::ValidRequestsAreAccepted);
    if (record.status_ == 200 && !record.isBodyForId_)
        reportBroken(Promise::AnswerMatchesRequest, what);
    if (record.status_ >= 400 && record.status_ < 500 && !promisesNotRun(record.status_))
        reportBroken(Promise::ValidRequestsAreAccepted, what);
}

void Promises::checkTime(const Record &record)
{
    const auto took = record.endedAt_ - record.sentAt_;
    const bool isJudged = callers_.isOnTime() && wasCalm(record.entry_, record.sentAt_)
                          && record.stage_ != Http::ExchangeStage::NotConnected;
    if (isJudged)
        judge(Promise::AnswersInTime);
    if (isJudged && took > timeout + answerSlack) {
        const auto ms = std::chrono::duration_cast<Milliseconds>(took).count();
        reportBroken(Promise::AnswersInTime, record.id_ + " after " + std::to_string(ms) + " ms");
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
            reportBroken(Promise::AtMostOnce, record.id_);
    }
    for (const auto &id : reportedNotRun_) {
        if (runs[id] > 0)
            reportBroken(Promise::NotRunIsTrue, id);
    }
}

void Promises::checkLeaving()
{
    const auto &targets = site_.fleet().targets_;
    for (std::size_t i = 0; i < targets.size(); ++i) {
        std::vector<PlatformStandIns::Arrival> all = targets[i]->takeRefusals();
        for (const auto &arrival : targets[i]->takeArrivals()) {
            checkArrival(arrival, i);
            all.push_back(arrival);
        }
        std::sort(all.begin(), all.end(), [](const auto &a, const auto &b) {
            return a.at_ < b.at_;
        });
        for (const auto &arrival : all)
            terms_.note(arrival, callers_.isOnTime());
    }
    countJudgedLeaves();
    checkTerms();
}

void Promises::checkTerms()
{
    for (const auto &violation : terms_.takeViolations()) {
        reportBroken(violation.isPause_ ? Promise::PausesAreKept : Promise::AnnouncedLeavesAreKept,
                     violation.what_);
    }
    judged_[static_cast<std::size_t>(Promise::PausesAreKept)] = terms_.judgedPauses();
    judged_[static_cast<std::size_t>(Promise::AnnouncedLeavesAreKept)] = terms_.judgedLeaves();
}

void Promises::checkArrival(const PlatformStandIns::Arrival &arrival, std::size_t target)
{
    const auto left = site_.leftAt().find(arrival.run_);
    const auto through = Model::addressFromText(arrival.viaEntry_);
    if (left == site_.leftAt().end() || !through
        || !isBoundBy(*through, left->second, arrival.at_, target))
        return;
    const auto after = std::chrono::duration_cast<Milliseconds>(arrival.at_ - left->second);
    reportBroken(Promise::LeavingTargets,
                 arrival.request_ + " reached " + arrival.run_ + " through " + arrival.viaEntry_
                     + " " + std::to_string(after.count()) + " ms after its leave");
}

/// Counts each instance that is bound by a leave while the target keeps serving, whether or not the
/// instance sends it anything.
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
    for (const auto &named : callers_.takeLookupResults()) {
        Model::Address by = named.by_;
        by.port_ = 8144;
        if (!wasCalm(by, named.at_))
            continue;
        if (site_.isAnyDownFor(staleLookupLimit, named.at_))
            judge(Promise::LookupsOmitStoppedInstances);
        for (const auto &entry : named.entries_) {
            const auto downAt = site_.downSince(entry);
            if (downAt && named.at_ > *downAt + staleLookupLimit)
                reportBroken(Promise::LookupsOmitStoppedInstances, entry + " by " + toText(by));
        }
    }
}

void Promises::checkEdit()
{
    const auto at = site_.editedAt();
    const std::string route = site_.newestRoute();
    if (route.empty() || route == checkedRoute_ || steadyNow() < at + propagationLimit)
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
            reportBroken(Promise::EditsInForce, route + " at " + instance->name_);
    }
}

/// Instances disturbed at or just before a target's crash are not bound: any of them may have sent
/// the request that caused it.
void Promises::checkCrashes()
{
    const auto &instances = site_.fleet().instances_;
    for (const auto &[path, times] : site_.crashTimes()) {
        for (std::size_t &seen = checkedCrashes_[path]; seen < times.size(); ++seen) {
            const auto at = times[seen];
            const bool allCalm
                = std::all_of(instances.begin(), instances.end(), [&](const auto &instance) {
                      return wasCalm(instance->entry(), at);
                  });
            if (seen < crashesToIdentify || at <= times[crashesToIdentify - 1] + requiredCalm
                || !allCalm)
                continue;
            if (++lateCrashes_[path] > maxLateCrashes)
                reportBroken(Promise::PoisonRequests, path);
        }
    }
}

/// Counts poison requests that arrive after they should have been identified.
void Promises::countJudgedPoisonRequests()
{
    const auto ends = site_.crashTimes();
    for (; checkedRecords_ < records_.size(); ++checkedRecords_) {
        const Record &record = records_[checkedRecords_];
        const auto found = ends.find(record.poisonPath_);
        if (found == ends.end() || found->second.size() < crashesToIdentify)
            continue;
        const auto known = found->second[crashesToIdentify - 1] + requiredCalm;
        if (record.sentAt_ > known && wasCalm(record.entry_, record.sentAt_))
            judge(Promise::PoisonRequests);
    }
}

double Promises::servedSince(SteadyTime from) const
{
    double served = 0;
    double sent = 0;
    for (const auto &record : records_) {
        if (record.sentAt_ < from || record.isPoison())
            continue;
        sent += 1;
        served += record.status_ == 200 ? 1 : 0;
    }
    return sent > 0 ? served / sent : 0;
}

} // namespace Soak
