#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Policy {

/// One instance as this instance knows it.
struct Member
{
    Model::Instance instance_;
    /// When this run of the instance began; a later run replaces an earlier one.
    Model::Incarnation incarnation_;
    /// Counts up while the instance runs; only the instance itself raises it.
    std::uint64_t heartbeat_ = 0;
    /// It knows the table in force and takes callers' requests.
    bool isReady_ = false;
    /// The positions in the store's history up to which it knows the operators' and targets' rows.
    std::uint64_t operatorsSeen_ = 0;
    std::uint64_t targetsSeen_ = 0;
    /// When the heartbeat was last seen to rise, on this instance's clock.
    Model::SteadyTime heardAt_;
    /// Never heard of beyond being named by the store or a seed.
    bool isHearsay_ = false;
};

using Members = std::map<Model::InstanceId, Member>;

/// An instance whose heartbeat did not rise for so long is taken to be gone. Heartbeats rise every
/// 400 ms and reach a dozen instances within three rounds of two peers each, so this is two rounds
/// more than news usually takes.
constexpr Model::Milliseconds aliveFor{2500};

/// Instances are remembered for so long after they were last heard of, so that one that returns
/// is greeted and limits stay divided by all that may still run.
constexpr Model::Milliseconds rememberedFor{15000};

/// Takes in what a peer said of an instance. Returns whether it was news.
///
/// What goes wrong without the incarnation: a restarted instance counts its heartbeats from one and
/// is taken for dead until it has passed the old run's count.
/// Thread safety: \a members belongs to the calling thread.
bool hearOf(Members &members, const Member &said, Model::SteadyTime now);

/// Tells whether \a member is taken to run. Thread safety: any thread.
bool isAlive(const Member &member, Model::SteadyTime now);

/// Drops what was not heard of for longer than instances are remembered, except \a own.
/// Thread safety: \a members belongs to the calling thread.
void forgetSilent(Members &members, const Model::InstanceId &own, Model::SteadyTime now);

/// Returns how many instances of \a region may still run: those that were heard of in the time for
/// which instances are remembered. Thread safety: any thread.
std::size_t entriesIn(const Members &members, const Model::RegionId &region, Model::SteadyTime now);

} // namespace Policy
