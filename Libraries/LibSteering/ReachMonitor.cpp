#include "ReachMonitor.h"

#include <algorithm>

namespace Steering {

using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;
using Observe::Event;
using Policy::DomainReach;
using Policy::ReachChange;
using Policy::TargetReach;

namespace {

/// How long the counts of a service's targets are used.
constexpr Milliseconds countInterval{100};
/// A domain that was reached this recently is not in doubt because another one is lost.
constexpr Milliseconds recentContact{300};

/// Returns whether a request waits for longer than usual that was sent after \a since.
bool hasOverdue(const TargetState &target, SteadyTime since, SteadyTime now)
{
    return std::any_of(
        target.sentRequests_.begin(), target.sentRequests_.end(), [&](const auto &sent) {
            const auto usual = std::max<Microseconds>(sent.maxUsualLatency_, Policy::overdueTime);
            return sent.at_ > since && now - sent.at_ > usual;
        });
}

} // namespace

ReachMonitor::ReachMonitor(const PlatformState &platformState, const TargetRegistry &registry,
                           Observe::DecisionLog &log)
    : platformState_(platformState)
    , registry_(registry)
    , log_(log)
{
}

ReachMonitor::ServiceReach &ReachMonitor::reachOf(const Model::ServiceId &service,
                                                  std::size_t domains)
{
    ServiceReach &reach = services_[service];
    if (reach.domains_.size() != domains)
        reach.domains_.assign(domains, {});
    return reach;
}

void ReachMonitor::noteContact(const TargetState &target, bool isReached, SteadyTime now)
{
    const ServiceTargets *targets = registry_.service(target.record_.service_);
    if (!targets || !target.hasKnownDomain_ || target.domain_ >= targets->byDomain_.size())
        return;
    ServiceReach &reach = reachOf(target.record_.service_, targets->byDomain_.size());
    DomainReach &domain = reach.domains_[target.domain_];
    const auto &inDomain = targets->byDomain_[target.domain_];
    unreachedInSeries_ = isReached ? 0 : unreachedInSeries_ + 1;
    const auto change = Policy::noteContact(domain, target.seed_, isReached, inDomain.size(), now);
    // Requests may have tried one target of each failure domain.
    if (unreachedInSeries_ >= Policy::minReachContacts)
        domain.isInDoubt_ = true;
    if (change == ReachChange::None)
        return;
    reach.countedAt_ = Model::distantPast;
    logChange(target, domain, change == ReachChange::Lost, inDomain.size(), now);
    if (change == ReachChange::Lost) {
        noteLost(reach, inDomain, now);
        return;
    }
    for (const auto &other : inDomain) {
        other->isInLostDomain_ = false;
        other->reachability_.retryAt_ = std::min(other->reachability_.retryAt_, now);
    }
}

void ReachMonitor::noteLost(ServiceReach &reach,
                            const std::vector<std::shared_ptr<TargetState>> &targets,
                            SteadyTime now)
{
    for (const auto &target : targets) {
        target->isInLostDomain_ = true;
        target->acceptsConnections_ = false;
    }
    newlyLost_.insert(newlyLost_.end(), targets.begin(), targets.end());
    for (DomainReach &other : reach.domains_) {
        if (now - other.reachedAt_ >= recentContact)
            other.isInDoubt_ = true;
    }
}

void ReachMonitor::logChange(const TargetState &target, const DomainReach &reach, bool isLost,
                             std::size_t targets, SteadyTime now)
{
    log_.line(isLost ? Event::DomainUnreached : Event::DomainReached)
        .add("service", target.record_.service_.value())
        .add("domain", target.record_.domain_.value())
        .add("targets", static_cast<std::int64_t>(targets))
        .add("contacts", static_cast<std::int64_t>(reach.contacts_.size()))
        .add("reached_ms_ago", std::chrono::duration_cast<Microseconds>(now - reach.reachedAt_));
}

const std::vector<TargetReach> &ReachMonitor::countsOf(const Model::ServiceId &service,
                                                       const ServiceTargets &targets,
                                                       SteadyTime now)
{
    ServiceReach &reach = reachOf(service, targets.byDomain_.size());
    if (now - reach.countedAt_ < countInterval && reach.counts_.size() == targets.byDomain_.size())
        return reach.counts_;
    reach.countedAt_ = now;
    reach.counts_.assign(targets.byDomain_.size(), {});
    for (std::size_t i = 0; i < targets.byDomain_.size(); ++i) {
        for (const auto &target : targets.byDomain_[i]) {
            if (!target->takesWork())
                continue;
            const bool isUnreached = target->isOutOfReach() || target->reachability_.failures_ > 0;
            ++(isUnreached ? reach.counts_[i].unreachable_ : reach.counts_[i].reachable_);
        }
    }
    return reach.counts_;
}

TargetReach ReachMonitor::reachOf(const RequestContext &request, SteadyTime now)
{
    TargetReach sum;
    const ServiceTargets *targets = registry_.service(request.service_);
    if (!targets)
        return sum;
    const auto &counts = countsOf(request.service_, *targets, now);
    const auto &domains = platformState_.table()->domains();
    for (std::size_t i = 0; i < counts.size(); ++i) {
        if (!Policy::mayRunIn(domains[i].region_, *request.route_, request.workspace_))
            continue;
        sum.reachable_ += counts[i].reachable_;
        sum.unreachable_ += counts[i].unreachable_;
    }
    return sum;
}

bool ReachMonitor::isPartitioned(SteadyTime now)
{
    return std::any_of(registry_.services().begin(), registry_.services().end(),
                       [&](const auto &entry) {
                           TargetReach sum;
                           for (const auto &count : countsOf(entry.first, entry.second, now)) {
                               sum.reachable_ += count.reachable_;
                               sum.unreachable_ += count.unreachable_;
                           }
                           return Policy::shouldForward(sum);
                       });
}

std::shared_ptr<TargetState> ReachMonitor::targetToProbe(const RequestContext &request,
                                                         SteadyTime now) const
{
    const ServiceTargets *targets = registry_.service(request.service_);
    if (!targets)
        return nullptr;
    for (const auto &domain : targets->byDomain_) {
        for (const auto &target : domain) {
            if (target->takesWork() && target->reachability_.failures_ > 0
                && !target->acceptsConnections_ && !target->isConnecting_
                && Policy::mayTry(target->reachability_, now)
                && !Policy::isPausing(target->pause_, now))
                return target;
        }
    }
    return nullptr;
}

std::vector<std::shared_ptr<TargetState>> ReachMonitor::takeTargetsToProbe(SteadyTime now)
{
    std::vector<std::shared_ptr<TargetState>> chosen;
    for (const auto &[service, targets] : registry_.services()) {
        ServiceReach &reach = reachOf(service, targets.byDomain_.size());
        for (std::size_t i = 0; i < targets.byDomain_.size(); ++i) {
            DomainReach &domain = reach.domains_[i];
            const auto &inDomain = targets.byDomain_[i];
            if (inDomain.empty())
                continue;
            if (now - domain.reachedAt_ >= Policy::overdueTime && !domain.isInDoubt_) {
                domain.isInDoubt_
                    = std::any_of(inDomain.begin(), inDomain.end(), [&](const auto &target) {
                          return hasOverdue(*target, domain.reachedAt_, now);
                      });
            }
            std::size_t left = Policy::takeProbes(domain, now);
            const std::size_t first = left > 0 ? random_() % inDomain.size() : 0;
            for (std::size_t step = 0; step < inDomain.size() && left > 0; ++step) {
                const auto &target = inDomain[(first + step) % inDomain.size()];
                if (!target->takesWork() || target->isConnecting_
                    || Policy::isPausing(target->pause_, now))
                    continue;
                chosen.push_back(target);
                --left;
            }
        }
    }
    return chosen;
}

std::size_t ReachMonitor::lostDomains() const
{
    std::size_t lost = 0;
    for (const auto &[service, reach] : services_) {
        for (const auto &domain : reach.domains_)
            lost += domain.lostSince_ ? 1 : 0;
    }
    return lost;
}

} // namespace Steering
