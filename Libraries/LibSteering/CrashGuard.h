#pragma once

#include "RequestContext.h"
#include "TargetRegistry.h"

#include <map>
#include <string>
#include <vector>

namespace Steering {

/// A quarantine decision as stored in the store.
struct QuarantineRecord
{
    Policy::RequestFingerprint fingerprint_;
    /// std::nullopt if the record is to be removed.
    std::optional<std::string> text_;
};

/// Withholds requests that crash targets from further targets.
///
/// Thread safety: none; belongs to one thread.
class CrashGuard
{
public:
    CrashGuard(const PlatformPort &port, Observe::DecisionLog &log);

    /// Returns why \a request may not be sent to a target now, or std::nullopt if it may. A
    /// request that may be sent must be passed to release() after its last attempt.
    std::optional<Refusal> check(RequestContext &request, Model::SteadyTime now);
    void release(RequestContext &request);

    /// Records that the connection to \a target broke while \a request was in progress there.
    /// Returns whether the caller must probe if the target still listens, and pass the result to
    /// noteListening().
    bool noteLost(RequestContext &request, const std::shared_ptr<TargetState> &target,
                  Model::SteadyTime now);
    /// Records that this instance cancelled \a request: if the target turns out to have crashed,
    /// the request counts as in progress there.
    void noteCancelled(RequestContext &request, const std::shared_ptr<TargetState> &target,
                       Model::SteadyTime now);
    void noteListening(TargetState &target, Http::Listening listening, Model::SteadyTime now);
    /// Records that an incarnation of a target has ended: no process, or another incarnation,
    /// listens at its address.
    void noteEnded(TargetState &target, Model::SteadyTime now);
    /// Records that a target processed \a request and answered.
    void noteAnswered(RequestContext &request, Model::SteadyTime now);

    /// Finds targets that another incarnation replaced, and makes the quarantine decisions that are
    /// due. Called every tick.
    void judge(Model::SteadyTime now);

    Policy::CrashUpdate news(Model::SteadyTime now) const
    {
        return Policy::crashUpdateFrom(crashRecords_, now);
    }
    /// Merges a peer's update. A peer for which \a isPeerReady holds has complete crash records.
    void hear(const Policy::CrashUpdate &news, bool isPeerReady, Model::SteadyTime now);

    /// Returns whether the instance has received the list of quarantined requests, or has waited
    /// for it long enough.
    bool isInformed() const { return isInformed_; }
    void setInformed() { isInformed_ = true; }
    /// Merges the store's records, and has unreadable and expired ones removed there. \a wallNow is
    /// the wall clock's time at \a now.
    void mergeQuarantineRecords(const std::map<std::string, std::string> &records,
                                Model::SteadyTime now, Model::WallTime wallNow);
    /// Returns the records that are yet to be written to the store, each once.
    std::vector<QuarantineRecord> takeUnwritten(Model::SteadyTime now, Model::WallTime wallNow);
    /// Has takeUnwritten() return the records of all known quarantines again.
    void requeueAllWrites();
    /// Has takeUnwritten() return a record again that the store failed to write.
    void requeueWrite(const Policy::RequestFingerprint &fingerprint)
    {
        unwrittenRecords_.push_back(fingerprint);
    }

    /// Returns, as JSON, the quarantined requests and those that were in progress at crashes.
    std::string listText(Model::SteadyTime now) const;
    /// Releases a request from quarantine for an operator. Returns false, with UnknownRow as the
    /// last reason, if no quarantine is in force.
    bool lift(const Policy::RequestFingerprint &fingerprint, Model::SteadyTime now);

    std::size_t quarantined(Model::SteadyTime now) const;
    std::uint64_t endedTargets() const { return endedTargets_; }
    std::uint64_t verdicts() const { return verdicts_; }
    std::uint64_t kept() const { return kept_; }

private:
    void recordLoss(RequestContext &request, const std::shared_ptr<TargetState> &target,
                    Model::SteadyTime now);
    void findReplacedTargets(Model::SteadyTime now);
    void applyDecisions(const Policy::QuarantineChanges &verdicts, Model::SteadyTime now);
    void logLifted(const Policy::RequestFingerprint &fingerprint, const char *by);

    const PlatformPort &port_;
    Observe::DecisionLog &log_;
    Policy::CrashRecords crashRecords_;
    Policy::CrashView view_;
    Model::SteadyTime evaluatedAt_ = Model::distantPast;
    /// Targets that recently lost requests.
    std::vector<std::shared_ptr<TargetState>> targetsWithLosses_;
    /// Names of the requests that were lost on this instance.
    Policy::RequestNames requestNames_;
    std::vector<Policy::RequestFingerprint> unwrittenRecords_;
    bool isProbeSlotTaken_ = false;
    bool isInformed_ = false;
    std::uint64_t endedTargets_ = 0;
    std::uint64_t verdicts_ = 0;
    std::uint64_t kept_ = 0;
};

} // namespace Steering
