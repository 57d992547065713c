#pragma once

#include "Liveness.h"

namespace Policy {

/// How an instance stands with the store.
struct StoreStanding
{
    StoreContact contact_ = StoreContact::NotAsked;
    /// Since when the store has answered each of its calls, if it is reached.
    Model::SteadyTime answeredSince_ = Model::longAgo;
    /// When a call was answered again after one had failed; only the instance itself knows it.
    Model::SteadyTime returnedAt_ = Model::longAgo;
    /// The revision up to which it has itself read the targets' rows from the store.
    std::uint64_t targetsRead_ = 0;
};

/// What an instance knows of whether the store was away.
struct StoreEvidence
{
    StoreStanding own_;
    std::vector<StoreStanding> others_;
};

/// Returns how the living ones among \a members, except \a own, stand with the store.
/// Thread safety: any thread.
std::vector<StoreStanding> standingsOf(const Members &members, const Model::InstanceId &own,
                                       Model::SteadyTime now);

/// A registration that went though its target had not said that it leaves.
struct RemovedRegistration
{
    /// The revision of the store in which it was gone.
    std::uint64_t revision_ = 0;
    Model::SteadyTime noticedAt_;
    /// Others went at the same time.
    bool isOneOfMany_ = false;
};

/// Registrations that lapse while the store is away are back within this time after its return.
constexpr Model::Milliseconds lapseGrace{2000};

/// So many registrations that go at once, none announced, look like a lapse and not like leaving.
constexpr std::size_t manyAtOnce = 3;

/// Grace for those where nobody saw the store fail, from when they are noticed: they may have left
/// all the same.
constexpr Model::Milliseconds unseenLapseGrace{1200};

/// Returns until when a target may be used whose registration went; a time in the past if it is to
/// be taken as gone.
///
/// Whoever was answered by the store all the while, and read the removal from it, knows that the
/// registration did not lapse. That one instance is not answered says nothing of the store.
/// Thread safety: any thread.
Model::SteadyTime usableUntil(const RemovedRegistration &removed, const StoreEvidence &evidence);

} // namespace Policy
