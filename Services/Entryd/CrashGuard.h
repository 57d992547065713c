#pragma once

#include "CallerRequest.h"
#include "TargetState.h"

#include <LibConcurrency/LibConcurrency.h>
#include <LibHttp/LibHttp.h>

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

namespace Entryd {

/// Keeps requests under which targets end from further targets, for all threads of the entry.
///
/// Requests are checked against an immutable view; the lock is taken only where a connection broke
/// or a suspect was answered. Thread safety: any thread, but step() belongs to one.
class CrashGuard
{
public:
    /// Returns when a request that may not be sent to a target now is to come back, or nothing if
    /// it may be sent; it is to be released when it is done with targets. \a attempts says how many
    /// were made. Precondition: the calling thread has an RcuReader.
    std::optional<Model::Milliseconds> check(CallerRequest &request, int attempts,
                                             Model::SteadyTime now);
    void release(CallerRequest &request);

    /// Takes in that the connection to \a target broke while \a request was in progress there.
    /// Returns whether the target is to be asked if it still listens; noteListening() takes the
    /// answer.
    bool noteLost(CallerRequest &request, const TargetState &target, Model::SteadyTime now);
    void noteListening(const TargetState &target, Http::Listening listening, Model::SteadyTime now);
    /// Takes in that \a target answered, whatever it was asked: if it is another run by now, the
    /// one before has ended.
    void noteAlive(const TargetState &target, Model::SteadyTime now);
    /// Takes in that a target has worked on \a request and answered.
    /// Precondition: the calling thread has an RcuReader.
    void noteAnswered(CallerRequest &request, Model::SteadyTime now);

    /// Makes the verdicts that are due and publishes what requests are checked against.
    void step(Model::SteadyTime now);
    /// Takes in what the control process told.
    void hear(const Policy::CrashNews &news, Model::SteadyTime now);
    Policy::CrashNews news(Model::SteadyTime now) const;
    /// Returns a number that grows with each change of what others should hear.
    std::uint64_t changes() const { return changes_; }

    /// Returns, as JSON, the requests in quarantine.
    std::string listText() const;
    /// Lifts a quarantine for an operator. Returns false, with UnknownRow as the last reason, if
    /// there is none in force.
    bool lift(const Policy::RequestPrint &print);

    std::uint64_t kept() const { return kept_; }
    std::uint64_t endedTargets() const { return endedTargets_; }
    std::size_t quarantined() const;

private:
    /// Requests that lost their connection to one run of a target.
    struct Losses
    {
        Model::Incarnation incarnation_;
        std::vector<Policy::RequestPrint> prints_;
        Model::SteadyTime lostAt_;
        bool isKnockedAt_ = false;
        bool hasEnded_ = false;
    };

    void recordEnd(const TargetState &target, Losses &losses, Model::SteadyTime now);
    bool mayBeSuspect(CallerRequest &request) const;

    mutable std::mutex mutex_;
    Policy::CrashBook book_;
    std::map<Model::TargetId, Losses> losses_;
    Policy::RequestNames names_;
    Model::SteadyTime judgedAt_ = Model::longAgo;
    bool isStale_ = false;
    Concurrency::RcuCell<Policy::CrashView> view_;
    std::atomic<bool> isEmpty_{true};
    std::atomic<bool> hasLosses_{false};
    std::atomic<bool> isTrialHeld_{false};
    std::atomic<std::uint64_t> changes_{0};
    std::atomic<std::uint64_t> kept_{0};
    std::atomic<std::uint64_t> endedTargets_{0};
};

} // namespace Entryd
