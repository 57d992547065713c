#pragma once

#include "RequestContext.h"

#include <map>
#include <unordered_map>

namespace Steering {

/// Counters of the requests that waited or were refused for want of room.
struct QueueCounters
{
    std::uint64_t waited_ = 0;
    std::uint64_t displaced_ = 0;
    std::uint64_t expired_ = 0;
    /// Requests whose callers left while they waited.
    std::uint64_t left_ = 0;
    std::uint64_t returnsAnnounced_ = 0;
    std::uint64_t returnsKept_ = 0;
    /// By result code and rank.
    std::map<std::pair<Model::ResultCode, int>, std::uint64_t> refused_;
};

/// The requests of each service that wait at this instance for room at a target.
///
/// Off until setEnabled(); then every method does nothing and waitForRoom() returns at once.
/// Thread safety: none; belongs to the io_context's thread.
class RequestQueue
{
public:
    RequestQueue(Http::asio::io_context &context, const HeaderNames &names,
                 Observe::DecisionLog &log)
        : context_(context)
        , names_(names)
        , log_(log)
    {
    }

    void setEnabled(bool isEnabled) { isEnabled_ = isEnabled; }

    /// Returns whether a request at least as urgent waits for the service of \a request.
    bool shouldYield(const RequestContext &request) const;

    /// Wakes the first waiting request of \a service and resumes after it was placed or has
    /// returned to the queue. Precondition: shouldYield(), so before the first placement.
    ///
    /// Without it, a request that arrives between two wake-ups takes the room that a waiting one
    /// would get.
    Http::Task<void> letWaitingGoFirst(const Model::ServiceId &service);

    /// Waits until \a request should be placed again. Returns false if it is to be refused with
    /// \a refusal, whose code and Retry-After this sets.
    Http::Task<bool> waitForRoom(RequestContext &request, Refusal &refusal);

    /// Removes a request that is not placed here. Does nothing if it does not wait.
    void leave(RequestContext &request);

    /// Returns whether \a request may be placed, by the instance's part of \a slots. A request that
    /// was sent before goes on: it has given its slot back and cannot wait here.
    bool hasRoom(const RequestContext &request, const Policy::RegionSlots &slots) const;

    /// Records that \a request was placed, and removes it if it waits.
    void notePlaced(RequestContext &request, Model::SteadyTime now);

    /// Records that the attempt of a placed request has ended, and wakes the requests that should
    /// start next. \a wasSent tells whether it took a slot.
    void noteAttemptEnded(const Model::ServiceId &service, bool wasSent, Model::SteadyTime now);

    /// Wakes the requests that should start next, and those whose callers have left.
    void tick(Model::SteadyTime now);

    std::size_t waiting() const { return waiting_.size(); }
    const QueueCounters &counters() const { return counters_; }

private:
    /// A waiting request and what it is woken for.
    struct Waiting
    {
        Waiting(Http::asio::io_context &context, const RequestContext &request)
            : request_(request)
            , wake_(context)
        {
        }

        const RequestContext &request_;
        Http::asio::steady_timer wake_;
        Model::SteadyTime since_ = std::chrono::steady_clock::now();
        bool isWoken_ = false;
        /// The request that took its place; empty if none did.
        std::string displacedBy_;
        bool isDisplaced_ = false;
    };

    struct ServiceQueue
    {
        Policy::WaitingQueue queue_;
        Policy::ReturnSchedule schedule_;
        Policy::DrainRate drain_;
        std::map<int, Policy::DrainRate> drainOfRank_;
        /// Requests of this instance at targets.
        std::size_t inProgress_ = 0;
    };

    /// Why a request is refused for want of room.
    struct NoRoom
    {
        const char *how_ = "";
        std::string displacedBy_;
        Model::SteadyTime waitingSince_;
    };

    Policy::QueueVerdict enqueue(RequestContext &request, const Refusal &refusal,
                                 Model::SteadyTime now);
    double shareWeightOf(const RequestContext &request);
    void wake(Waiting &waiting);
    void wakeNext(const ServiceQueue &service, std::size_t count);
    void refuseForRoom(RequestContext &request, Refusal &refusal, const NoRoom &reason,
                       Model::SteadyTime now);

    Http::asio::io_context &context_;
    const HeaderNames &names_;
    Observe::DecisionLog &log_;
    bool isEnabled_ = false;
    std::unordered_map<Model::ServiceId, ServiceQueue> services_;
    std::unordered_map<Policy::WaiterId, std::unique_ptr<Waiting>> waiting_;
    Policy::WaiterId lastWaiter_ = 0;
    /// The largest quota of a workspace seen so far.
    double largestQuota_ = 1;
    QueueCounters counters_;
};

} // namespace Steering
