#include "TargetRegistry.h"

#include <algorithm>

namespace Steering {

using Model::SteadyTime;
using Observe::Event;

TargetRegistry::TargetRegistry(const PlatformPort &port, const PlatformState &knowledge,
                               Observe::DecisionLog &log)
    : port_(port)
    , platformState_(knowledge)
    , log_(log)
{
}

void TargetRegistry::update(SteadyTime now, const Policy::StoreEvidence &evidence)
{
    for (const auto &[key, row] : platformState_.replica(StoreTable::Targets).rows())
        applyRow(row, now);
    forgetRemovals(now);
    std::erase_if(unreadable_, [&](const auto &entry) {
        return !platformState_.replica(StoreTable::Targets).rows().contains(entry.first);
    });
    noteMissing(now, evidence);
    findSuccessors();
    for (auto &[id, target] : targets_)
        resolveDomain(*target);
    rebuildServices();
}

namespace {

/// Returns whether \a record is from a later incarnation than \a current. Targets that do not
/// report their start time are compared by their report count, which restarts with each
/// incarnation; an older copy of the store holds a lower count too.
bool isLaterIncarnation(const Model::TargetRecord &record, const Model::TargetRecord &current,
                        bool isSameEra)
{
    if (record.incarnation_ != current.incarnation_)
        return record.incarnation_ > current.incarnation_;
    const bool hasNoStartTime = record.incarnation_ == Model::Incarnation();
    return hasNoStartTime && isSameEra && record.reportCount_ < current.reportCount_;
}

/// Returns whether \a target registered after \a other, a different target at the same address.
bool isAfter(const TargetState &target, const TargetState &other)
{
    const auto startTime = target.record_.incarnation_;
    const auto otherStartTime = other.record_.incarnation_;
    const bool haveStartTimes
        = startTime != Model::Incarnation() && otherStartTime != Model::Incarnation();
    if (haveStartTimes && startTime != otherStartTime)
        return startTime > otherStartTime;
    return target.firstRevision_ > other.firstRevision_;
}

} // namespace

void TargetRegistry::noteUnreadable(const Platform::StoredRow &row)
{
    const auto known = targets_.find(Model::TargetId(row.key_));
    if (known != targets_.end())
        known->second->isRegistrationReadable_ = false;
    const auto [place, isNew] = unreadable_.insert_or_assign(row.key_, row.revision_);
    log_.line(Event::TargetUnreadable)
        .add("target", row.key_)
        .add("reason", toText(Model::lastReason()))
        .add("first", isNew ? "yes" : "no")
        .add("revision", toText(row.revision_));
}

std::shared_ptr<TargetState> TargetRegistry::stateFor(const Model::TargetRecord &record,
                                                      Platform::Revision revision)
{
    auto &target = targets_[record.id_];
    const auto isSameEra = [&](Platform::Revision known) {
        return Platform::eraOf(known) == Platform::eraOf(revision);
    };
    const bool isRestarted
        = target && isLaterIncarnation(record, target->record_, isSameEra(target->revision_));
    if (isRestarted) {
        restarted_.push_back(target->record_.address_);
        log_.line(Event::TargetRestarted)
            .add("target", record.id_.value())
            .add("in_progress", target->ownInFlight_);
    }
    // Requests that are still in progress at the earlier incarnation keep its state, so that their
    // results are not attributed to the new one.
    if (!target || isRestarted) {
        const auto bytes
            = target ? Policy::bytesOfNextIncarnation(target->bytes_, target->record_.isLeaving_)
                     : Policy::TargetBytes();
        target = std::make_shared<TargetState>();
        target->bytes_ = bytes;
        target->seed_ = Policy::seedOf(record.id_.value());
        const auto dropped = droppedTerms_.find(record.id_);
        if (dropped != droppedTerms_.end()
            && !isLaterIncarnation(record, dropped->second.record_,
                                   isSameEra(dropped->second.revision_))) {
            target->record_.isLeaving_ = dropped->second.record_.isLeaving_;
            target->limit_ = dropped->second.limit_;
            target->pause_ = dropped->second.pause_;
        }
        droppedTerms_.erase(record.id_);
    }
    return target;
}

void TargetRegistry::applyRow(const Platform::StoredRow &row, SteadyTime now)
{
    const Model::TargetId id(row.key_);
    const auto known = targets_.find(id);
    const bool isNew = known == targets_.end();
    if (!isNew && row.revision_ <= known->second->revision_) {
        if (known->second->removedRegistration_)
            removals_.erase(id);
        known->second->removedRegistration_.reset();
        return;
    }
    removals_.erase(id);
    const auto refused = unreadable_.find(row.key_);
    if (refused != unreadable_.end() && refused->second == row.revision_)
        return;
    const auto record = port_.decodeTarget_(row);
    if (!record) {
        noteUnreadable(row);
        return;
    }
    unreadable_.erase(row.key_);
    if (!isNew && record->incarnation_ < known->second->record_.incarnation_) {
        known->second->revision_ = row.revision_;
        known->second->removedRegistration_.reset();
        log_.line(Event::TargetOutdated).add("target", row.key_);
        return;
    }
    const auto target = stateFor(*record, row.revision_);
    if (target->firstRevision_ == Platform::Revision())
        target->firstRevision_ = row.revision_;
    const bool wasLeaving = target->record_.isLeaving_;
    const bool wasCold = target->isCold(now);
    target->record_ = *record;
    // An incarnation that is leaving stays so, even if an older row arrives later.
    target->record_.isLeaving_ = record->isLeaving_ || wasLeaving;
    target->revision_ = row.revision_;
    target->isRegistrationReadable_ = true;
    target->removedRegistration_.reset();
    if (record->remainingColdTime_.count() > 0) {
        target->coldUntil_ = now + record->remainingColdTime_;
        // A cold target has lost its loaded objects.
        target->objects_.clear();
        if (!wasCold)
            Policy::beginSlowStart(target->slowStart_, now);
    }
    log_.line(isNew ? Event::TargetAdded : Event::TargetChanged)
        .add("target", id.value())
        .add("service", record->service_.value())
        .add("domain", record->domain_.value())
        .add("address", toText(record->address_))
        .add("leaving", target->record_.isLeaving_ ? "yes" : "no")
        .add("cold_ms", static_cast<std::int64_t>(record->remainingColdTime_.count()))
        .add("revision", toText(row.revision_));
    if (target->record_.isLeaving_ && !wasLeaving)
        logLeave(*target, "announced", row.revision_, now);
}

/// If several targets are registered at one address, the last one to register listens there.
///
/// Without this, when targets crash and restart at their addresses under other ids, the old
/// registrations last for seconds more, and each instance learns only from a rejected request of
/// its own that no target of that id listens there. The rejections exhaust the retry budget, and
/// callers are refused while slots are free.
void TargetRegistry::findSuccessors()
{
    std::map<Model::Address, std::shared_ptr<const TargetState>> latest;
    for (const auto &[id, target] : targets_) {
        if (!target->isRegistrationReadable_ || target->isReplaced_)
            continue;
        auto &known = latest[target->record_.address_];
        if (!known || isAfter(*target, *known))
            known = target;
    }
    for (auto &[id, target] : targets_) {
        const auto found = latest.find(target->record_.address_);
        const bool isLatest = found == latest.end() || found->second == target;
        const auto successor = isLatest ? nullptr : found->second;
        const bool isNewSuccessor = successor && successor != target->successor_;
        target->successor_ = successor;
        if (!isNewSuccessor)
            continue;
        restarted_.push_back(target->record_.address_);
        log_.line(Event::TargetGone)
            .add("target", id.value())
            .add("by", "a later registration at its address")
            .add("successor", successor->record_.id_.value());
    }
}

void TargetRegistry::resolveDomain(TargetState &target) const
{
    target.hasKnownDomain_ = false;
    const auto &table = platformState_.table();
    if (!table)
        return;
    const auto &domains = table->domains();
    for (std::size_t i = 0; i < domains.size(); ++i) {
        if (domains[i].id_ != target.record_.domain_)
            continue;
        const auto &regions = table->regions();
        for (std::size_t j = 0; j < regions.size(); ++j) {
            if (regions[j].id_ == domains[i].region_)
                target.region_ = j;
        }
        target.domain_ = i;
        target.hasKnownDomain_ = true;
    }
}

namespace {

std::uint32_t shortNameOf(const TargetState &target)
{
    return static_cast<std::uint32_t>(target.seed_);
}

} // namespace

void TargetRegistry::rebuildServices()
{
    services_.clear();
    byShortName_.clear();
    domainSeeds_.clear();
    outOfUseCount_ = 0;
    const auto &table = platformState_.table();
    if (!table)
        return;
    for (const auto &domain : table->domains())
        domainSeeds_.push_back(Policy::seedOf(domain.id_.value()));
    for (const auto &[id, target] : targets_) {
        outOfUseCount_ += target->isReplaced_ || target->record_.isLeaving_ ? 1 : 0;
        const bool isDrained = platformState_.drained().contains(target->record_.domain_);
        if (!target->takesWork() || isDrained)
            continue;
        ServiceTargets &service = services_[target->record_.service_];
        service.byDomain_.resize(table->domains().size());
        service.byDomain_[target->domain_].push_back(target);
        byShortName_.emplace(shortNameOf(*target), target);
    }
    for (auto &[id, service] : services_)
        service.homes_ = homesOf(service);
}

Policy::HomeShares TargetRegistry::homesOf(const ServiceTargets &targets) const
{
    const auto &table = *platformState_.table();
    std::vector<Policy::DomainCapacity> capacities;
    for (std::size_t i = 0; i < table.domains().size(); ++i) {
        Policy::DomainCapacity capacity;
        for (std::size_t j = 0; j < table.regions().size(); ++j) {
            if (table.regions()[j].id_ == table.domains()[i].region_)
                capacity.region_ = j;
        }
        for (const auto &target : targets.byDomain_[i])
            capacity.slots_ += static_cast<double>(target->record_.slots_.value());
        capacity.demand_ = 1.0 / static_cast<double>(table.domains().size());
        capacities.push_back(capacity);
    }
    return Policy::homeShares(capacities);
}

std::vector<Policy::TargetLoad> TargetRegistry::loadsToSend(SteadyTime now) const
{
    std::vector<Policy::TargetLoad> loads;
    for (const auto &[name, target] : byShortName_) {
        const Policy::SharedLoad &load = target->sharedLoad_;
        if (!Policy::shouldSendLoad(load, target->record_.slots_, now))
            continue;
        const auto age = std::chrono::duration_cast<Model::Milliseconds>(now - load.reportedAt_);
        loads.push_back({name, static_cast<std::uint32_t>(load.inProgress_), age});
    }
    Policy::keepLatestLoads(loads);
    return loads;
}

void TargetRegistry::receiveLoads(const std::vector<Policy::TargetLoad> &loads, SteadyTime now)
{
    for (const auto &load : loads) {
        const auto target = byShortName_.find(load.target_);
        if (target == byShortName_.end())
            continue;
        TargetState &known = *target->second;
        Policy::learnLoad(known.sharedLoad_, load.inProgress_, known.record_.slots_,
                          now - load.age_);
    }
}

const ServiceTargets *TargetRegistry::service(const Model::ServiceId &service) const
{
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second;
}

} // namespace Steering
