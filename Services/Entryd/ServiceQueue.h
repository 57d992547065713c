#pragma once

#include "CallerRequest.h"
#include "Planner.h"
#include "SlotHints.h"

#include <list>
#include <map>
#include <random>
#include <variant>

namespace Entryd {

/// The request goes to a target of the own region, in whose slot it is counted.
struct ToTarget
{
    SlotHold slot_;
};

/// The request goes to an entry of another region, which places it.
struct ToEntry
{
    std::size_t domain_ = 0;
    Model::Address address_;
};

/// The request is given up; the caller is told why and when to come back.
struct GivenUp
{
    Model::ResultCode code_ = Model::ResultCode::OverCapacity;
    Model::Milliseconds comeBack_{1000};
};

using Placement = std::variant<GivenUp, ToTarget, ToEntry>;

/// The requests of one service on one thread that wait for a slot, and the decision where each
/// goes.
///
/// Thread safety: every method runs on the thread of the io_context.
class ServiceQueue
{
public:
    ServiceQueue(Http::asio::io_context &context, const SnapshotCell &cell, Planner &planner,
                 const SlotHints &hints, Policy::EntryFailures &entryFailures, std::uint64_t seed);

    /// Waits for a place for \a request, as long as the service's queue limit and the deadline
    /// allow. A request that cannot be placed in time is given up at once. The time that it waited
    /// is taken off the request's time to wait.
    Http::Task<Placement> place(CallerRequest &request);

    /// Places as many waiting requests as there are free slots.
    void pump();

    /// Gives up the requests that can no longer start in time.
    void giveUpExpired();

    /// Counts a request that gave its slot back.
    void countFinished();

    /// Tells whether a new request of this class would be refused at once.
    bool wouldRefuse(const CallerRequest &request) const;

    std::size_t waiting() const { return queue_.size_; }
    /// Returns since when the oldest request waits that could fill a free slot now.
    ///
    /// What goes wrong if those count that must leave slots to others: an old bulk request, which
    /// may not fill the slot, makes the other entry of the region leave it idle beside a small
    /// caller's young request, again and again for the length of the queue.
    std::optional<Model::SteadyTime> oldestSince() const;
    Model::Milliseconds comeBackAfter() const;

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
        bool isDecided_ = false;
        Placement placement_;
    };

    /// Nothing means that the request must wait.
    std::optional<Placement> tryPlace(const EntrySnapshot &snapshot, const CallerRequest &request);
    std::optional<Placement> tryTarget(const ServicePlan &plan, std::size_t domain,
                                       const CallerRequest &request, Model::SteadyTime now);
    std::vector<Policy::DomainView> domainViews(const EntrySnapshot &snapshot,
                                                const ServicePlan &plan, bool mayFill,
                                                Model::SteadyTime now) const;
    bool mayFill(const EntrySnapshot &snapshot, const ServicePlan &plan,
                 const CallerRequest &request, Model::SteadyTime now) const;
    std::size_t bound(const CallerRequest &request) const;
    std::optional<GivenUp> admit(const CallerRequest &request);
    void decide(Policy::WaiterId waiter, Placement placement);
    GivenUp giveUp(Model::ResultCode code) const;

    Http::asio::io_context &context_;
    const SnapshotCell &cell_;
    Planner &planner_;
    const SlotHints &hints_;
    /// Of the thread, for all services.
    Policy::EntryFailures &entryFailures_;
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
