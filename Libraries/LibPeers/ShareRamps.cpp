#include "ShareRamps.h"

#include <algorithm>

namespace Peers {

namespace {

/// A longer time between two steps means that the process was paused.
constexpr Model::Milliseconds maxStepDuration{1000};

std::vector<Model::FailureDomainId> domainIds(const Model::Table &table)
{
    std::vector<Model::FailureDomainId> ids;
    for (const auto &domain : table.domains())
        ids.push_back(domain.id_);
    return ids;
}

const WalkedShares *findIn(const std::vector<WalkedShares> &all, const ShareRamps::Key &key)
{
    const auto found = std::find_if(all.begin(), all.end(), [&](const auto &walked) {
        return walked.service_ == key.first && walked.origin_ == key.second;
    });
    return found == all.end() ? nullptr : &*found;
}

const WalkedShares *peerReportedShares(const InstanceView &view, const Model::Instance &own,
                                       const ShareRamps::Key &key)
{
    for (const auto &member : view.members_) {
        const auto *walked = findIn(member.walked_, key);
        if (walked && member.instance_.id_ != own.id_)
            return walked;
    }
    for (const auto &summary : view.summaries_) {
        const auto *walked = findIn(summary.walked_, key);
        if (walked && summary.region_ != own.region_)
            return walked;
    }
    return nullptr;
}

/// The indexes of the domains may differ between table versions, so shares are mapped by id.
Policy::ShareVector remappedShares(const Model::Table &table, const ShareRamp &ramp)
{
    std::vector<Model::DomainShare> named;
    for (std::size_t i = 0; i < ramp.domains_.size(); ++i)
        named.push_back({ramp.domains_[i], Model::Share(ramp.shares_.shares_[i])});
    return Policy::indexedShares(table, named);
}

} // namespace

Model::Milliseconds beginRampStep(ShareRamps &ramps, bool isStarting, Model::SteadyTime now)
{
    const bool isFirst = ramps.steppedAt_ == Model::SteadyTime();
    auto elapsed = isFirst
                       ? Model::Milliseconds(0)
                       : std::chrono::duration_cast<Model::Milliseconds>(now - ramps.steppedAt_);
    // A process that was paused must neither make up for the pause in one jump nor lag the plan by
    // the length of the pause, so it restarts its ramps like a new process.
    if (isFirst || elapsed > maxStepDuration || isStarting || ramps.wasStarting_) {
        ramps.ramps_.clear();
        elapsed = Model::Milliseconds(0);
        ramps.steppedAt_ = now;
    }
    ramps.wasStarting_ = isStarting;
    ramps.steppedAt_ += elapsed;
    return elapsed;
}

ShareRamp &rampFor(ShareRamps &ramps, const InstanceView &view, const Model::Instance &own,
                   const ShareRamps::Key &key, const Policy::ShareVector &planned)
{
    const Model::Table &table = *view.table_;
    const auto [found, isNew] = ramps.ramps_.try_emplace(key);
    ShareRamp &ramp = found->second;
    if (!isNew && ramp.version_ == table.version())
        return ramp;
    if (isNew) {
        const auto *walked = peerReportedShares(view, own, key);
        ramp.shares_ = walked ? Policy::indexedShares(table, walked->shares_) : planned;
    } else {
        ramp.shares_ = remappedShares(table, ramp);
    }
    ramp.version_ = table.version();
    ramp.domains_ = domainIds(table);
    return ramp;
}

} // namespace Peers
