#include "ShareWalks.h"

#include <algorithm>

namespace Peers {

namespace {

/// A longer time between two steps means that the process was paused.
constexpr Model::Milliseconds longestStep{1000};

std::vector<Model::FailureDomainId> domainIds(const Model::Table &table)
{
    std::vector<Model::FailureDomainId> ids;
    for (const auto &domain : table.domains())
        ids.push_back(domain.id_);
    return ids;
}

const WalkedShares *findIn(const std::vector<WalkedShares> &all, const ShareWalks::Key &key)
{
    const auto found = std::find_if(all.begin(), all.end(), [&](const auto &walked) {
        return walked.service_ == key.first && walked.origin_ == key.second;
    });
    return found == all.end() ? nullptr : &*found;
}

const WalkedShares *walkOfOthers(const InstanceView &view, const Model::Instance &own,
                                 const ShareWalks::Key &key)
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

/// The rows of the table may have moved; the shares stay with their names.
Policy::ShareVector sharesUnder(const Model::Table &table, const ShareWalk &walk)
{
    std::vector<Model::DomainShare> named;
    for (std::size_t i = 0; i < walk.domains_.size(); ++i)
        named.push_back({walk.domains_[i], Model::Share(walk.shares_.shares_[i])});
    return Policy::indexedShares(table, named);
}

} // namespace

Model::Milliseconds beginStep(ShareWalks &walks, bool isStarting, Model::SteadyTime now)
{
    const bool isFirst = walks.steppedAt_ == Model::SteadyTime();
    auto elapsed = isFirst
                       ? Model::Milliseconds(0)
                       : std::chrono::duration_cast<Model::Milliseconds>(now - walks.steppedAt_);
    // A process that was paused must not make up for the pause in one jump, nor stay behind the
    // plan by the length of the pause: it begins as a fresh one would.
    if (isFirst || elapsed > longestStep || isStarting || walks.wasStarting_) {
        walks.walks_.clear();
        elapsed = Model::Milliseconds(0);
        walks.steppedAt_ = now;
    }
    walks.wasStarting_ = isStarting;
    walks.steppedAt_ += elapsed;
    return elapsed;
}

ShareWalk &walkFor(ShareWalks &walks, const InstanceView &view, const Model::Instance &own,
                   const ShareWalks::Key &key, const Policy::ShareVector &planned)
{
    const Model::Table &table = *view.table_;
    const auto [found, isNew] = walks.walks_.try_emplace(key);
    ShareWalk &walk = found->second;
    if (!isNew && walk.version_ == table.version())
        return walk;
    if (isNew) {
        const auto *walked = walkOfOthers(view, own, key);
        walk.shares_ = walked ? Policy::indexedShares(table, walked->shares_) : planned;
    } else {
        walk.shares_ = sharesUnder(table, walk);
    }
    walk.version_ = table.version();
    walk.domains_ = domainIds(table);
    return walk;
}

} // namespace Peers
