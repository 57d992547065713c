#pragma once

#include "CrashEvidence.h"

namespace Policy {

/// A crashed incarnation as exchanged between instances.
struct CrashReport
{
    TargetIncarnationKey run_;
    /// Time since the crash.
    Model::Milliseconds age_{0};
    std::vector<Suspect> suspects_;
};

/// A quarantine decision as exchanged between instances.
struct QuarantineReport
{
    RequestFingerprint fingerprint_;
    std::uint32_t generation_ = 1;
    std::uint32_t lifted_ = 0;
    /// Time since the decision.
    Model::Milliseconds age_{0};
};

struct CrashUpdate
{
    std::vector<CrashReport> runs_;
    std::vector<QuarantineReport> quarantines_;

    bool isEmpty() const { return runs_.empty() && quarantines_.empty(); }
};

/// Upper bounds on the entries of one message.
constexpr std::size_t maxCrashesInUpdate = 24;
constexpr std::size_t maxQuarantinesInUpdate = 64;
/// Changes to a crashed incarnation are sent for this duration, in which they reach all instances.
/// Quarantines are sent for as long as they are recorded, so they also reach an instance that
/// starts or was partitioned off.
constexpr Model::Milliseconds crashSendTime{6000};

/// Returns the update on \a records to send to other instances. Thread safety: any thread.
CrashUpdate crashUpdateFrom(const CrashRecords &records, Model::SteadyTime now);

/// Merges an update from another instance; entries beyond the limits of a message are ignored.
/// Idempotent and independent of the order of updates. Returns whether anything changed.
/// Thread safety: \a records belongs to the calling thread.
bool takeIn(CrashRecords &records, const CrashUpdate &update, Model::SteadyTime now);

} // namespace Policy
