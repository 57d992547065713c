#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace Policy {

/// Names one waiting request; the owner of the queue keeps the request itself.
using WaiterId = std::uint64_t;

/// One waiting request as the queue knows it.
struct Waiter
{
    WaiterId id_ = 0;
    /// After this time an answer could not be in time any more.
    Model::SteadyTime startBy_;
};

/// The waiting requests of one caller.
struct CallerQueue
{
    std::deque<Waiter> waiters_;
    double virtualTime_ = 0;
};

/// The waiting requests of one class of caller.
struct ClassQueue
{
    double weight_ = 1;
    /// Part of each target's slots that the class may fill.
    double useLimit_ = 1;
    double virtualTime_ = 0;
    double callerClock_ = 0;
    std::size_t size_ = 0;
    std::map<Model::CallerId, CallerQueue> callers_;
};

/// Requests of one service that wait for a slot, in fair order: classes share by weight, the
/// callers of a class share equally.
///
/// What goes wrong without it: in one common line a caller that sends ten times what the slots can
/// carry fills the line, and a caller with a single request waits behind all of it.
/// One object for each service on each thread; not shared between threads.
struct FairQueue
{
    std::map<Model::CallerClassId, ClassQueue> classes_;
    double classClock_ = 0;
    std::size_t size_ = 0;
};

/// Adds a request of \a caller. Thread safety: the queue belongs to the calling thread.
void enqueue(FairQueue &queue, const Model::CallerClass &callerClass, const Model::CallerId &caller,
             Waiter waiter);

/// Names the caller whose first request is next.
struct NextWaiter
{
    Model::CallerClassId class_;
    Model::CallerId caller_;
    Waiter waiter_;
    double useLimit_ = 1;
};

/// Returns the request that should start next, without taking it out. Classes whose use limit is
/// below \a leastUseLimit are passed over, so that a class that may not fill the slot that is free
/// does not hold up one that may. Thread safety: as enqueue().
std::optional<NextWaiter> nextWaiter(const FairQueue &queue, double leastUseLimit = 0);

/// Takes out the request that nextWaiter() named and charges it to its caller and class.
///
/// Precondition: nothing changed the queue since. Thread safety: as enqueue().
void takeNext(FairQueue &queue, const NextWaiter &next);

/// Takes out the newest request of the caller with the most waiting requests for its weight, if
/// that caller has more waiting than \a caller of \a callerClass would have with one more.
///
/// Returns nothing if the arriving caller itself is the largest. Thread safety: as enqueue().
std::optional<WaiterId> displaceFor(FairQueue &queue, const Model::CallerClass &callerClass,
                                    const Model::CallerId &caller);

/// Takes out one request that can no longer start in time, if there is one.
///
/// Thread safety: as enqueue().
std::optional<WaiterId> takeExpired(FairQueue &queue, Model::SteadyTime now);

} // namespace Policy
