#include "TargetRegistry.h"

#include <algorithm>

namespace Steering {

using Model::SteadyTime;
using Observe::Event;

namespace {

/// How long the time of a removal is kept; updates spread between instances in less time.
constexpr Model::Milliseconds removalRetention{10000};
/// How long the terms of a dropped target are kept; its registration returns within seconds after
/// an outage of the store, or not at all.
constexpr Model::Milliseconds droppedTermsRetention{600000};

const char *nameOf(Policy::StoreContact contact)
{
    switch (contact) {
    case Policy::StoreContact::Reached:
        return "reached";
    case Policy::StoreContact::Refused:
        return "refused";
    case Policy::StoreContact::NotAsked:
        break;
    }
    return "not asked";
}

/// Returns the milliseconds from \a then to \a now, or -1 if \a then is unset.
std::int64_t msSince(SteadyTime then, SteadyTime now)
{
    if (then == Model::distantPast)
        return -1;
    return std::chrono::duration_cast<Model::Milliseconds>(now - then).count();
}

} // namespace

/// Logs which target rows were known when the last request was sent to a leaving target. Only this
/// line shows whether the update came too late or was disregarded.
void TargetRegistry::logLeave(const TargetState &target, const char *how,
                              Platform::Revision revision, SteadyTime now)
{
    const LastSend &last = target.lastSend_;
    log_.line(Event::TargetLeaveKnown)
        .add("target", target.record_.id_.value())
        .add("how", how)
        .add("revision", toText(revision))
        .add("by", platformState_.targetsSource())
        .add("in_progress", target.ownInFlight_)
        .add("last_request", last.request_)
        .add("sent_ms_ago", msSince(last.at_, now))
        .add("sent_knowing", toText(last.knownRevision_))
        .add("store_said_ms_before", msSince(last.freshness_.storeConfirmedAt_, last.at_))
        .add("peers_said_ms_before", msSince(last.freshness_.peersConfirmedAt_, last.at_));
}

void TargetRegistry::noteLeave(TargetState &target, const char *how, SteadyTime now)
{
    if (std::exchange(target.record_.isLeaving_, true))
        return;
    logLeave(target, how, target.revision_, now);
}

void TargetRegistry::noteLeave(const Model::TargetId &id, const char *how, SteadyTime now)
{
    const auto target = targets_.find(id);
    if (target != targets_.end())
        noteLeave(*target->second, how, now);
}

void TargetRegistry::noteMissing(SteadyTime now, const Policy::StoreEvidence &evidence)
{
    const TableReplica &replica = platformState_.replica(StoreTable::Targets);
    const auto unannounced
        = std::count_if(targets_.begin(), targets_.end(), [&](const auto &entry) {
              const auto &[id, target] = entry;
              const bool isMissing = !replica.rows().contains(id.value());
              return isMissing && !target->record_.isLeaving_ && !target->removedRegistration_;
          });
    std::erase_if(targets_, [&](const auto &entry) {
        const auto &[id, target] = entry;
        if (replica.rows().contains(id.value()) || target->removedRegistration_)
            return false;
        Policy::RemovedRegistration removed;
        removed.revision_ = replica.removedAt(id.value()).value_or(replica.knownRevision()).value();
        removed.noticedAt_ = removals_.try_emplace(id, now).first->second;
        removed.isSimultaneousRemoval_
            = static_cast<std::size_t>(unannounced) >= Policy::minSimultaneousRemovals;
        const auto until = Policy::usableUntil(removed, evidence);
        if (until > now && !target->record_.isLeaving_) {
            target->removedRegistration_ = removed;
            log_.line(Event::TargetMissing)
                .add("target", id.value())
                .add("revision", toText(Platform::Revision(removed.revision_)))
                .add("store", nameOf(evidence.own_.contact_))
                .add("use_ms", std::chrono::duration_cast<Model::Microseconds>(until - now))
                .add("noticed_ms_ago", msSince(removed.noticedAt_, now))
                .add("at_once", static_cast<std::int64_t>(unannounced));
            logLeave(*target, "missing", Platform::Revision(removed.revision_), now);
            return false;
        }
        log_.line(Event::TargetGone)
            .add("target", id.value())
            .add("leaving", target->record_.isLeaving_ ? "yes" : "no");
        if (!target->record_.isLeaving_)
            logLeave(*target, "removed", Platform::Revision(removed.revision_), now);
        drop(*target, now);
        return true;
    });
}

bool TargetRegistry::dropMissing(SteadyTime now, const Policy::StoreEvidence &evidence)
{
    const auto dropped = std::erase_if(targets_, [&](const auto &entry) {
        const auto &[id, target] = entry;
        if (!target->removedRegistration_
            || now < Policy::usableUntil(*target->removedRegistration_, evidence))
            return false;
        const auto missingFor = now - target->removedRegistration_->noticedAt_;
        log_.line(Event::TargetGone)
            .add("target", id.value())
            .add("after", "lapse")
            .add("missing_ms", std::chrono::duration_cast<Model::Microseconds>(missingFor));
        logLeave(*target, "lapsed", Platform::Revision(target->removedRegistration_->revision_),
                 now);
        drop(*target, now);
        return true;
    });
    if (dropped > 0)
        findSuccessors();
    const auto outOfUse = std::count_if(targets_.begin(), targets_.end(), [](const auto &entry) {
        return entry.second->isReplaced_ || entry.second->record_.isLeaving_;
    });
    if (dropped > 0 || static_cast<std::size_t>(outOfUse) != outOfUseCount_)
        rebuildServices();
    return dropped > 0;
}

RemovalAges TargetRegistry::removalsToSend(SteadyTime now) const
{
    RemovalAges ages;
    for (const auto &[id, noticedAt] : removals_) {
        if (now - noticedAt <= removalRetention)
            ages[id.value()] = std::chrono::duration_cast<Model::Milliseconds>(now - noticedAt);
    }
    return ages;
}

void TargetRegistry::receiveRemovals(const RemovalAges &ages, SteadyTime now)
{
    for (const auto &[id, age] : ages) {
        if (age > removalRetention)
            continue;
        const auto [known, isNew] = removals_.try_emplace(Model::TargetId(id), now - age);
        known->second = std::min(known->second, now - age);
        const auto target = targets_.find(known->first);
        if (target == targets_.end() || !target->second->removedRegistration_)
            continue;
        auto &noticedAt = target->second->removedRegistration_->noticedAt_;
        noticedAt = std::min(noticedAt, known->second);
    }
}

void TargetRegistry::drop(TargetState &target, SteadyTime now)
{
    target.isDropped_ = true;
    const bool hasTerms
        = target.record_.isLeaving_ || target.limit_.rate_ || Policy::isPausing(target.pause_, now);
    if (hasTerms) {
        droppedTerms_[target.record_.id_]
            = {target.record_, target.limit_, target.pause_, target.revision_, now};
    }
}

void TargetRegistry::forgetRemovals(SteadyTime now)
{
    std::erase_if(droppedTerms_, [&](const auto &entry) {
        const TargetTerms &terms = entry.second;
        return now - terms.droppedAt_ > droppedTermsRetention && now >= terms.pause_.until_;
    });
    std::erase_if(removals_, [&](const auto &entry) {
        return now - entry.second > removalRetention;
    });
}

} // namespace Steering
