#pragma once

#include "CallerRequest.h"
#include "Planner.h"
#include "SlotHints.h"

#include <list>
#include <map>
#include <random>
#include <variant>

namespace Entryd {

/// The request goes to a target of the local region and holds one of its slots.
struct ToTarget
{
    SlotHold slot_;
};

/// The request is forwarded to another entry, which places it.
struct ToEntry
{
    std::size_t domain_ = 0;
    Model::Address address_;
    /// An entry of the local region, to which the request goes because few targets are reached from
    /// here; std::nullopt for an entry of another region.
    std::optional<Model::InstanceId> localPeer_;
};

/// The request is rejected; the caller receives the reason and a retry delay.
struct Rejection
{
    Model::ResultCode code_ = Model::ResultCode::OverCapacity;
    Model::Milliseconds retryDelay_{1000};
};

using Placement = std::variant<Rejection, ToTarget, ToEntry>;

/// The queue of requests of one service on one thread that wait for a slot. It places each one.
///
/// Thread safety: every method runs on the thread of the io_context.
class ServiceQueue
{
public:
    ServiceQueue(Http::asio::io_context &context, const SnapshotCell &cell, Planner &planner,
                 const SlotHints &hints, Policy::EntryFailures &entryFailures,
                 Policy::ForwardingState &forwarding, std::uint64_t seed);

    /// Waits until \a request can be placed, within the service's queue limit and the deadline. A
    /// request that cannot be placed in time is rejected immediately. The waiting time is
    /// subtracted from the request's queueTimeLeft_.
    Http::Task<Placement> place(CallerRequest &request);

    /// Places as many waiting requests as there are free slots.
    void pump();

    /// Rejects the requests that can no longer start in time.
    void rejectExpired();

    /// Counts a request that released its slot.
    void countFinished();

    /// Returns whether a new request of this class would be rejected immediately.
    bool wouldReject(const CallerRequest &request) const;

    std::size_t waiting() const { return queue_.size_; }
    /// Returns the arrival time of the oldest waiting request that could use a free slot now.
    ///
    /// Requests that must leave slots to other classes do not count. Otherwise an old bulk request,
    /// which may not use the slot, makes the other entry of the region leave it idle while a small
    /// caller's newer request waits there, repeatedly, until the queue is drained.
    std::optional<Model::SteadyTime> oldestSince() const;
    Model::Milliseconds estimatedRetryDelay() const;

private:
    struct Pending
    {
        Pending(Http::asio::io_context &context, const CallerRequest &request)
            : request_(request)
            , wake_(context)
        {
        }

        const CallerRequest &request_;
        Http::asio::steady_timer wake_;
        Model::SteadyTime since_ = std::chrono::steady_clock::now();
        /// It is rejected if it cannot start by then.
        Model::SteadyTime startBy_;
        bool isDecided_ = false;
        Placement placement_;
    };

    /// Returns std::nullopt if the request must wait, at most until \a startBy.
    std::optional<Placement> tryPlace(const EntrySnapshot &snapshot, const CallerRequest &request,
                                      Model::SteadyTime startBy);
    std::optional<Placement> tryPeer(const EntrySnapshot &snapshot, const ServicePlan &plan,
                                     const CallerRequest &request, Model::SteadyTime now);
    std::optional<Placement> tryTarget(const ServicePlan &plan, std::size_t domain,
                                       const CallerRequest &request,
                                       Model::Microseconds longestWait, Model::SteadyTime now);
    Model::Milliseconds delayWithoutTarget(const std::vector<Policy::TargetView> &targets,
                                           Model::Milliseconds otherwise);
    std::vector<Policy::DomainView> domainViews(const EntrySnapshot &snapshot,
                                                const ServicePlan &plan, bool mayFill,
                                                Model::Microseconds longestWait,
                                                Model::SteadyTime now) const;
    bool mayFill(const EntrySnapshot &snapshot, const ServicePlan &plan,
                 const CallerRequest &request, Model::SteadyTime now) const;
    std::size_t maxQueueLength(const CallerRequest &request) const;
    std::optional<Rejection> admit(const CallerRequest &request);
    void decide(Policy::WaiterId waiter, Placement placement);
    Rejection reject(Model::ResultCode code) const;

    Http::asio::io_context &context_;
    const SnapshotCell &cell_;
    Planner &planner_;
    const SlotHints &hints_;
    /// Shared by all services of the thread.
    Policy::EntryFailures &entryFailures_;
    Policy::ForwardingState &forwarding_;
    Policy::FairQueue queue_;
    std::map<Policy::WaiterId, Pending *> pending_;
    /// By origin.
    std::map<std::size_t, Policy::DomainCredits> credits_;
    std::map<Model::CallerClassId, Policy::RateBucket> buckets_;
    Policy::DrainRate drainRate_;
    std::mt19937_64 random_;
    Policy::WaiterId lastWaiter_ = 0;
};

} // namespace Entryd
