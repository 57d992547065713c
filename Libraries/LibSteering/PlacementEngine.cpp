#include "PlacementEngine.h"

#include <algorithm>

namespace Steering {

using Model::Microseconds;
using Model::Milliseconds;
using Model::ResultCode;
using Model::SteadyTime;

namespace {

/// Round trips assumed before the first connection to a region: the usual ones between failure
/// domains of one region, and between regions of one continent.
constexpr Microseconds initialRoundTripInRegion{2000};
constexpr Microseconds initialRoundTripBetweenRegions{60000};

/// Interval at which a service's slot use is counted; a cold load takes several times as long.
constexpr Milliseconds slotCountInterval{100};

/// Retry delay if no target takes work: an update about a target takes about this long to arrive.
constexpr Milliseconds retryDelayWithoutTarget{500};

} // namespace

PlacementEngine::PlacementEngine(const Observe::Settings &settings, const PlatformState &knowledge,
                                 TargetRegistry &registry)
    : settings_(settings)
    , platformState_(knowledge)
    , registry_(registry)
{
}

void PlacementEngine::tableChanged()
{
    const auto &table = platformState_.table();
    if (!table)
        return;
    for (std::size_t i = 0; i < table->domains().size(); ++i) {
        if (table->domains()[i].id_ == settings_.domain_)
            localDomain_ = i;
    }
    const auto &regions = table->regions();
    const bool isFirst = roundTrips_.size() != regions.size();
    roundTrips_.resize(regions.size(), initialRoundTripBetweenRegions);
    for (std::size_t i = 0; i < regions.size(); ++i) {
        if (regions[i].id_ != settings_.region_)
            continue;
        localRegion_ = i;
        if (isFirst)
            roundTrips_[i] = initialRoundTripInRegion;
    }
}

Model::ServiceId PlacementEngine::chooseService(const Model::Route &route)
{
    RouteState &state = routes_[route.id_];
    if (state.weightedSplit_.owed_.size() != route.splits_.size())
        state.weightedSplit_.owed_.assign(route.splits_.size(), 0);
    return route.splits_[Policy::nextWeightedSplit(state.weightedSplit_, route.splits_)].service_;
}

PlacementEngine::RouteWork &PlacementEngine::workOf(const Model::Route &route,
                                                    const Model::ServiceId &service)
{
    auto &work = routes_[route.id_].work_;
    const auto known = work.find(service);
    if (known != work.end())
        return known->second;
    return work.emplace(service, RouteWork{Policy::initialWorkTimes(route.latencyGoal_), {}})
        .first->second;
}

bool PlacementEngine::isAllowed(const RequestContext &request, std::size_t domain) const
{
    return Policy::mayRunIn(platformState_.table()->domains()[domain].region_, *request.route_,
                            request.workspace_);
}

PlacementEngine::ObjectView PlacementEngine::viewOf(const RequestContext &request,
                                                    const ServiceTargets &targets) const
{
    ObjectView view;
    view.draws_ = Policy::domainDraws(request.object_, registry_.domainSeeds());
    std::vector<double> shares = targets.homes_[localDomain_];
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (!isAllowed(request, i))
            shares[i] = 0;
    }
    view.home_ = Policy::homeOf(view.draws_, shares);
    return view;
}

std::size_t PlacementEngine::entriesSharing(const TargetState &target) const
{
    if (target.region_ < entries_.size() && entries_[target.region_] > 0)
        return entries_[target.region_];
    std::size_t all = 0;
    for (const std::size_t count : entries_)
        all += count;
    return std::max<std::size_t>(1, all);
}

bool PlacementEngine::mayTake(const RequestContext &request, const TargetState &target,
                              SteadyTime now) const
{
    if (!target.takesWork() || target.isOutOfReach() || !Policy::mayTry(target.reachability_, now))
        return false;
    if (request.avoidsUnreachable_ && target.reachability_.failures_ > 0
        && !target.acceptsConnections_)
        return false;
    if (std::find(request.tried_.begin(), request.tried_.end(), target.record_.id_)
        != request.tried_.end())
        return false;
    if (current_.reportsPace_ && !Policy::isFailureCommon(current_.failures_)
        && !Policy::mayTryRejecting(target.rejections_, now))
        return false;
    if (!Policy::isWithinLimit(target.limit_, now)
        || !Policy::isPauseOver(target.pause_, target.ownInFlight_, now))
        return false;
    if (!target.isCold(now))
        return true;
    // A cold target's rate limit is divided among the entries of its region only.
    const bool isOthers = target.region_ != localRegion_ && target.region_ < entries_.size()
                          && entries_[target.region_] > 0;
    const auto *service = request.table_->service(request.service_);
    return !isOthers && service
           && Policy::hasSlowStartToken(target.slowStart_, service->coldLimit_,
                                        entriesSharing(target), now);
}

Microseconds PlacementEngine::meanTimeOf(const Model::ServiceId &service) const
{
    const auto mean = serviceMeanUs_.find(service);
    return Microseconds(mean == serviceMeanUs_.end() ? 0 : static_cast<long long>(mean->second));
}

Microseconds PlacementEngine::meanSlotTimeOf(const Model::ServiceId &service) const
{
    const auto mean = slotTimeUs_.find(service);
    return Microseconds(mean == slotTimeUs_.end() ? 0 : static_cast<long long>(mean->second));
}

double PlacementEngine::slotUseOf(const Model::ServiceId &service, const ServiceTargets &targets,
                                  SteadyTime now)
{
    SlotUse &use = use_[service];
    if (now - use.countedAt_ < slotCountInterval)
        return use.use_;
    const auto workTime = meanTimeOf(service);
    double taken = 0;
    double slots = 0;
    Policy::RegionSlots region;
    if (localRegion_ < entries_.size())
        region.instances_ = entries_[localRegion_];
    for (const auto &domain : targets.byDomain_) {
        for (const auto &target : domain) {
            // Its load goes to the others.
            if (Policy::isPausing(target->pause_, now))
                continue;
            const auto own = static_cast<double>(target->record_.slots_.value());
            const double load = static_cast<double>(target->ownInFlight_)
                                + Policy::peerReportedLoadAt(target->othersLoad_, workTime, now);
            slots += own;
            taken += std::min(own, load);
            if (target->region_ != localRegion_)
                continue;
            region.slots_ += own;
            region.taken_ += std::min(own, load);
        }
    }
    use = {slots > 0 ? taken / slots : 0, region, now};
    return use.use_;
}

bool PlacementEngine::isKnownWarm(const RequestContext &request, const TargetState &target,
                                  SteadyTime now) const
{
    if (!request.hasObject_)
        return true;
    const auto sent = target.objects_.find(request.object_);
    if (sent == target.objects_.end())
        return false;
    const auto memory = memory_.find(request.service_);
    return memory == memory_.end() || now - sent->second < memory->second.kept_;
}

Policy::Candidate PlacementEngine::candidateFor(const RequestContext &request,
                                                const TargetState &target, SteadyTime now) const
{
    const auto workTime = meanTimeOf(request.service_);
    Policy::Candidate candidate;
    candidate.slots_ = static_cast<double>(target.record_.slots_.value());
    const auto own = static_cast<double>(target.ownInFlight_);
    candidate.load_ = own
                      + std::max(Policy::freshPeerReportedLoad(target.othersLoad_, workTime, now),
                                 Policy::peerLoadByUpdates(target.sharedLoad_, own, now));
    candidate.roundTrip_ = roundTrips_[target.region_];
    const auto pace = Policy::paceAt(target.pace_, now);
    candidate.slowness_ = pace.slowness_;
    if (current_.reportsPace_) {
        candidate.slowness_ = slownessOf(request, target, now);
    } else if (!target.sentRequests_.empty()) {
        const SentRequest &oldest = target.sentRequests_.front();
        const auto age = std::chrono::duration_cast<Microseconds>(now - oldest.at_);
        candidate.slowness_ = std::max(candidate.slowness_,
                                       Policy::slownessBySilence(age, oldest.maxUsualLatency_));
    }
    candidate.failureRate_ = current_.reportsPace_
                                 ? Policy::excessFailureRate(pace.failureRate_, current_.failures_)
                                 : pace.failureRate_;
    candidate.isKnownWarm_ = isKnownWarm(request, target, now);
    return candidate;
}

double PlacementEngine::slownessOf(const RequestContext &request, const TargetState &target,
                                   SteadyTime now) const
{
    std::array<double, Policy::RecentWork::count> overdue{};
    std::size_t count = 0;
    for (const auto &sent : target.sentRequests_) {
        const auto age = std::chrono::duration_cast<Microseconds>(now - sent.at_);
        const double ratio = Policy::slownessBySilence(age, sent.maxUsualLatency_);
        if (ratio <= 1 || count == overdue.size())
            break;
        overdue[count++] = ratio;
    }
    const double learned
        = Policy::slownessOf(target.recentWork_, std::span(overdue).first(count), now);
    const auto route = routes_.find(request.route_->id_);
    const auto work = route->second.work_.find(request.service_);
    // A silent target has few requests of each instance in progress.
    if (count > 0 && overdue[0] >= Policy::tailRatio(work->second.distribution_))
        return overdue[0];
    return Policy::slownessByReport(target.paceReport_, learned, now);
}

PlacementEngine::Owners
PlacementEngine::ownersAmong(const RequestContext &request,
                             const std::vector<std::shared_ptr<TargetState>> &targets,
                             SteadyTime now) const
{
    Owners owners;
    for (const auto &target : targets) {
        if (!mayTake(request, *target, now))
            continue;
        auto *other = &target;
        std::uint64_t score = Policy::ownerScore(request.object_, target->seed_);
        for (std::size_t i = 0; i < owners.ranked_.size(); ++i) {
            if (owners.ranked_[i] && score <= owners.scores_[i])
                continue;
            std::swap(other, owners.ranked_[i]);
            std::swap(score, owners.scores_[i]);
            if (!other)
                break;
        }
    }
    return owners;
}

void PlacementEngine::addOwners(const RequestContext &request,
                                const std::vector<std::shared_ptr<TargetState>> &targets,
                                bool isHome, bool isHomeOfOthers, SteadyTime now)
{
    const Owners owners = ownersAmong(request, targets, now);
    const auto &others = workOf(*request.route_, request.service_).peerWarmth_;
    const auto &[first, second, third] = owners.ranked_;
    // If the first owner stays full, the second one takes the excess.
    const bool isFirstFull = first && Policy::isPersistentlyFull((*first)->sharedLoad_, now);
    const auto add = [&](const std::shared_ptr<TargetState> &target, bool isOwner) {
        Policy::Candidate candidate = candidateFor(request, *target, now);
        candidate.isHome_ = isOwner && isHome;
        candidate.isRemoteHome_ = isOwner && isHomeOfOthers && !isHome;
        candidate.isSecondaryOwner_ = !isOwner && isHome && isFirstFull;
        if (candidate.isHome_)
            candidate.peerWarmth_ = others.atHome_;
        if (candidate.isRemoteHome_)
            candidate.peerWarmth_ = others.atRemoteHome_;
        candidates_.push_back(candidate);
        candidateTargets_.push_back(target);
    };
    if (first)
        add(*first, true);
    if (!second || !isHome)
        return;
    const bool isShared = isOverflowing(request, **first, now);
    add(*second, isShared);
    if (third && isShared && isOverflowing(request, **second, now))
        add(*third, true);
}

bool PlacementEngine::isOverflowing(const RequestContext &request, TargetState &owner,
                                    SteadyTime now)
{
    if (!current_.reportsPace_)
        return false;
    const double load
        = static_cast<double>(owner.ownInFlight_)
          + Policy::peerReportedLoadAt(owner.othersLoad_, meanTimeOf(request.service_), now);
    const double slots = static_cast<double>(owner.record_.slots_.value());
    Policy::updateOverflow(owner.overflow_, load / slots, use_[request.service_].use_, now);
    return Policy::isOverflowing(owner.overflow_, request.object_, owner.seed_);
}

void PlacementEngine::gatherCandidates(const RequestContext &request, const ServiceTargets &targets,
                                       SteadyTime now)
{
    candidates_.clear();
    candidateTargets_.clear();
    const ObjectView view = viewOf(request, targets);
    for (std::size_t i = 0; i < targets.byDomain_.size(); ++i) {
        if (targets.byDomain_[i].empty() || !isAllowed(request, i))
            continue;
        const bool isHome = i == view.home_;
        // Callers close to that domain may also send the object there.
        const bool isHomeOfOthers = Policy::homeOf(view.draws_, targets.homes_[i]) == i;
        addOwners(request, targets.byDomain_[i], isHome, isHomeOfOthers, now);
    }
    limitSpillOver(request, view.home_, now);
}

void PlacementEngine::limitSpillOver(const RequestContext &request, std::size_t home,
                                     SteadyTime now)
{
    const auto &domains = request.table_->domains();
    if (home >= domains.size())
        return;
    std::size_t inHomeRegion = 0;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        const auto domain = candidateTargets_[i]->domain_;
        candidates_[i].leavesHomeRegion_ = domains[domain].region_ != domains[home].region_;
        inHomeRegion += candidates_[i].leavesHomeRegion_ ? 0 : 1;
    }
    const auto *service = request.table_->service(request.service_);
    // If the home region has no candidate, the request can only be served in another region.
    if (inHomeRegion == 0 || !service
        || Policy::maySpill(spillOver_, service->regionShiftCap_, now))
        return;
    std::size_t kept = 0;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        if (candidates_[i].leavesHomeRegion_)
            continue;
        candidates_[kept] = candidates_[i];
        candidateTargets_[kept] = candidateTargets_[i];
        ++kept;
    }
    candidates_.resize(kept);
    candidateTargets_.resize(kept);
}

std::optional<Milliseconds> PlacementEngine::retryDelayWhilePausing(const RequestContext &request,
                                                                    SteadyTime now)
{
    const ServiceTargets *targets = registry_.service(request.service_);
    if (!targets)
        return std::nullopt;
    Policy::PauseSummary pauses;
    for (std::size_t i = 0; i < targets->byDomain_.size(); ++i) {
        if (targets->byDomain_[i].empty() || !isAllowed(request, i))
            continue;
        for (const auto &target : targets->byDomain_[i]) {
            if (target->takesWork() && Policy::mayTry(target->reachability_, now))
                Policy::addTo(pauses, Policy::pauseLeft(target->pause_, now));
        }
    }
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    return Policy::retryDelayWhilePausing(pauses, draw);
}

std::optional<Microseconds> PlacementEngine::nextExpected(std::size_t chosen,
                                                          const Policy::WorkEstimate &work) const
{
    std::optional<Microseconds> shortest;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        if (i == chosen)
            continue;
        const auto expected = Policy::expectedTime(candidates_[i], work);
        shortest = std::min(shortest.value_or(expected), expected);
    }
    return shortest;
}

std::variant<Placement, Refusal> PlacementEngine::place(const RequestContext &request,
                                                        SteadyTime now)
{
    if (!platformState_.replica(StoreTable::Targets).isKnown())
        return Refusal{ResultCode::NotReady, retryDelayWhenNotReady, Microseconds(0)};
    const ServiceTargets *targets = registry_.service(request.service_);
    current_ = results_[request.service_];
    if (targets) {
        gatherCandidates(request, *targets, now);
    } else {
        candidates_.clear();
    }
    const auto &route = *request.route_;
    const Policy::WorkTimes &times = workOf(route, request.service_).times_;
    Policy::WorkEstimate work;
    work.warm_ = Microseconds(static_cast<long long>(times.warmUs_));
    work.cold_ = Microseconds(static_cast<long long>(times.coldUs_));
    const auto mean = meanTimeOf(request.service_);
    work.serviceMean_ = mean.count() > 0 ? mean : work.warm_;
    const double use = targets ? slotUseOf(request.service_, *targets, now) : 0;
    const auto choice = Policy::chooseAmong(candidates_, work, use);
    if (!choice) {
        const auto delay = retryDelayWhilePausing(request, now).value_or(retryDelayWithoutTarget);
        return Refusal{ResultCode::NoTarget, delay, Microseconds(0)};
    }

    Policy::AdmissionInputs admission;
    admission.expected_ = choice->expected_;
    admission.left_ = std::chrono::duration_cast<Microseconds>(request.deadline_ - now);
    admission.goalLeft_
        = std::chrono::duration_cast<Microseconds>(request.arrivedAt_ + route.latencyGoal_ - now);
    admission.priority_ = Policy::priorityOf(route, request.workspace_);
    const Policy::Candidate &likely = candidates_[choice->candidate_];
    admission.hasFreeSlot_ = current_.reportsPace_ && likely.load_ + 1 <= likely.slots_;
    auto admitted = Policy::evaluateAdmission(admission, route.latencyGoal_);
    if (!request.hasRoom_ && admitted == Policy::AdmissionVerdict::Take)
        admitted = Policy::AdmissionVerdict::NoRoom;
    if (admitted != Policy::AdmissionVerdict::Take) {
        const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
        const bool isTooLate = admitted == Policy::AdmissionVerdict::TooLate;
        const auto expectedWithSlot
            = likely.roundTrip_ + (likely.isKnownWarm_ ? work.warm_ : work.cold_);
        return Refusal{isTooLate ? ResultCode::WouldBeLate : ResultCode::OverCapacity,
                       Policy::refusalRetryDelay(choice->expected_, route.latencyGoal_, draw),
                       choice->expected_, expectedWithSlot};
    }
    const Policy::Candidate &chosen = candidates_[choice->candidate_];
    Placement placement;
    placement.target_ = candidateTargets_[choice->candidate_];
    placement.isHome_ = chosen.isHome_;
    placement.isRemoteHome_ = chosen.isRemoteHome_;
    placement.isKnownWarm_ = chosen.isKnownWarm_;
    placement.load_ = chosen.load_;
    placement.expected_ = choice->expected_;
    placement.maxUsualLatency_ = Policy::latestNormalTime(chosen, work);
    if (current_.reportsPace_)
        placement.nextExpected_ = nextExpected(choice->candidate_, work);
    Policy::noteTry(placement.target_->reachability_);
    Policy::noteTrial(placement.target_->rejections_);
    Policy::noteUse(placement.target_->use_, now);
    Policy::countRequest(spillOver_, chosen.leavesHomeRegion_, now);
    TargetState &target = *placement.target_;
    target.limit_.usedAt_ = now;
    if (target.isCold(now)) {
        const auto *service = request.table_->service(request.service_);
        Policy::takeSlowStartToken(target.slowStart_, service->coldLimit_, entriesSharing(target),
                                   now);
    }
    return placement;
}

} // namespace Steering
