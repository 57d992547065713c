#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>

namespace Policy {

/// Identifies a waiting request; the owner of the queue keeps the request itself.
using WaiterId = std::uint64_t;

/// A waiting request as stored in the queue.
struct Waiter
{
    WaiterId id_ = 0;
    /// A request that starts after this time misses its deadline.
    Model::SteadyTime startBy_;
};

/// The waiting requests of one caller.
struct CallerQueue
{
    std::deque<Waiter> waiters_;
    double virtualTime_ = 0;
};

/// The waiting requests of one caller class.
struct ClassQueue
{
    double weight_ = 1;
    /// Share of each target's slots that the class may use.
    double useLimit_ = 1;
    double virtualTime_ = 0;
    double callerClock_ = 0;
    std::size_t size_ = 0;
    std::map<Model::CallerId, CallerQueue> callers_;
};

/// Weighted fair queue of the requests of one service that wait for a slot: classes share by
/// weight, the callers of a class share equally.
///
/// In a single FIFO queue, a caller that sends ten times what the slots can carry fills the queue,
/// and a caller with a single request waits behind all of it. One object for each service on each
/// thread; not shared between threads.
struct FairQueue
{
    std::map<Model::CallerClassId, ClassQueue> classes_;
    double classClock_ = 0;
    std::size_t size_ = 0;
};

/// Adds a request of \a caller. Thread safety: the queue belongs to the calling thread.
void enqueue(FairQueue &queue, const Model::CallerClass &callerClass, const Model::CallerId &caller,
             Waiter waiter);

/// The first request of the caller that is served next.
struct NextWaiter
{
    Model::CallerClassId class_;
    Model::CallerId caller_;
    Waiter waiter_;
    double useLimit_ = 1;
};

/// Returns the request that should start next, without removing it. Skips classes whose use limit
/// is below \a minUseLimit, so that a class that may not use the free slot does not block one
/// that may. Thread safety: as enqueue().
std::optional<NextWaiter> nextWaiter(const FairQueue &queue, double minUseLimit = 0);

/// Removes the request that nextWaiter() returned and charges it to its caller and class.
///
/// Precondition: the queue has not changed since. Thread safety: as enqueue().
void takeNext(FairQueue &queue, const NextWaiter &next);

/// Removes the newest request of the caller with the largest backlog relative to its weight, if
/// that backlog is larger than that of \a caller of \a callerClass with one more request.
///
/// Returns std::nullopt if the arriving caller itself has the largest backlog. Thread safety: as
/// enqueue().
std::optional<WaiterId> displaceFor(FairQueue &queue, const Model::CallerClass &callerClass,
                                    const Model::CallerId &caller);

/// Removes one request that can no longer start in time, if there is one.
///
/// Thread safety: as enqueue().
std::optional<WaiterId> takeExpired(FairQueue &queue, Model::SteadyTime now);

} // namespace Policy
