#pragma once

#include "Liveness.h"

namespace Policy {

/// An instance's contact with the store over time.
struct StoreStanding
{
    StoreContact contact_ = StoreContact::NotAsked;
    /// The start of the period in which the store has answered each of its calls, if it is reached.
    Model::SteadyTime answeredSince_ = Model::distantPast;
    /// When a call first succeeded after a failed one; known only to the instance itself.
    Model::SteadyTime recoveredAt_ = Model::distantPast;
    /// The revision up to which it has itself read the targets' rows from the store.
    std::uint64_t targetsRead_ = 0;
};

/// What an instance knows about outages of the store.
struct StoreEvidence
{
    StoreStanding own_;
    std::vector<StoreStanding> others_;
};

/// Returns the store contact of the live ones among \a members, except \a own.
/// Thread safety: any thread.
std::vector<StoreStanding> standingsOf(const Members &members, const Model::InstanceId &own,
                                       Model::SteadyTime now);

/// A registration that was removed though its target had not announced that it leaves.
struct RemovedRegistration
{
    /// The revision of the store in which it is removed.
    std::uint64_t revision_ = 0;
    Model::SteadyTime noticedAt_;
    /// Others were removed at the same time.
    bool isSimultaneousRemoval_ = false;
};

/// Registrations that expire during an outage of the store are renewed within this time after it.
constexpr Model::Milliseconds registrationExpiryGrace{2000};

/// This many registrations that are removed together, none announced, look like an expiry and not
/// like leaves.
constexpr std::size_t minSimultaneousRemovals = 3;

/// The grace period for those if no instance saw the store fail, from when they are noticed: the
/// targets may have left after all.
constexpr Model::Milliseconds unobservedExpiryGrace{1200};

/// Returns until when a target may be used whose registration was removed; a time in the past if it
/// is considered to have left.
///
/// An instance that the store answered throughout, and that read the removal from it, shows that
/// the registration did not expire. Failed calls of one instance are no evidence of an outage.
/// Thread safety: any thread.
Model::SteadyTime usableUntil(const RemovedRegistration &removed, const StoreEvidence &evidence);

} // namespace Policy
