#include "ControlState.h"

#include <boost/functional/hash.hpp>

namespace Controld {

using Model::Milliseconds;

namespace {

constexpr Milliseconds snapshotPause{50};
constexpr Milliseconds routineSnapshotPause{400};

void mixRecord(std::size_t &print, const Peers::InstanceRecord &record, bool isAlive)
{
    boost::hash_combine(print, record.instance_.id_.value());
    boost::hash_combine(print, record.incarnation_.value());
    for (const bool flag : {record.instance_.isLeaving_, record.isReady_, record.isStarting_,
                            record.entryVersion_.value() > 0, isAlive})
        boost::hash_combine(print, flag);
    for (const auto &walked : record.walked_)
        boost::hash_combine(print, walked.service_.value() + walked.origin_.value());
}

} // namespace

std::size_t ControlState::urgentPrint() const
{
    const auto now = std::chrono::steady_clock::now();
    std::size_t print = gossip_.members_.marks_.marks_.size();
    mixRecord(print, gossip_.self_, true);
    for (const auto &[id, member] : gossip_.members_.members_)
        mixRecord(print, member.record_, Peers::isAlive(member, now));
    for (const auto &[region, summary] : gossip_.members_.summaries_) {
        boost::hash_combine(print, region.value());
        boost::hash_combine(print, summary.contacts_.size());
        for (const auto &load : summary.loads_)
            boost::hash_combine(print, load.slots_.value() > 0);
    }
    return print;
}

cassiacrank::LiveState ControlState::liveState() const
{
    const auto now = std::chrono::steady_clock::now();
    cassiacrank::LiveState live;
    live.set_ready(gossip_.self_.isReady_);
    live.set_leaving(gossip_.self_.instance_.isLeaving_);
    live.set_starting(!knowsRegions_);
    *live.add_members() = Peers::toMessage(gossip_.self_);
    for (const auto &[id, member] : gossip_.members_.members_) {
        if (Peers::isAlive(member, now))
            *live.add_members() = Peers::toMessage(member.record_);
    }
    for (const auto &[region, summary] : gossip_.members_.summaries_) {
        if (Peers::isFresh(gossip_.members_, region, now))
            *live.add_summaries() = Peers::toMessage(summary);
    }
    for (const auto &[target, incarnation] : gossip_.members_.marks_.marks_) {
        auto *mark = live.add_marks();
        mark->set_target(target.value());
        mark->set_incarnation(incarnation.value());
    }
    *live.mutable_crashes() = Peers::toMessage(Policy::newsOf(gossip_.crashes_, now));
    const std::size_t known = std::max(listed_.size(), gossip_.members_.members_.size() + 1);
    live.set_fleet_size(static_cast<std::uint32_t>(known));
    return live;
}

cassiacrank::Snapshot ControlState::waitForSnapshot(SentMarks &sent, bool &isClosed)
{
    std::unique_lock lock(mutex_);
    const auto hasUrgentNews = [&] {
        return isClosed_ || gossip_.table_.version_ > sent.table_ || blocksCount_ != sent.blocks_;
    };
    // Small news is gathered for a moment; a new table goes out at once. Heartbeats and loads come
    // far more often than anything that matters, and each snapshot costs three processes time.
    changed_.wait_for(lock, snapshotPause, hasUrgentNews);
    changed_.wait_for(lock, routineSnapshotPause, [&] {
        return hasUrgentNews() || changeCount_ != sent.changes_;
    });
    isClosed = isClosed_;

    cassiacrank::Snapshot snapshot;
    if (gossip_.table_.version_ > sent.table_) {
        const auto whole = Platform::deltaSince(gossip_.table_, Model::TableVersion(0));
        *snapshot.mutable_table() = Peers::toMessage(whole);
        sent.table_ = gossip_.table_.version_;
    }
    if (blocksCount_ != sent.blocks_) {
        snapshot.set_client_blocks(clientBlocks_);
        snapshot.set_has_client_blocks(true);
        sent.blocks_ = blocksCount_;
    }
    *snapshot.mutable_live() = liveState();
    sent.changes_ = changeCount_;
    return snapshot;
}

} // namespace Controld
