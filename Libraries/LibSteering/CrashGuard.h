#pragma once

#include "Job.h"
#include "TargetBook.h"

#include <map>
#include <string>
#include <vector>

namespace Steering {

/// A verdict as it stands in the store.
struct QuarantineRecord
{
    Policy::RequestPrint print_;
    /// Nothing if the record is to be removed.
    std::optional<std::string> text_;
};

/// Keeps requests under which targets end from further targets.
///
/// Thread safety: none; belongs to one thread.
class CrashGuard
{
public:
    CrashGuard(const PlatformPort &port, Observe::DecisionLog &log);

    /// Returns why \a job may not be sent to a target now, if so. A job that may be is to be
    /// released when it is done with targets.
    std::optional<Refusal> check(Job &job, Model::SteadyTime now);
    void release(Job &job);

    /// Takes in that the connection to \a target broke while \a job was in progress there. Returns
    /// whether the target is to be asked if it still listens; noteListening() takes the answer.
    bool noteLost(Job &job, const std::shared_ptr<TargetState> &target, Model::SteadyTime now);
    /// Takes in that this instance itself broke \a job off: should the target turn out to have
    /// ended, it was in progress there.
    void noteBrokenOff(Job &job, const std::shared_ptr<TargetState> &target, Model::SteadyTime now);
    void noteListening(TargetState &target, Http::Listening listening, Model::SteadyTime now);
    /// Takes in that a run of a target is over: nothing, or another run, listens at its address.
    void noteEnded(TargetState &target, Model::SteadyTime now);
    /// Takes in that a target has worked on \a job and answered.
    void noteAnswered(Job &job, Model::SteadyTime now);

    /// Finds targets whose place another run has taken, and makes the verdicts that are due. Called
    /// every tick.
    void judge(Model::SteadyTime now);

    Policy::CrashNews news(Model::SteadyTime now) const { return Policy::newsOf(book_, now); }
    /// Takes in a peer's news; one that is \a isPeerReady knows what there is to know.
    void hear(const Policy::CrashNews &news, bool isPeerReady, Model::SteadyTime now);

    /// Tells whether the instance has heard which requests are in quarantine, or waited for it
    /// long enough.
    bool isInformed() const { return isInformed_; }
    void setInformed() { isInformed_ = true; }
    /// Takes in the store's records; those that cannot be read, or that have lapsed, are removed
    /// there. \a wallNow is the wall clock's time at \a now.
    void takeRecords(const std::map<std::string, std::string> &records, Model::SteadyTime now,
                     Model::WallTime wallNow);
    /// Returns the records that the store is to have, each once.
    std::vector<QuarantineRecord> takeUnwritten(Model::SteadyTime now, Model::WallTime wallNow);
    /// Has a record returned once more that the store did not take.
    void writeAgain(const Policy::RequestPrint &print) { unwritten_.push_back(print); }

    /// Returns, as JSON, the requests in quarantine and those that were in progress at ends.
    std::string listText(Model::SteadyTime now) const;
    /// Lifts a quarantine for an operator. Returns false, with UnknownRow as the last reason, if
    /// there is none in force.
    bool lift(const Policy::RequestPrint &print, Model::SteadyTime now);

    std::size_t quarantined(Model::SteadyTime now) const;
    std::uint64_t endedTargets() const { return endedTargets_; }
    std::uint64_t verdicts() const { return verdicts_; }
    std::uint64_t kept() const { return kept_; }

private:
    void remember(Job &job, const std::shared_ptr<TargetState> &target, Model::SteadyTime now);
    void findSucceeded(Model::SteadyTime now);
    void noteVerdicts(const Policy::Verdicts &verdicts, Model::SteadyTime now);
    void logLifted(const Policy::RequestPrint &print, const char *by);

    const PlatformPort &port_;
    Observe::DecisionLog &log_;
    Policy::CrashBook book_;
    Policy::CrashView view_;
    Model::SteadyTime judgedAt_ = Model::longAgo;
    /// Targets that lost requests of late.
    std::vector<std::shared_ptr<TargetState>> lossy_;
    /// Of requests that were lost here.
    Policy::RequestNames names_;
    std::vector<Policy::RequestPrint> unwritten_;
    bool isTrialHeld_ = false;
    bool isInformed_ = false;
    std::uint64_t endedTargets_ = 0;
    std::uint64_t verdicts_ = 0;
    std::uint64_t kept_ = 0;
};

} // namespace Steering
