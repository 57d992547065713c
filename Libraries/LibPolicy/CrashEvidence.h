#pragma once

#include "RequestFingerprint.h"

#include <LibModel/LibModel.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Policy {

/// Identifies one incarnation of a target: a hash of the target's id and its incarnation.
using TargetIncarnationKey = Model::StrongNumber<struct TargetIncarnationKeyTag, std::uint64_t>;

/// Returns the key of an incarnation of a target. Thread safety: any thread.
TargetIncarnationKey targetIncarnationKeyOf(const Model::TargetId &target,
                                            Model::Incarnation incarnation);

/// A request that was in progress when an incarnation crashed.
struct Suspect
{
    RequestFingerprint fingerprint_;
    /// A target has answered it since, so it does not crash targets. Never reset.
    bool isCleared_ = false;
};

/// An incarnation of a target that ended without announcing it.
struct CrashedIncarnation
{
    Model::SteadyTime endedAt_;
    std::vector<Suspect> suspects_;
    /// When this instance last recorded a change to it.
    Model::SteadyTime changedAt_;
};

/// A request that is withheld from targets because they crashed while processing it.
struct Quarantine
{
    /// Grows with each quarantine decision against the request; the highest one is in force.
    std::uint32_t generation_ = 1;
    /// Decisions up to this generation are released.
    std::uint32_t lifted_ = 0;
    Model::SteadyTime since_;
};

/// The crashed incarnations and quarantined requests that an instance has recorded. Instances merge
/// their records; the order of arrival makes no difference.
///
/// Thread safety: none.
struct CrashRecords
{
    std::map<TargetIncarnationKey, CrashedIncarnation> runs_;
    std::map<RequestFingerprint, Quarantine> quarantines_;
    /// When the evidence against a request first sufficed; the decision follows after settleTime.
    std::map<RequestFingerprint, Model::SteadyTime> pending_;
    /// Set by every change to the records; the code that acts on the change resets it.
    bool isChanged_ = false;
};

/// Upper bounds on the entries of a CrashRecords; beyond them the oldest are dropped.
constexpr std::size_t maxCrashedIncarnations = 128;
constexpr std::size_t maxSuspectsPerCrash = 48;
constexpr std::size_t maxQuarantines = 256;

/// Crashes count as evidence for this duration, and a first quarantine lasts this long from the
/// decision; each further one lasts twice as long, up to maxQuarantineDuration.
constexpr Model::Milliseconds firstQuarantine{600000};
constexpr Model::Milliseconds maxQuarantineDuration{86400000};
/// Incarnations that end within this time count as one crash: targets that are killed or lose power
/// together.
constexpr Model::Milliseconds simultaneousCrashWindow{100};
/// The number of distinct crash times needed to quarantine a request. After a quarantine has
/// expired, one is enough.
constexpr std::size_t crashTimesForQuarantine = 3;
/// After this many crash times a request is sent to one target at a time.
constexpr std::size_t crashTimesForProbe = 2;
/// A request that always crashes targets together with others is quarantined after this many.
constexpr std::size_t crashTimesForSharedQuarantine = 8;
/// Other instances' reports of what else was in progress arrive within this time.
constexpr Model::Milliseconds settleTime{600};
/// Requests that lost their connection to a target are attributed to its crash if the crash is
/// detected within this time.
constexpr Model::Milliseconds connectionLossWindow{3000};
/// Retry delay of a request that waits for the serialized probe of another one.
constexpr Model::Milliseconds serializedProbeRetryDelay{300};
/// Unchanged records are reviewed for expired entries at this interval.
constexpr Model::Milliseconds crashReviewInterval{1000};
/// A quarantine decision can be reconsidered on other instances' reports within this time.
constexpr Model::Milliseconds reconsiderationTime{5000};

/// Records that the incarnation \a crashed ended while requests with \a fingerprints were in
/// progress there. Reports with the same key are merged. Thread safety: \a records belongs to the
/// calling thread.
void noteEnded(CrashRecords &records, TargetIncarnationKey crashed,
               const std::vector<RequestFingerprint> &fingerprints, Model::SteadyTime now);

/// Records that a target answered a request: clears it in all incarnations and releases its
/// quarantine. Returns whether a quarantine was released. Thread safety: as above.
bool noteAnswered(CrashRecords &records, const RequestFingerprint &fingerprint,
                  Model::SteadyTime now);

/// Releases the quarantine of \a fingerprint on an operator's request. Returns whether one was in
/// force. Thread safety: as above.
bool liftQuarantine(CrashRecords &records, const RequestFingerprint &fingerprint,
                    Model::SteadyTime now);

/// The changes that judge() made.
struct QuarantineChanges
{
    std::vector<RequestFingerprint> quarantined_;
    std::vector<RequestFingerprint> lifted_;
};

/// Decides which requests crash targets, and drops expired records.
///
/// A request is quarantined if targets crashed at several distinct times while processing it, no
/// target has answered it, and no other request was in progress in nearly all of those crashes.
/// Crashes that involve a quarantined request are no evidence against the others. Thread safety: as
/// above.
QuarantineChanges judge(CrashRecords &records, Model::SteadyTime now);

/// Returns when a quarantine that has not been released expires; a time in the past otherwise.
/// Thread safety: any thread.
Model::SteadyTime inForceUntil(const Quarantine &quarantine);

/// How a request may be sent to targets.
enum class RequestStanding {
    Free,
    /// Targets crashed while processing it: one such request at a time is sent, so that further
    /// crashes can be attributed to a single request.
    SerializedProbe,
    /// The evidence suffices; the quarantine decision is due within settleTime.
    Pending,
    Quarantined,
};

/// A read-only index of a CrashRecords against which requests are checked.
struct CrashView
{
    struct Entry
    {
        RequestFingerprint fingerprint_;
        RequestStanding standing_ = RequestStanding::Free;
        Model::SteadyTime until_;
    };
    /// The fingerprint prefixes of all suspects and of all quarantined requests, sorted.
    std::vector<std::uint32_t> prefixes_;
    /// Requests that are not Free, by RequestFingerprint::request_.
    std::unordered_multimap<std::uint64_t, Entry> entries_;

    bool isEmpty() const { return prefixes_.empty(); }
    /// Returns false if no request with \a prefix is a suspect; its full fingerprint is then
    /// not needed.
    bool mayHold(std::uint32_t prefix) const
    {
        return std::binary_search(prefixes_.begin(), prefixes_.end(), prefix);
    }
};

/// Returns the index of \a records at \a now.
/// Thread safety: any thread.
CrashView viewOf(const CrashRecords &records, Model::SteadyTime now);

struct CurrentStanding
{
    RequestStanding standing_ = RequestStanding::Free;
    /// When to retry, if the request is refused.
    Model::SteadyTime until_;
};

/// Returns how a request with \a fingerprint may be sent. Thread safety: any thread.
CurrentStanding standingOf(const CrashView &view, const RequestFingerprint &fingerprint,
                           Model::SteadyTime now);

} // namespace Policy
