#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>

namespace Policy {

/// The part of a target's objects that may also go to the next owners in rendezvous order, because
/// the target's load is above its fair bound. Not shared between threads.
struct OwnerOverflow
{
    /// From 0 (no object) to 1 (all objects).
    double share_ = 0;
    Model::SteadyTime updatedAt_ = Model::distantPast;
    /// Moving average of the used part of the slots.
    double use_ = 0;
    /// When the load was last above the bound.
    Model::SteadyTime overAt_ = Model::distantPast;
};

/// The fair bound of a target's load, relative to the mean load of the service's targets.
constexpr double overflowFactor = 1.25;
/// A target below this utilisation of its slots keeps its objects, whatever the mean: its requests
/// hardly wait.
constexpr double minOverflowUse = 0.7;
/// Time between two updates of a share: several answers of each target of a busy service.
constexpr Model::Milliseconds overflowInterval{250};
/// Time constant of the average load. The number of requests at a target with a few slots varies by
/// half of its mean from one moment to the next.
constexpr Model::Milliseconds overflowSmoothing{3000};
/// No object returns to its first owner earlier than this after the load was last above the bound.
constexpr Model::Milliseconds overflowHold{3000};
/// Share that returns at each update after that.
constexpr double overflowReturn = 0.05;

/// Returns the bound of the load of a target, as a fraction of its slots, where \a meanUse is the
/// mean of the service's targets. Thread safety: any thread.
double overflowBound(double meanUse);

/// Updates the share for a target whose load is \a use of its slots (above 1 if requests wait).
/// Thread safety: \a overflow belongs to the calling thread.
void updateOverflow(OwnerOverflow &overflow, double use, double meanUse, Model::SteadyTime now);

/// Returns whether the next owner also takes \a object, whose rank at the target is \a
/// targetSeed's.
///
/// Without it, targets that own several of the most requested objects keep a queue while others
/// idle: a cold load at another target takes longer than the wait of a single request, so no
/// request is the one that moves. All instances choose the same objects of a target, so an object
/// is loaded at one more target and not at several. Thread safety: any thread.
bool isOverflowing(const OwnerOverflow &overflow, std::uint64_t object, std::uint64_t targetSeed);

} // namespace Policy
