#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Policy {

/// An instance's contact with the platform's store.
enum class StoreContact {
    /// It does not call the store; peers update it.
    NotAsked,
    Reached,
    /// The store does not answer it, or refuses it.
    Refused,
};

/// A heartbeat record: the fields of a member that change while it runs, for peers that already
/// have its full record.
struct MemberHeartbeat
{
    Model::InstanceId id_;
    /// A later incarnation replaces an earlier one.
    Model::Incarnation incarnation_;
    /// Increases while the instance runs; only the instance itself increments it.
    std::uint64_t heartbeat_ = 0;
    /// It has the table in force and accepts callers' requests.
    bool isReady_ = false;
    bool isLeaving_ = false;
    /// It reaches few targets of some service, and would refuse requests of peers.
    bool isPartitioned_ = false;
    StoreContact store_ = StoreContact::NotAsked;
    /// The revisions of the last changes to the operators' and targets' rows that it has.
    std::uint64_t operatorsSeen_ = 0;
    std::uint64_t targetsSeen_ = 0;
    /// The number of entries that it counts in its region.
    std::uint32_t regionEntries_ = 0;
    /// Time since the heartbeat was incremented, as known to the sender.
    Model::Milliseconds age_{0};
    /// The time for which the store had answered each of its calls when the heartbeat was
    /// incremented; zero unless the store is reached.
    Model::Milliseconds storeAnswered_{0};
    /// The revision up to which it has itself read the targets' rows from the store.
    std::uint64_t targetsRead_ = 0;
    /// The used part of its tightest resource in percent; std::nullopt if it does not tell.
    std::optional<std::uint8_t> usePercent_;
};

/// The full member record of one instance.
struct Member
{
    /// Its location and addresses; whether it is leaving is in the heartbeat record.
    Model::Instance instance_;
    MemberHeartbeat heartbeatRecord_;
    /// When the heartbeat was incremented, on this instance's clock.
    Model::SteadyTime heartbeatAt_;
    /// It lies in another region than the instance that keeps this record.
    bool isRemote_ = false;
    /// Unconfirmed: named by the store or as a seed, but no heartbeat has been received.
    bool isUnconfirmed_ = false;
};

using Members = std::map<Model::InstanceId, Member>;

/// An instance of the local region whose heartbeat is older than this is considered failed.
/// Heartbeats are incremented every 400 ms and reach two dozen instances within three rounds of two
/// peers each, so this is two rounds more than an update usually takes.
constexpr Model::Milliseconds maxHeartbeatAge{2500};

/// The same for other regions, whose updates arrive through only a few exchanges per second: they
/// take one second to reach the region and two to reach every instance there.
constexpr Model::Milliseconds maxRemoteHeartbeatAge{4500};

/// Limits stay divided among the instances whose last heartbeat is at most this old, since they may
/// still run.
constexpr Model::Milliseconds memberCountingTime{15000};

/// Silent instances are still contacted now and then for this duration after their last heartbeat,
/// so that two parts of a fleet that were partitioned for minutes rejoin.
constexpr Model::Milliseconds silentMemberRetention{600000};

/// Merges a peer's record of an instance whose heartbeat was incremented at \a heardAt. Returns
/// whether it is newer than the known one.
///
/// Without the incarnation, a restarted instance, which counts heartbeats from one, is considered
/// failed until it passes the count of its earlier incarnation. Incarnations come from the
/// machine's clock; if that was set back before the restart, the later incarnation is accepted once
/// the earlier one has been silent for longer than a live one can be.
/// Thread safety: \a members belongs to the calling thread.
bool mergeMemberRecord(Members &members, const Member &reported, Model::SteadyTime heardAt);

/// Merges the heartbeat record of an incarnation that is already known; any other is ignored.
/// Returns and thread safety: as above.
bool mergeHeartbeatRecord(Members &members, const MemberHeartbeat &pulse, Model::SteadyTime now);

/// Returns the heartbeat record of \a member with its age at \a now. Thread safety: any thread.
MemberHeartbeat heartbeatRecordAt(const Member &member, Model::SteadyTime now);

/// Returns whether \a member is considered alive. Thread safety: any thread.
bool isAlive(const Member &member, Model::SteadyTime now);

/// Removes members whose last heartbeat is older than silentMemberRetention, except \a own.
/// Thread safety: \a members belongs to the calling thread.
void forgetSilent(Members &members, const Model::InstanceId &own, Model::SteadyTime now);

/// Returns how many instances of \a region may still run: those whose last heartbeat is at most
/// memberCountingTime old, or the highest count that one of them reports, if that is more.
/// Thread safety: any thread.
std::size_t entriesIn(const Members &members, const Model::RegionId &region, Model::SteadyTime now);

} // namespace Policy
