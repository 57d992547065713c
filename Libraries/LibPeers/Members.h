#pragma once

#include <LibModel/LibModel.h>
#include <LibPolicy/LibPolicy.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Peers {

/// The load of a service in a failure domain, as seen by one entry or by all entries of a region.
struct DomainLoad
{
    Model::ServiceId service_;
    Model::FailureDomainId domain_;
    /// Slots of the targets that accept requests.
    Model::Slots slots_;
    Model::Slots inFlight_;
    std::int64_t waiting_ = 0;

    bool operator==(const DomainLoad &) const = default;
};

/// Current shares of an entry that deviate from the plan because failure domains failed or
/// recovered. A newly started entry adopts them, so that its traffic does not jump.
struct WalkedShares
{
    Model::ServiceId service_;
    Model::RegionId origin_;
    std::vector<Model::DomainShare> shares_;

    bool operator==(const WalkedShares &) const = default;
};

/// The record that an instance publishes. Records are ordered by incarnation, then heartbeat.
struct InstanceRecord
{
    Model::Instance instance_;
    Model::Incarnation incarnation_;
    std::uint64_t heartbeat_ = 0;
    bool isReady_ = false;
    Model::TableVersion controlVersion_;
    Model::TableVersion entryVersion_;
    Model::TableVersion lookupVersion_;
    /// The state of some other region is still unknown; no caller is sent to this instance.
    bool isStarting_ = false;
    std::vector<DomainLoad> loads_;
    std::vector<WalkedShares> walked_;
};

/// What other regions need to know of a region: its load and the entries to forward requests to.
struct RegionSummary
{
    Model::RegionId region_;
    Model::WallTime madeAt_;
    std::vector<DomainLoad> loads_;
    std::vector<Model::Instance> contacts_;
    /// Current shares that deviate from the plan, as reported by the region's entries; one for each
    /// pair of service and origin. Empty unless failure domains are out or have just recovered.
    std::vector<WalkedShares> walked_;
    /// The age of the summary when the peer sent it.
    Model::Milliseconds age_{0};
};

struct Member
{
    InstanceRecord record_;
    /// When a newer record was last received, by the local clock.
    Model::SteadyTime recordReceivedAt_;
};

/// The records of the instances in the local region and the summaries of the other regions.
///
/// The state that an instance keeps and sends therefore grows with its region, not with the fleet.
/// Thread safety: none.
struct Members
{
    std::map<Model::InstanceId, Member> members_;
    std::map<Model::RegionId, RegionSummary> summaries_;
    /// When the current summary was made, estimated by the local clock.
    std::map<Model::RegionId, Model::SteadyTime> summaryMadeAt_;
    Policy::LeavingMarks marks_;
};

/// A member without a newer record for this duration is considered failed.
constexpr Model::Milliseconds memberLifetime{3000};
/// A summary older than this is no longer used as evidence of capacity.
constexpr Model::Milliseconds summaryLifetime{5000};
/// Limit of the entries that a summary lists.
constexpr std::size_t maxSummaryContacts = 8;

/// Stores \a record if it is newer than the known one. Returns whether it was.
///
/// An instance that announced that it is leaving stays leaving for that incarnation.
/// Thread safety: none.
bool mergeIfNewer(Members &members, const InstanceRecord &record, Model::SteadyTime now);

/// Stores \a summary if it is newer than the known one. Returns whether it was.
bool mergeIfNewer(Members &members, const RegionSummary &summary, Model::SteadyTime now);

/// Removes members without a newer record for longer than \a maxSilence. Failed members are kept
/// until then, so that an old record that still spreads is not mistaken for a new instance. Thread
/// safety: none.
void removeSilentMembers(Members &members, Model::Milliseconds maxSilence, Model::SteadyTime now);

/// Returns whether the region's last summary is recent enough to be evidence of capacity.
bool isFresh(const Members &members, const Model::RegionId &region, Model::SteadyTime now);

/// Returns whether the state of \a region is known: its summary lists serving entries, or is
/// expired. A newly started region that lists no entry yet is unknown.
bool isKnown(const Members &members, const Model::RegionId &region, Model::SteadyTime now);

/// Returns whether a newer record of \a member was received within memberLifetime.
/// Thread safety: any thread.
bool isAlive(const Member &member, Model::SteadyTime now);

/// Returns the summary of \a region, computed from its live members. Thread safety: none.
RegionSummary summarise(const Members &members, const Model::RegionId &region,
                        Model::WallTime madeAt, Model::SteadyTime now);

} // namespace Peers
