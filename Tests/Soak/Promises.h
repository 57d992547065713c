#pragma once

#include "Callers.h"
#include "SoakSite.h"

#include <array>

namespace Soak {

/// What the system promises.
enum class Promise {
    OwnAnswers,
    ProperRequestsAreTaken,
    AnswersInTime,
    AtMostOnce,
    NotRunIsTrue,
    LeavingTargets,
    NamesOfTheGone,
    EditsInForce,
    EndingRequests,
};
constexpr std::size_t promiseCount = 9;

/// Returns the promise in words. Thread safety: any thread.
const char *toText(Promise promise);

/// How often each promise was judged, by its number. A check that excuses everything passes every
/// run; its count shows it.
using JudgedCounts = std::array<std::size_t, promiseCount>;

/// What callers were told and what targets did, held against what the system promises.
///
/// Thread safety: none.
class Promises
{
public:
    Promises(SoakSite &site, Callers &callers);

    /// Checks what happened since the last call; returns what broke a promise.
    std::vector<std::string> check();
    /// The part of the requests since \a from that a target answered.
    double servedSince(Model::SteadyTime from) const;
    std::size_t requests() const { return records_.size(); }
    const JudgedCounts &judged() const { return judged_; }

private:
    void checkAnswer(const Record &record);
    void checkTime(const Record &record);
    void checkRuns();
    void checkLeaving();
    void checkArrival(const PlatformStandIns::Arrival &arrival, std::size_t target);
    void countJudgedLeaves();
    void checkNames();
    void checkEdit();
    void checkEnds();
    void countJudgedEnding();
    bool wasCalm(const Model::Address &entry, Model::SteadyTime from) const;
    bool isBoundBy(const Model::Address &entry, Model::SteadyTime leftAt, Model::SteadyTime at,
                   std::size_t target) const;
    void judge(Promise promise) { ++judged_[static_cast<std::size_t>(promise)]; }
    void broken(Promise promise, const std::string &what);

    SoakSite &site_;
    Callers &callers_;
    std::vector<Record> records_;
    JudgedCounts judged_{};
    /// Requests of which callers were told that they have not run and never will.
    std::vector<std::string> toldNotRun_;
    /// Leaves that were judged, each by the run that left and the instance.
    std::set<std::pair<std::string, std::string>> judgedLeaves_;
    /// Ends of targets under each request that were looked at, and those that came too late.
    std::map<std::string, std::size_t> endsSeen_;
    std::map<std::string, int> lateEnds_;
    std::size_t recordsSeen_ = 0;
    std::string checkedRoute_;
    std::vector<std::string> found_;
};

} // namespace Soak
