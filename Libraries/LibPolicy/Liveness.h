#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Policy {

/// How an instance stands with the platform's store.
enum class StoreContact {
    /// It does not ask the store; others tell it.
    NotAsked,
    Reached,
    /// The store does not answer it, or turns it away.
    Refused,
};

/// What changes of a member while it runs: enough to tell somebody who knows the rest.
struct MemberPulse
{
    Model::InstanceId id_;
    /// When this run of the instance began; a later run replaces an earlier one.
    Model::Incarnation incarnation_;
    /// Counts up while the instance runs; only the instance itself raises it.
    std::uint64_t heartbeat_ = 0;
    /// It knows the table in force and takes callers' requests.
    bool isReady_ = false;
    bool isLeaving_ = false;
    StoreContact store_ = StoreContact::NotAsked;
    /// The revisions of the last changes of the operators' and targets' rows that it knows.
    std::uint64_t operatorsSeen_ = 0;
    std::uint64_t targetsSeen_ = 0;
    /// How many entries of its region it counts.
    std::uint32_t regionEntries_ = 0;
    /// How long ago the heartbeat rose, as the teller knows.
    Model::Milliseconds age_{0};
    /// For how long, when the heartbeat rose, the store had answered each of its calls; zero unless
    /// the store is reached.
    Model::Milliseconds storeAnswered_{0};
    /// The revision up to which it has itself read the targets' rows from the store.
    std::uint64_t targetsRead_ = 0;
};

/// One instance as this instance knows it.
struct Member
{
    /// Where it is and how it is reached; whether it leaves is in the pulse.
    Model::Instance instance_;
    MemberPulse pulse_;
    /// When the heartbeat rose, on this instance's clock.
    Model::SteadyTime heardAt_;
    /// It lies in another region than the instance that keeps this list.
    bool isFar_ = false;
    /// Never heard of beyond being named by the store or a seed.
    bool isHearsay_ = false;
};

using Members = std::map<Model::InstanceId, Member>;

/// An instance of the own region whose heartbeat is older than this is taken to be gone. Heartbeats
/// rise every 400 ms and reach two dozen instances within three rounds of two peers each, so this
/// is two rounds more than news usually takes.
constexpr Model::Milliseconds aliveFor{2500};

/// The same for other regions, from which news comes through a few exchanges a second only: a
/// second until it is in the region, two until it is everywhere there.
constexpr Model::Milliseconds farAliveFor{4500};

/// Limits stay divided by those that were heard of in this time, since they may still run.
constexpr Model::Milliseconds rememberedFor{15000};

/// Instances are asked now and then for so long after they were last heard of, so that two halves
/// of a fleet that were cut apart for minutes find each other again.
constexpr Model::Milliseconds contactFor{600000};

/// Takes in what a peer said of an instance, whose heartbeat rose at \a heardAt. Returns whether it
/// was news.
///
/// What goes wrong without the incarnation: a restarted instance counts its heartbeats from one and
/// is taken for dead until it has passed the old run's count. Incarnations come from the machine's
/// clock; where that went back before the restart, the later run counts once the earlier one has
/// been silent for longer than a living one is.
/// Thread safety: \a members belongs to the calling thread.
bool hearOf(Members &members, const Member &said, Model::SteadyTime heardAt);

/// The same for an instance whose run is known already; what is said of another run is no news.
bool hearPulse(Members &members, const MemberPulse &pulse, Model::SteadyTime now);

/// Returns the pulse of \a member with its age at \a now. Thread safety: any thread.
MemberPulse pulseAt(const Member &member, Model::SteadyTime now);

/// Tells whether \a member is taken to run. Thread safety: any thread.
bool isAlive(const Member &member, Model::SteadyTime now);

/// Drops what was not heard of for longer than contacts are kept, except \a own.
/// Thread safety: \a members belongs to the calling thread.
void forgetSilent(Members &members, const Model::InstanceId &own, Model::SteadyTime now);

/// Returns how many instances of \a region may still run: as many as were heard of in the time for
/// which instances are remembered, or as many as one of them counts, if that is more.
/// Thread safety: any thread.
std::size_t entriesIn(const Members &members, const Model::RegionId &region, Model::SteadyTime now);

} // namespace Policy
