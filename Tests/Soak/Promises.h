#pragma once

#include "Callers.h"
#include "SoakSite.h"
#include "TermPromises.h"

#include <array>

namespace Soak {

/// The guarantees of the system.
enum class Promise {
    AnswerMatchesRequest,
    ValidRequestsAreAccepted,
    AnswersInTime,
    AtMostOnce,
    NotRunIsTrue,
    LeavingTargets,
    LookupsOmitStoppedInstances,
    EditsInForce,
    PoisonRequests,
    PausesAreKept,
    AnnouncedLeavesAreKept,
};
constexpr std::size_t promiseCount = 11;

/// Returns a description of \a promise. Thread safety: any thread.
const char *toText(Promise promise);

/// How often each promise was checked, by its number. A count of zero reveals a check whose
/// exemptions cover every case.
using JudgedCounts = std::array<std::size_t, promiseCount>;

/// Compares the answers that callers received and the requests that targets ran with the promises.
///
/// Thread safety: none.
class Promises
{
public:
    Promises(SoakSite &site, Callers &callers);

    /// Checks the events since the last call; returns the violations.
    std::vector<std::string> check();
    /// Returns the fraction of the requests since \a from that a target answered.
    double servedSince(Model::SteadyTime from) const;
    std::size_t requests() const { return records_.size(); }
    const JudgedCounts &judged() const { return judged_; }

private:
    void checkAnswer(const Record &record);
    void checkTime(const Record &record);
    void checkRuns();
    void checkLeaving();
    void checkTerms();
    void checkArrival(const PlatformStandIns::Arrival &arrival, std::size_t target);
    void countJudgedLeaves();
    void checkNames();
    void checkEdit();
    void checkCrashes();
    void countJudgedPoisonRequests();
    bool wasCalm(const Model::Address &entry, Model::SteadyTime from) const;
    bool isBoundBy(const Model::Address &entry, Model::SteadyTime leftAt, Model::SteadyTime at,
                   std::size_t target) const;
    void judge(Promise promise) { ++judged_[static_cast<std::size_t>(promise)]; }
    void reportBroken(Promise promise, const std::string &what);

    SoakSite &site_;
    Callers &callers_;
    std::vector<Record> records_;
    JudgedCounts judged_{};
    TermPromises terms_;
    /// Requests reported to callers as not run and never to be run.
    std::vector<std::string> reportedNotRun_;
    /// Checked leaves: the target incarnation that left and the bound instance.
    std::set<std::pair<std::string, std::string>> judgedLeaves_;
    /// Target crashes checked for each poison request, and those after its quarantine was due.
    std::map<std::string, std::size_t> checkedCrashes_;
    std::map<std::string, int> lateCrashes_;
    std::size_t checkedRecords_ = 0;
    std::string checkedRoute_;
    std::vector<std::string> violations_;
};

} // namespace Soak
