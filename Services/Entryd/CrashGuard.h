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

/// Stops poison requests, which crash the targets that process them, from reaching further targets.
/// All threads of the entry share one guard.
///
/// Requests are checked against an immutable view; the lock is taken only when a connection breaks
/// or a suspect request is answered. Thread safety: any thread, but step() only from a single one.
class CrashGuard
{
public:
    /// Returns the retry delay of a request that may not be sent to a target now, or std::nullopt
    /// if it may be sent. The caller must call releaseProbe() after the last attempt. \a attempts
    /// is the number of attempts made so far. Precondition: the calling thread has an RcuReader.
    std::optional<Model::Milliseconds> check(CallerRequest &request, int attempts,
                                             Model::SteadyTime now);
    void releaseProbe(CallerRequest &request);

    /// Records that the connection to \a target broke while \a request was in progress there.
    /// Returns whether the caller must check if the target still listens and pass the result to
    /// noteListening().
    bool noteLost(CallerRequest &request, const TargetState &target, Model::SteadyTime now);
    void noteListening(const TargetState &target, Http::Listening listening, Model::SteadyTime now);
    /// Records that \a target answered any request: a new incarnation means that the previous one
    /// has crashed.
    void noteAlive(const TargetState &target, Model::SteadyTime now);
    /// Records that a target processed and answered \a request.
    /// Precondition: the calling thread has an RcuReader.
    void noteAnswered(CallerRequest &request, Model::SteadyTime now);

    /// Makes the quarantine decisions that are due and publishes the view that check() reads.
    void step(Model::SteadyTime now);
    /// Applies a crash update received from the control process.
    void applyUpdate(const Policy::CrashUpdate &update, Model::SteadyTime now);
    Policy::CrashUpdate makeUpdate(Model::SteadyTime now) const;
    /// Returns a counter that grows with each change that peers should receive.
    std::uint64_t changes() const { return changes_; }

    /// Returns the quarantined requests as JSON.
    std::string listText() const;
    /// Releases a quarantine on an operator's command. Returns false, with UnknownRow as the last
    /// reason, if none is in force.
    bool releaseQuarantine(const Policy::RequestFingerprint &fingerprint);

    std::uint64_t refusedRequests() const { return refusedRequests_; }
    std::uint64_t crashedTargets() const { return crashedTargets_; }
    std::size_t quarantined() const;

private:
    /// The requests that lost their connection to one incarnation of a target.
    struct LostConnections
    {
        Model::Incarnation incarnation_;
        std::vector<Policy::RequestFingerprint> fingerprints_;
        Model::SteadyTime lostAt_;
        bool isListenCheckPending_ = false;
        bool hasCrashed_ = false;
    };

    void recordCrash(const TargetState &target, LostConnections &losses, Model::SteadyTime now);
    bool mayBeSuspect(CallerRequest &request) const;

    mutable std::mutex mutex_;
    Policy::CrashRecords crashRecords_;
    std::map<Model::TargetId, LostConnections> losses_;
    Policy::RequestNames names_;
    Model::SteadyTime reviewedAt_ = Model::distantPast;
    bool isStale_ = false;
    Concurrency::RcuCell<Policy::CrashView> view_;
    std::atomic<bool> isEmpty_{true};
    std::atomic<bool> hasLosses_{false};
    std::atomic<bool> isProbeInProgress_{false};
    std::atomic<std::uint64_t> changes_{0};
    std::atomic<std::uint64_t> refusedRequests_{0};
    std::atomic<std::uint64_t> crashedTargets_{0};
};

} // namespace Entryd
