#include "InstanceView.h"

#include <LibObserve/LibObserve.h>

namespace Peers {

namespace {

ViewChange applyTable(InstanceView &view, const cassiacrank::TableDelta &message)
{
    ViewChange change;
    const Model::TableVersion current
        = view.table_ ? view.table_->version() : Model::TableVersion(0);
    auto delta = fromMessage(message);
    if (delta && delta->version_ == current)
        return change;
    if (!delta || !Policy::mayApply(current, delta->version_)) {
        change.tableRefused_ = true;
        return change;
    }
    auto table = Model::Table::build(delta->version_, std::move(delta->rows_),
                                     std::move(delta->shiftStarts_));
    if (!table) {
        change.tableRefused_ = true;
        return change;
    }
    view.table_ = std::make_shared<const Model::Table>(std::move(*table));
    change.tableChanged_ = true;
    return change;
}

void applyLiveState(InstanceView &view, const cassiacrank::LiveState &live)
{
    view.isReady_ = live.ready();
    view.isLeaving_ = live.leaving();
    view.isStarting_ = live.starting();
    view.fleetSize_ = live.fleet_size();
    view.members_.clear();
    for (const auto &message : live.members()) {
        if (auto record = fromMessage(message))
            view.members_.push_back(std::move(*record));
    }
    view.crashes_ = fromMessage(live.crashes());
    view.summaries_.clear();
    for (const auto &message : live.summaries()) {
        if (auto summary = fromMessage(message))
            view.summaries_.push_back(std::move(*summary));
    }
    for (const auto &mark : live.marks()) {
        Policy::markLeaving(view.marks_, Model::TargetId(mark.target()),
                            Model::Incarnation(mark.incarnation()));
    }
}

void applyClientBlocks(InstanceView &view, const std::string &text)
{
    auto blocks = Model::ClientBlocks::build(text);
    if (!blocks) {
        Observe::logEvent(Observe::Event::SnapshotRefused,
                          {{"reason", toText(Model::lastReason())}});
        return;
    }
    view.blocks_ = std::make_shared<const Model::ClientBlocks>(std::move(*blocks));
    Observe::logEvent(Observe::Event::BlocksApplied,
                      {{"blocks", std::to_string(view.blocks_->size())}});
}

} // namespace

ViewChange applySnapshot(InstanceView &view, const cassiacrank::Snapshot &snapshot)
{
    ViewChange change;
    if (snapshot.has_table())
        change = applyTable(view, snapshot.table());
    if (snapshot.has_client_blocks())
        applyClientBlocks(view, snapshot.client_blocks());
    if (snapshot.has_live())
        applyLiveState(view, snapshot.live());
    if (change.tableChanged_) {
        Observe::logEvent(Observe::Event::SnapshotApplied,
                          {{"version", std::to_string(view.table_->version().value())}});
    }
    if (change.tableRefused_) {
        Observe::logEvent(Observe::Event::SnapshotRefused,
                          {{"reason", toText(Model::lastReason())}});
    }
    return change;
}

std::vector<Policy::EntryCandidate> entryCandidates(const InstanceView &view)
{
    std::vector<Policy::EntryCandidate> candidates;
    Model::RegionId localRegion;
    for (const auto &record : view.members_) {
        localRegion = record.instance_.region_;
        const bool isServing = record.isReady_ && !record.isStarting_
                               && record.entryVersion_ > Model::TableVersion(0);
        candidates.push_back({record.instance_, isServing});
    }
    for (const auto &summary : view.summaries_) {
        if (summary.region_ == localRegion)
            continue;
        for (const auto &contact : summary.contacts_)
            candidates.push_back({contact, true});
    }
    return candidates;
}

} // namespace Peers
