#include "ServiceQueue.h"

#include <algorithm>

namespace Entryd {

using Model::Milliseconds;
using Model::ResultCode;

namespace {

/// Added to the use limit of a class that must wait, to skip classes with the same or a lower
/// limit.
constexpr double useLimitStep = 1e-6;

Model::SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Policy::SlotUse regionUse(const ServicePlan &plan, Model::SteadyTime now)
{
    Policy::SlotUse use;
    for (const auto &targets : plan.targets_) {
        const Policy::SlotUse part = Policy::slotUse(viewsOf(targets, now));
        use.slots_ += part.slots_;
        use.inFlight_ += part.inFlight_;
    }
    return use;
}

std::int64_t ownInFlight(const ServicePlan &plan)
{
    std::int64_t sum = 0;
    for (const auto &targets : plan.targets_) {
        for (const auto &target : targets)
            sum += target->ownInFlight_;
    }
    return sum;
}

/// Returns a failure domain of the local region, each in proportion to its targets. Precondition:
/// there is a target.
std::size_t drawDomain(const ServicePlan &plan, std::uint64_t random)
{
    std::vector<std::size_t> domains;
    for (std::size_t i = 0; i < plan.targets_.size(); ++i)
        domains.insert(domains.end(), plan.targets_[i].size(), i);
    return domains[random % domains.size()];
}

} // namespace

ServiceQueue::ServiceQueue(Http::asio::io_context &context, const SnapshotCell &cell,
                           Planner &planner, const SlotHints &hints,
                           Policy::EntryFailures &entryFailures,
                           Policy::ForwardingState &forwarding, std::uint64_t seed)
    : context_(context)
    , cell_(cell)
    , planner_(planner)
    , hints_(hints)
    , entryFailures_(entryFailures)
    , forwarding_(forwarding)
    , random_(seed)
{
}

Rejection ServiceQueue::reject(ResultCode code) const
{
    return {code, estimatedRetryDelay()};
}

Milliseconds ServiceQueue::estimatedRetryDelay() const
{
    return Policy::queueRetryDelay(drainRate_, queue_.size_);
}

std::size_t ServiceQueue::maxQueueLength(const CallerRequest &request) const
{
    return cell_.read([&](const EntrySnapshot *snapshot) {
        const ServicePlan &plan = snapshot->services_[request.serviceIndex_];
        const Model::Slots slots(regionUse(plan, steadyNow()).slots_);
        const auto limit = snapshot->table_->services()[request.serviceIndex_].queueLimit_;
        return Policy::queueBound(drainRate_, limit, slots);
    });
}

bool ServiceQueue::wouldReject(const CallerRequest &request) const
{
    if (queue_.size_ == 0 || queue_.size_ < maxQueueLength(request))
        return false;
    // With a full queue the arriving caller may still displace a larger one; displaceFor() on a
    // copy shows it.
    Policy::FairQueue copy = queue_;
    return !Policy::displaceFor(copy, request.class_, request.caller_).has_value();
}

std::optional<Rejection> ServiceQueue::admit(const CallerRequest &request)
{
    const auto now = steadyNow();
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline_ - now);
    if (left <= Milliseconds(0))
        return reject(ResultCode::DeadlineTooShort);
    if (request.queueTimeLeft_ <= Model::Microseconds(0))
        return reject(ResultCode::OverCapacity);
    const std::size_t holders = cell_.read([&](const EntrySnapshot *snapshot) {
        return snapshot->fleetSize_;
    });
    const auto limit = Policy::limitPerHolder(request.class_.limit_, holders);
    if (!Policy::takeToken(buckets_[request.class_.id_], limit, now))
        return reject(ResultCode::ClassLimited);
    if (queue_.size_ == 0 || queue_.size_ < maxQueueLength(request))
        return std::nullopt;
    const auto displaced = Policy::displaceFor(queue_, request.class_, request.caller_);
    if (!displaced)
        return reject(ResultCode::OverCapacity);
    decide(*displaced, reject(ResultCode::DisplacedByFairShare));
    return std::nullopt;
}

Http::Task<Placement> ServiceQueue::place(CallerRequest &request)
{
    if (const auto refused = admit(request))
        co_return Placement(*refused);

    Pending pending(context_, request);
    const Policy::WaiterId id = ++lastWaiter_;
    // The limit applies to the total wait of the request. If it restarted after each refusal by a
    // full target, requests would wait many times the limit while new ones are rejected.
    pending.startBy_ = std::min(request.deadline_, pending.since_ + request.queueTimeLeft_);
    pending_[id] = &pending;
    Policy::enqueue(queue_, request.class_, request.caller_, {id, pending.startBy_});
    pump();
    if (!pending.isDecided_) {
        planner_.noteWaiting(1);
        pending.wake_.expires_at(pending.startBy_);
        Http::ErrorCode ignored;
        co_await pending.wake_.async_wait(
            Http::asio::redirect_error(Http::asio::use_awaitable, ignored));
        planner_.noteWaiting(-1);
        if (!pending.isDecided_)
            rejectExpired();
    }
    pending_.erase(id);
    request.queueTimeLeft_
        -= std::chrono::duration_cast<Model::Microseconds>(steadyNow() - pending.since_);
    if (!pending.isDecided_)
        co_return Placement(reject(ResultCode::OverCapacity));
    co_return std::move(pending.placement_);
}

void ServiceQueue::decide(Policy::WaiterId waiter, Placement placement)
{
    const auto found = pending_.find(waiter);
    if (found == pending_.end())
        return;
    found->second->isDecided_ = true;
    found->second->placement_ = std::move(placement);
    found->second->wake_.cancel();
}

void ServiceQueue::rejectExpired()
{
    const auto now = steadyNow();
    while (const auto expired = Policy::takeExpired(queue_, now))
        decide(*expired, reject(ResultCode::OverCapacity));
}

void ServiceQueue::pump()
{
    double minUseLimit = 0;
    while (const auto next = Policy::nextWaiter(queue_, minUseLimit)) {
        const auto found = pending_.find(next->waiter_.id_);
        if (found == pending_.end()) {
            Policy::takeNext(queue_, *next);
            continue;
        }
        const CallerRequest &request = found->second->request_;
        auto placement = cell_.read([&](const EntrySnapshot *snapshot) {
            return tryPlace(*snapshot, request, found->second->startBy_);
        });
        if (!placement) {
            minUseLimit = next->useLimit_ + useLimitStep;
            continue;
        }
        Policy::takeNext(queue_, *next);
        decide(next->waiter_.id_, std::move(*placement));
    }
}

void ServiceQueue::countFinished()
{
    Policy::countFinished(drainRate_, queue_.size_ > 0, steadyNow());
}

std::optional<Model::SteadyTime> ServiceQueue::oldestSince() const
{
    const auto now = steadyNow();
    // Skips classes whose use limit is at most that of a class already found full.
    double minUseLimit = 0;
    // Ids increase in order of arrival, and decided requests are removed soon.
    for (const auto &[id, pending] : pending_) {
        const CallerRequest &request = pending->request_;
        const double classLimit = request.class_.useLimit_.value();
        if (pending->isDecided_ || classLimit < minUseLimit)
            continue;
        const bool canFill = cell_.read([&](const EntrySnapshot *snapshot) {
            const ServicePlan &plan = snapshot->services_[request.serviceIndex_];
            return mayFill(*snapshot, plan, request, now);
        });
        if (canFill)
            return pending->since_;
        minUseLimit = classLimit + useLimitStep;
    }
    return std::nullopt;
}

bool ServiceQueue::mayFill(const EntrySnapshot &snapshot, const ServicePlan &plan,
                           const CallerRequest &request, Model::SteadyTime now) const
{
    const Model::Service &service = snapshot.table_->services()[request.serviceIndex_];
    const double limit = std::min(request.class_.useLimit_.value(), service.useLimit_.value());
    if (limit >= 1)
        return true;
    const auto notes = hints_.poolState(request.serviceIndex_);
    if (notes)
        return Policy::mayFillShared(*notes, ownInFlight(plan), limit);
    return Policy::mayFillSlot(regionUse(plan, now), limit);
}

std::vector<Policy::DomainView> ServiceQueue::domainViews(const EntrySnapshot &snapshot,
                                                          const ServicePlan &plan, bool mayFill,
                                                          Model::Microseconds longestWait,
                                                          Model::SteadyTime now) const
{
    const auto &domains = snapshot.table_->domains();
    const auto &localRegion = snapshot.table_->regions()[snapshot.localRegion_].id_;
    std::vector<Policy::DomainView> views(domains.size());
    for (std::size_t i = 0; i < domains.size(); ++i) {
        Policy::DomainView &view = views[i];
        view.isInLocalRegion_ = domains[i].region_ == localRegion;
        if (!view.isInLocalRegion_) {
            view.isUsable_ = !plan.outage_.isOut(i) && !snapshot.remoteEntries_[i].empty();
            continue;
        }
        const auto targets = viewsOf(plan.targets_[i], now);
        view.isUsable_ = Policy::anyUsable(targets, longestWait);
        view.hasFreeSlot_ = mayFill && Policy::chooseTarget(targets, 0, 0).has_value();
    }
    return views;
}

/// Returns when a caller should return whom none of \a targets serves: after the first pause if
/// all of them pause, else after \a otherwise.
Milliseconds ServiceQueue::delayWithoutTarget(const std::vector<Policy::TargetView> &targets,
                                              Milliseconds otherwise)
{
    Policy::PauseSummary pauses;
    for (const auto &target : targets) {
        if (!target.isLeaving_ && !target.isSuspect_)
            Policy::addTo(pauses, target.pauseLeft_);
    }
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return Policy::retryDelayWhilePausing(pauses, draw).value_or(otherwise);
}

std::optional<Placement> ServiceQueue::tryTarget(const ServicePlan &plan, std::size_t domain,
                                                 const CallerRequest &request,
                                                 Model::Microseconds longestWait,
                                                 Model::SteadyTime now)
{
    const auto &targets = plan.targets_[domain];
    const auto views = viewsOf(targets, now);
    if (!Policy::anyUsable(views, longestWait)) {
        return Placement(
            Rejection{ResultCode::NoTarget, delayWithoutTarget(views, estimatedRetryDelay())});
    }
    const auto chosen = Policy::chooseTarget(views, random_(), random_());
    if (!chosen)
        return std::nullopt;
    const auto left = std::chrono::duration_cast<Milliseconds>(request.deadline_ - now);
    if (!Policy::canFinish(left, views[*chosen].latency_))
        return Placement(reject(ResultCode::DeadlineTooShort));
    if (!takeFromLimit(*targets[*chosen], now))
        return std::nullopt;
    return Placement(ToTarget{SlotHold(targets[*chosen])});
}

/// Returns the entry of the local region that takes a request while few of the region's targets are
/// reached from here; std::nullopt if they are reached, or no entry may take it.
std::optional<Placement> ServiceQueue::tryPeer(const EntrySnapshot &snapshot,
                                               const ServicePlan &plan,
                                               const CallerRequest &request, Model::SteadyTime now)
{
    if (request.forwardingTries_ >= Policy::maxForwardingTries)
        return std::nullopt;
    Policy::TargetReach reach;
    for (const auto &targets : plan.targets_) {
        for (const auto &target : targets) {
            if (!target->isLeaving_)
                ++(target->isSuspect_ ? reach.unreachable_ : reach.reachable_);
        }
    }
    if (!Policy::shouldForward(reach))
        return std::nullopt;
    std::vector<Policy::ForwardingPeer> peers;
    for (const auto &entry : snapshot.localPeerEntries_)
        peers.push_back({entry.id_, Model::Microseconds(0), 0});
    const auto chosen
        = Policy::chooseForwardingPeer(forwarding_, request.service_, peers, random_(), now);
    if (!chosen)
        return std::nullopt;
    const auto &peer = snapshot.localPeerEntries_[*chosen];
    return Placement(ToEntry{drawDomain(plan, random_()), peer.addresses_.entryPeer_, peer.id_});
}

std::optional<Placement> ServiceQueue::tryPlace(const EntrySnapshot &snapshot,
                                                const CallerRequest &request,
                                                Model::SteadyTime startBy)
{
    const auto now = steadyNow();
    const auto longestWait = std::max(
        Model::Microseconds(0), std::chrono::duration_cast<Model::Microseconds>(startBy - now));
    const ServicePlan &plan = snapshot.services_[request.serviceIndex_];
    const bool canFill = mayFill(snapshot, plan, request, now);
    if (request.fixedDomain_) {
        return canFill ? tryTarget(plan, *request.fixedDomain_, request, longestWait, now)
                       : std::nullopt;
    }

    if (auto placement = tryPeer(snapshot, plan, request, now))
        return placement;
    const OriginPlan &origin = plan.origins_[request.origin_];
    Policy::DomainCredits &credits = credits_[request.origin_];
    const Policy::DomainCredits before = credits;
    const auto views = domainViews(snapshot, plan, canFill, longestWait, now);
    const double debt
        = origin.isMoving_ ? Policy::maxDebtWhileShifting : Policy::maxDebtWhileStable;
    const auto choice = Policy::chooseDomain(credits, origin.shares_, views, debt);
    if (choice.verdict_ == Policy::DomainVerdict::NoneUsable) {
        std::vector<Policy::TargetView> targets;
        for (const auto &domain : plan.targets_) {
            const auto some = viewsOf(domain, now);
            targets.insert(targets.end(), some.begin(), some.end());
        }
        return Placement(
            Rejection{ResultCode::NoTarget, delayWithoutTarget(targets, origin.retryDelay_)});
    }
    if (choice.verdict_ == Policy::DomainVerdict::ShiftLimited)
        return Placement(Rejection{ResultCode::ShiftLimited, origin.retryDelay_});
    if (!views[choice.domain_].isInLocalRegion_) {
        const auto &entries = snapshot.remoteEntries_[choice.domain_];
        const auto chosen = Policy::chooseEntry(entryFailures_, entries, random_(), now);
        if (!chosen)
            return Placement(Rejection{ResultCode::NoTarget, origin.retryDelay_});
        return Placement(ToEntry{choice.domain_, entries[*chosen].addresses_.entryPeer_});
    }
    if (views[choice.domain_].hasFreeSlot_) {
        if (auto placement = tryTarget(plan, choice.domain_, request, longestWait, now))
            return placement;
    }
    // The request stays in the queue, so the choice must not change the credits.
    credits = before;
    return std::nullopt;
}

} // namespace Entryd
