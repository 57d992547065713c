#include "RequestQueue.h"

#include <algorithm>

namespace Steering {

using Http::Task;
using Model::Microseconds;
using Model::Milliseconds;
using Model::ResultCode;
using Model::SteadyTime;

namespace {

/// Requests woken when an attempt ends. Each has its own candidates among the targets, so the first
/// one may find no room where another one does; placing each costs some ten microseconds.
constexpr std::size_t maxWokenAtOnce = 4;
/// Requests that may wait before the drain rate is known, as many as the usual slots of a target.
constexpr Model::Slots initialBound{9};

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

int rankOf(const RequestContext &request)
{
    return Policy::priorityOf(*request.route_, request.workspace_);
}

Model::WorkspaceId workspaceOf(const RequestContext &request)
{
    return request.workspace_ ? request.workspace_->id_ : Model::WorkspaceId();
}

/// The first window starts with the first request that is counted, not at the clock's epoch.
void countDrained(Policy::DrainRate &rate, bool hasWaiters, SteadyTime now)
{
    if (rate.windowStart_ == SteadyTime()) {
        rate.windowStart_ = now;
        return;
    }
    Policy::countFinished(rate, hasWaiters, now);
}

} // namespace

bool RequestQueue::shouldYield(const RequestContext &request) const
{
    if (!isEnabled_)
        return false;
    const auto service = services_.find(request.service_);
    if (service == services_.end() || Policy::size(service->second.queue_) == 0)
        return false;
    return service->second.queue_.ranks_.begin()->first <= rankOf(request);
}

Task<void> RequestQueue::letWaitingGoFirst(const Model::ServiceId &service)
{
    wakeNext(services_[service], 1);
    co_await Http::asio::post(context_, Http::asio::use_awaitable);
}

Task<bool> RequestQueue::waitForRoom(RequestContext &request, Refusal &refusal)
{
    if (!isEnabled_)
        co_return false;
    const bool isForRoom
        = refusal.code_ == ResultCode::OverCapacity || refusal.code_ == ResultCode::WouldBeLate;
    if (!isForRoom || request.isAbandoned_) {
        counters_.left_ += request.waiter_ != 0 && request.isAbandoned_ ? 1 : 0;
        leave(request);
        co_return false;
    }
    auto now = steadyNow();
    if (request.waiter_ == 0) {
        const auto verdict = enqueue(request, refusal, now);
        if (verdict != Policy::QueueVerdict::Waits) {
            const bool isFull = verdict == Policy::QueueVerdict::Full;
            NoRoom reason;
            reason.how_ = isFull ? "full" : "late";
            reason.waitingSince_ = now;
            refuseForRoom(request, refusal, reason, now);
            co_return false;
        }
    }
    Waiting &waiting = *waiting_.at(request.waiter_);
    const auto latestStart
        = services_[request.service_].queue_.requests_.at(request.waiter_).latestStart_;
    waiting.isWoken_ = false;
    waiting.wake_.expires_at(latestStart);
    boost::system::error_code ignored;
    co_await waiting.wake_.async_wait(
        Http::asio::redirect_error(Http::asio::use_awaitable, ignored));
    now = steadyNow();
    if (request.isAbandoned_) {
        ++counters_.left_;
        leave(request);
        co_return false;
    }
    if (!waiting.isDisplaced_ && now < latestStart)
        co_return true;
    NoRoom reason;
    reason.waitingSince_ = waiting.since_;
    reason.displacedBy_ = waiting.displacedBy_;
    if (waiting.isDisplaced_) {
        ++counters_.displaced_;
        refusal.code_ = ResultCode::DisplacedByFairShare;
        reason.how_ = "displaced";
    } else {
        ++counters_.expired_;
        reason.how_ = "expired";
    }
    leave(request);
    refuseForRoom(request, refusal, reason, now);
    co_return false;
}

Policy::QueueVerdict RequestQueue::enqueue(RequestContext &request, const Refusal &refusal,
                                           SteadyTime now)
{
    ServiceQueue &service = services_[request.service_];
    const int rank = rankOf(request);
    bool isReturn = request.firstRefusedAt_.has_value();
    if (!isReturn && !service.schedule_.returns_.empty()) {
        request.firstRefusedAt_
            = Policy::keepReturn(service.schedule_, fingerprintPrefixFor(request, names_), now);
        isReturn = request.firstRefusedAt_.has_value();
        counters_.returnsKept_ += isReturn ? 1 : 0;
    }
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline_ - now);
    const auto goal = request.route_->latencyGoal_;
    Policy::QueueLimits limits;
    limits.bound_
        = Policy::queueBound(service.drain_, Policy::longestWait(goal, left), initialBound);
    limits.reserved_ = isReturn ? 0 : Policy::dueReturns(service.schedule_, rank, now);
    limits.drainPerSecond_ = service.drain_.perSecond_;
    Policy::WaitingRequest item;
    item.id_ = lastWaiter_ + 1;
    item.rank_ = rank;
    item.workspace_ = workspaceOf(request);
    item.goalStart_ = request.arrivedAt_ + goal - refusal.expectedWithSlot_;
    item.deadlineStart_ = request.deadline_ - refusal.expectedWithSlot_;
    item.shareWeight_ = shareWeightOf(request);
    const auto result = Policy::enqueue(service.queue_, item, limits, now);
    if (result.verdict_ != Policy::QueueVerdict::Waits)
        return result.verdict_;
    request.waiter_ = ++lastWaiter_;
    ++counters_.waited_;
    waiting_.emplace(request.waiter_, std::make_unique<Waiting>(context_, request));
    if (result.displaced_) {
        Waiting &displaced = *waiting_.at(*result.displaced_);
        displaced.isDisplaced_ = true;
        displaced.displacedBy_ = request.id_;
        wake(displaced);
    }
    return result.verdict_;
}

/// Slots are shared in proportion to quotas. A workspace without one is entitled to as much as the
/// one with the largest.
double RequestQueue::shareWeightOf(const RequestContext &request)
{
    if (!request.workspace_ || !request.workspace_->isLimited())
        return largestQuota_;
    largestQuota_ = std::max(largestQuota_, request.workspace_->limit_.value());
    return request.workspace_->limit_.value();
}

void RequestQueue::leave(RequestContext &request)
{
    if (request.waiter_ == 0)
        return;
    Policy::remove(services_[request.service_].queue_, request.waiter_);
    waiting_.erase(request.waiter_);
    request.waiter_ = 0;
}

bool RequestQueue::hasRoom(const RequestContext &request, const Policy::RegionSlots &slots) const
{
    const auto service = services_.find(request.service_);
    if (!isEnabled_ || service == services_.end() || !request.tried_.empty()
        || request.attempts_ > 0)
        return true;
    return Policy::mayStart(slots, service->second.inProgress_);
}

void RequestQueue::notePlaced(RequestContext &request, SteadyTime now)
{
    if (!isEnabled_)
        return;
    ServiceQueue &service = services_[request.service_];
    ++service.inProgress_;
    if (request.waiter_ == 0)
        return;
    Policy::take(service.queue_, request.waiter_);
    waiting_.erase(request.waiter_);
    request.waiter_ = 0;
    const auto rank = service.queue_.ranks_.find(rankOf(request));
    countDrained(service.drainOfRank_[rankOf(request)], rank != service.queue_.ranks_.end(), now);
}

void RequestQueue::noteAttemptEnded(const Model::ServiceId &service, bool wasSent, SteadyTime now)
{
    if (!isEnabled_)
        return;
    ServiceQueue &queue = services_[service];
    --queue.inProgress_;
    if (wasSent)
        countDrained(queue.drain_, Policy::size(queue.queue_) > 0, now);
    wakeNext(queue, maxWokenAtOnce);
}

void RequestQueue::tick(SteadyTime now)
{
    for (auto &[id, service] : services_) {
        Policy::dropLapsed(service.schedule_, now);
        wakeNext(service, maxWokenAtOnce);
    }
    for (auto &[id, waiting] : waiting_) {
        if (waiting->request_.isAbandoned_)
            wake(*waiting);
    }
}

void RequestQueue::wake(Waiting &waiting)
{
    if (waiting.isWoken_)
        return;
    waiting.isWoken_ = true;
    waiting.wake_.cancel();
}

void RequestQueue::wakeNext(const ServiceQueue &service, std::size_t count)
{
    for (const auto id : Policy::nextRequests(service.queue_, count))
        wake(*waiting_.at(id));
}

/// Sets the Retry-After of a refusal for want of room, and logs what others had that the request
/// did not.
void RequestQueue::refuseForRoom(RequestContext &request, Refusal &refusal, const NoRoom &reason,
                                 SteadyTime now)
{
    ServiceQueue &service = services_[request.service_];
    const int rank = rankOf(request);
    ++counters_.refused_[{refusal.code_, rank}];
    Policy::RefusedRequest refused;
    refused.key_ = fingerprintPrefixFor(request, names_);
    refused.rank_ = rank;
    refused.timeLeft_ = std::chrono::duration_cast<Microseconds>(request.deadline_ - now);
    refused.firstRefusedAt_ = request.firstRefusedAt_;
    const double room = service.drainOfRank_[rank].perSecond_;
    refusal.retryAfter_ = Policy::announceReturn(service.schedule_, refused, room, now);
    ++counters_.returnsAnnounced_;
    const auto sameRank = service.queue_.ranks_.find(rank);
    std::size_t ofRank = 0;
    std::size_t ofWorkspace = 0;
    if (sameRank != service.queue_.ranks_.end()) {
        ofRank = sameRank->second.size_;
        const auto &workspaces = sameRank->second.workspaces_;
        const auto own = workspaces.find(workspaceOf(request));
        ofWorkspace = own == workspaces.end() ? 0 : own->second.waiting_.size();
    }
    log_.line(Observe::Event::RequestFoundNoRoom)
        .add("id", request.id_)
        .add("how", reason.how_)
        .add("by", reason.displacedBy_)
        .add("service", request.service_.value())
        .add("workspace", workspaceOf(request).value())
        .add("rank", static_cast<std::int64_t>(rank))
        .add("waited_ms", std::chrono::duration_cast<Microseconds>(now - reason.waitingSince_))
        .add("waiting", static_cast<std::int64_t>(Policy::size(service.queue_)))
        .add("of_rank", static_cast<std::int64_t>(ofRank))
        .add("of_workspace", static_cast<std::int64_t>(ofWorkspace))
        .add("in_progress", static_cast<std::int64_t>(service.inProgress_))
        .add("drain_per_s", static_cast<std::int64_t>(service.drain_.perSecond_))
        .add("returns_due",
             static_cast<std::int64_t>(Policy::dueReturns(service.schedule_, rank, now)));
}

} // namespace Steering
