#include "ControlState.h"

#include <boost/functional/hash.hpp>

namespace Controld {

using Model::Milliseconds;

namespace {

constexpr Milliseconds snapshotInterval{50};
constexpr Milliseconds routineSnapshotInterval{400};

void hashRecord(std::size_t &fingerprint, const Peers::InstanceRecord &record, bool isAlive)
{
    boost::hash_combine(fingerprint, record.instance_.id_.value());
    boost::hash_combine(fingerprint, record.incarnation_.value());
    for (const bool flag : {record.instance_.isLeaving_, record.isReady_, record.isStarting_,
                            record.entryVersion_.value() > 0, isAlive})
        boost::hash_combine(fingerprint, flag);
    for (const auto &walked : record.walked_)
        boost::hash_combine(fingerprint, walked.service_.value() + walked.origin_.value());
}

} // namespace

std::size_t ControlState::urgentFingerprint() const
{
    const auto now = std::chrono::steady_clock::now();
    std::size_t fingerprint = gossip_.members_.marks_.marks_.size();
    hashRecord(fingerprint, gossip_.self_, true);
    for (const auto &[id, member] : gossip_.members_.members_)
        hashRecord(fingerprint, member.record_, Peers::isAlive(member, now));
    for (const auto &[region, summary] : gossip_.members_.summaries_) {
        boost::hash_combine(fingerprint, region.value());
        boost::hash_combine(fingerprint, summary.contacts_.size());
        for (const auto &load : summary.loads_)
            boost::hash_combine(fingerprint, load.slots_.value() > 0);
    }
    return fingerprint;
}

cassiacrank::LiveState ControlState::liveState() const
{
    const auto now = std::chrono::steady_clock::now();
    cassiacrank::LiveState live;
    live.set_ready(gossip_.self_.isReady_);
    live.set_leaving(gossip_.self_.instance_.isLeaving_);
    live.set_starting(!allRegionsKnown_);
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
    *live.mutable_crashes() = Peers::toMessage(Policy::crashUpdateFrom(gossip_.crashes_, now));
    const std::size_t known = std::max(listed_.size(), gossip_.members_.members_.size() + 1);
    live.set_fleet_size(static_cast<std::uint32_t>(known));
    return live;
}

cassiacrank::Snapshot ControlState::waitForSnapshot(SentState &sent, bool &isClosed)
{
    std::unique_lock lock(mutex_);
    const auto hasUrgentUpdate = [&] {
        return isClosed_ || gossip_.table_.version_ > sent.table_ || blocksCount_ != sent.blocks_;
    };
    // Small changes are batched briefly; a new table is sent at once. Heartbeats and loads arrive
    // far more often than urgent changes, and each snapshot costs CPU time in three processes.
    changed_.wait_for(lock, snapshotInterval, hasUrgentUpdate);
    changed_.wait_for(lock, routineSnapshotInterval, [&] {
        return hasUrgentUpdate() || changeCount_ != sent.changes_;
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
