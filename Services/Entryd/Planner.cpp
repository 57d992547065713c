#include "Planner.h"

#include <algorithm>

namespace Entryd {

using Model::Milliseconds;
using Observe::Event;

namespace {

constexpr Milliseconds stepInterval{50};
constexpr Milliseconds reportInterval{100};
/// Share vectors that are no further apart than this count as equal.
constexpr double notableDistance = 1e-3;

Model::SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Model::WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

double distance(const Policy::ShareVector &a, const Policy::ShareVector &b)
{
    double sum = 0;
    for (std::size_t i = 0; i < a.shares_.size() && i < b.shares_.size(); ++i)
        sum += std::abs(a.shares_[i] - b.shares_[i]);
    return sum / 2;
}

/// Returns whether a target keeps its state: its row has not changed.
bool isSameTarget(const Model::Target &a, const Model::Target &b)
{
    return a.address_ == b.address_ && a.slots_ == b.slots_ && a.service_ == b.service_
           && a.domain_ == b.domain_ && a.connections_ == b.connections_;
}

} // namespace

bool areNotablyApart(const Policy::ShareVector &a, const Policy::ShareVector &b)
{
    return distance(a, b) > notableDistance;
}

Planner::Planner(const Observe::Settings &settings, SnapshotCell &cell, CrashGuard &guard)
    : settings_(settings)
    , cell_(cell)
    , guard_(guard)
    , client_(settings.controlLocal_, "entry")
{
}

Planner::~Planner()
{
    stop();
}

void Planner::start()
{
    client_.start([this](const cassiacrank::Snapshot &snapshot) {
        onSnapshot(snapshot);
    });
    thread_ = std::thread([this] {
        run();
    });
}

void Planner::stop()
{
    client_.stop();
    {
        const std::lock_guard lock(mutex_);
        isStopRequested_ = true;
        changed_.notify_all();
    }
    if (thread_.joinable())
        thread_.join();
}

void Planner::onSnapshot(const cassiacrank::Snapshot &snapshot)
{
    const std::lock_guard lock(mutex_);
    const auto change = Peers::applySnapshot(receivedView_, snapshot);
    hasReceivedView_ = true;
    if (change.tableChanged_)
        changed_.notify_all();
}

void Planner::run()
{
    std::unique_lock lock(mutex_);
    while (!isStopRequested_) {
        if (hasReceivedView_) {
            view_ = receivedView_;
            hasReceivedView_ = false;
            guard_.applyUpdate(view_.crashes_, steadyNow());
            updateTargets();
        }
        guard_.step(steadyNow());
        step();
        lock.unlock();
        if (steadyNow() - reportedAt_ >= reportInterval)
            reportIfDue(makeReport());
        lock.lock();
        const Model::TableVersion seen
            = view_.table_ ? view_.table_->version() : Model::TableVersion(0);
        changed_.wait_for(lock, stepInterval, [&] {
            return isStopRequested_
                   || (hasReceivedView_ && receivedView_.table_
                       && receivedView_.table_->version() > seen);
        });
    }
}

void Planner::updateTargets()
{
    if (!view_.table_)
        return;
    std::map<Model::TargetId, std::shared_ptr<TargetState>> next;
    for (const auto &target : view_.table_->targets()) {
        const auto *domain = view_.table_->domain(target.domain_);
        if (!domain || domain->region_ != settings_.region_)
            continue;
        const auto held = targets_.find(target.id_);
        const bool isKept = held != targets_.end() && isSameTarget(held->second->target_, target);
        auto &state = next[target.id_];
        state = isKept ? held->second : std::make_shared<TargetState>(target);
        if (!isKept && held != targets_.end() && held->second->target_.address_ == target.address_)
            carryTerms(*held->second, *state);
    }
    // Requests in progress still hold targets that have been removed from the table.
    for (const auto &[id, state] : targets_) {
        const auto kept = next.find(id);
        if (kept == next.end() || kept->second != state)
            state->isLeaving_ = true;
    }
    targets_ = std::move(next);
    applyLeavingMarks();
}

void Planner::applyLeavingMarks()
{
    for (const auto &[id, incarnation] : view_.marks_.marks_) {
        const auto found = targets_.find(id);
        if (found == targets_.end())
            continue;
        const Model::Incarnation seen(found->second->incarnation_);
        if (!Policy::isLeaving(view_.marks_, id, seen))
            continue;
        if (!found->second->isLeaving_.exchange(true))
            logLeaving(*found->second, "peer", std::chrono::steady_clock::now());
    }
}

void Planner::step()
{
    if (!view_.table_)
        return;
    const auto elapsed = Peers::beginRampStep(shareRamps_, view_.isStarting_, steadyNow());
    auto snapshot = makeSnapshot(elapsed);
    isReady_ = snapshot->isReady_;
    takesCallers_ = snapshot->takesCallers_;
    cell_.publish(std::move(snapshot));
    tableVersion_ = view_.table_->version().value();
}

std::unique_ptr<EntrySnapshot> Planner::makeSnapshot(Milliseconds elapsed)
{
    const Model::Table &table = *view_.table_;
    auto snapshot = std::make_unique<EntrySnapshot>();
    snapshot->table_ = view_.table_;
    snapshot->blocks_ = view_.blocks_;
    snapshot->isReady_ = view_.isReady_;
    snapshot->takesCallers_ = view_.isReady_ && !view_.isStarting_;
    snapshot->fleetSize_ = std::max<std::size_t>(1, view_.fleetSize_);
    snapshot->entriesInRegion_ = std::max<std::size_t>(1, view_.members_.size());
    for (std::size_t i = 0; i < table.regions().size(); ++i) {
        snapshot->regionIndex_[table.regions()[i].id_] = i;
        if (table.regions()[i].id_ == settings_.region_)
            snapshot->localRegion_ = i;
    }
    for (const auto &record : view_.members_) {
        if (record.instance_.id_ != settings_.instance_)
            snapshot->localPeerEntries_.push_back(record.instance_);
    }
    // Both entries of a pair compute the same rank, so hints are exchanged between the same few
    // entries.
    std::sort(snapshot->localPeerEntries_.begin(), snapshot->localPeerEntries_.end(),
              [this](const auto &a, const auto &b) {
                  return pairRank(a.id_) < pairRank(b.id_);
              });
    snapshot->remoteEntries_.resize(table.domains().size());
    for (const auto &summary : view_.summaries_) {
        if (summary.region_ == settings_.region_)
            continue;
        for (std::size_t i = 0; i < table.domains().size(); ++i) {
            if (table.domains()[i].region_ == summary.region_)
                snapshot->remoteEntries_[i] = summary.contacts_;
        }
    }
    const Model::WallTime now = wallNow();
    for (const auto &service : table.services()) {
        snapshot->serviceIndex_[service.id_] = snapshot->services_.size();
        snapshot->services_.push_back(planService(service, now, elapsed));
    }
    divideLimits(*snapshot);
    return snapshot;
}

/// Targets are called by the entries of their region only, which share the targets' rate limits.
void Planner::divideLimits(const EntrySnapshot &snapshot) const
{
    std::vector<std::shared_ptr<TargetState>> limited;
    for (const auto &service : snapshot.services_) {
        for (const auto &domain : service.targets_) {
            std::copy_if(domain.begin(), domain.end(), std::back_inserter(limited),
                         [](const auto &target) {
                             return target->limit_ > 0;
                         });
        }
    }
    if (limited.empty())
        return;
    std::vector<std::uint64_t> peers;
    for (const auto &peer : snapshot.localPeerEntries_)
        peers.push_back(Policy::seedOf(peer.id_.value()));
    const std::uint64_t own = Policy::seedOf(settings_.instance_.value());
    for (const auto &target : limited) {
        const std::uint64_t seed = Policy::seedOf(target->target_.id_.value());
        const Model::RequestsPerSecond limit(target->limit_);
        setLimitPart(*target,
                     Policy::limitPart(limit, seed, own, peers, snapshot.entriesInRegion_));
    }
}

std::uint64_t Planner::pairRank(const Model::InstanceId &other) const
{
    const auto &[first, second] = std::minmax(settings_.instance_, other);
    return Policy::rendezvousScore(first.value(), second.value());
}

ServicePlan Planner::planService(const Model::Service &service, Model::WallTime now,
                                 Milliseconds elapsed)
{
    const Model::Table &table = *view_.table_;
    ServicePlan plan;
    plan.targets_.resize(table.domains().size());
    for (const auto &[id, state] : targets_) {
        if (state->target_.service_ != service.id_)
            continue;
        for (std::size_t i = 0; i < table.domains().size(); ++i) {
            if (table.domains()[i].id_ == state->target_.domain_)
                plan.targets_[i].push_back(state);
        }
    }
    findOutage(service, plan);
    for (const auto &region : table.regions())
        plan.origins_.push_back(planOrigin(service, region.id_, plan.outage_, now, elapsed));
    return plan;
}

void Planner::findOutage(const Model::Service &service, ServicePlan &plan)
{
    const Model::Table &table = *view_.table_;
    plan.outage_.isOut_.assign(table.domains().size(), false);
    for (std::size_t i = 0; i < table.domains().size(); ++i) {
        const auto &domain = table.domains()[i];
        bool canServe = false;
        if (domain.region_ == settings_.region_) {
            canServe
                = Policy::anyUsable(viewsOf(plan.targets_[i], steadyNow()), Policy::maxPauseInUse);
        } else {
            for (const auto &summary : view_.summaries_) {
                for (const auto &load : summary.loads_) {
                    canServe |= !summary.contacts_.empty() && load.service_ == service.id_
                                && load.domain_ == domain.id_ && load.slots_ > Model::Slots(0);
                }
            }
        }
        plan.outage_.isOut_[i] = !canServe;
        bool &wasOut = loggedOutages_[{service.id_, domain.id_}];
        if (wasOut == !canServe || view_.isStarting_)
            continue;
        wasOut = !canServe;
        Observe::logEvent(canServe ? Event::DomainBack : Event::DomainOut,
                          {{"service", service.id_.value()}, {"domain", domain.id_.value()}});
    }
}

Model::Instance Planner::localInstance() const
{
    Model::Instance local;
    local.id_ = settings_.instance_;
    local.region_ = settings_.region_;
    return local;
}

OriginPlan Planner::planOrigin(const Model::Service &service, const Model::RegionId &origin,
                               const Policy::DomainOutage &outage, Model::WallTime now,
                               Milliseconds elapsed)
{
    const Model::Table &table = *view_.table_;
    const auto caps = Policy::capsOf(service);
    const auto planned = Policy::plannedShares(table, service.id_, origin, now);
    const bool isAnyOut = std::any_of(outage.isOut_.begin(), outage.isOut_.end(), [](bool isOut) {
        return isOut;
    });
    Peers::ShareRamp &ramp
        = Peers::rampFor(shareRamps_, view_, localInstance(), {service.id_, origin}, planned);
    const auto aim = Policy::goalShares(table, service.id_, origin, now, outage);
    const auto goal = isAnyOut ? aim : planned;
    ramp.shares_ = Policy::movedShares(table, ramp.shares_, goal, caps, elapsed);

    OriginPlan plan;
    plan.shares_ = ramp.shares_;
    plan.isMoving_ = areNotablyApart(ramp.shares_, aim);
    const double progressPerSecond
        = Policy::allowedProgress(table, ramp.shares_, goal, caps, std::chrono::seconds(1));
    const double seconds = progressPerSecond > 0 ? 1.0 / progressPerSecond : 1.0;
    const Milliseconds wait(static_cast<long long>(seconds * 1000));
    plan.retryDelay_ = std::clamp(wait, Policy::minRetryAfter, Policy::maxRetryAfter);
    return plan;
}

} // namespace Entryd
