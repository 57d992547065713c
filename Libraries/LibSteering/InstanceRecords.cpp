#include "InstanceParts.h"

namespace Steering {

using Http::Task;
using Model::Milliseconds;
using Model::SteadyTime;
using Observe::Event;

namespace {

/// Interval between checks for whether other instances have to be discovered through the store. A
/// gossip round with the seeds completes within it.
constexpr Milliseconds discoveryInterval{500};
/// Before this age, instances that start together all consider themselves store readers.
constexpr Milliseconds readerSettlingTime{3000};
/// Intervals between two reads of the instances' records: while no other instance is alive, and
/// while some region has no live instance. Regions that lose contact for an hour rediscover each
/// other through these records.
constexpr Milliseconds readIntervalWhileAlone{2000};
constexpr Milliseconds readIntervalWhilePartitioned{30000};

/// How long a newly started instance waits for the list of quarantined requests when neither the
/// store nor a ready peer sends it; and the interval between two attempts to read or write it.
constexpr Milliseconds quarantineReadTimeout{1500};
constexpr Milliseconds quarantineInterval{300};

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Model::WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace

/// Discovers other instances through the store where the seeds lead to none, and registers this one
/// there if it is a store reader: the readers' records suffice for discovery.
Task<void> Instance::discoverInstances()
{
    auto readAt = startedAt_;
    while (!isStopping_) {
        co_await Http::sleepFor(discoveryInterval);
        const auto now = steadyNow();
        const bool isAlone = !parts_->peers_.hasLivePeer();
        const bool isReader = parts_->follower_.contact() == Policy::StoreContact::Reached;
        const bool isSettled = now - startedAt_ > readerSettlingTime;
        if (!isRecordStored_ && isReader && (isAlone || isSettled)) {
            isRecordStored_ = co_await writeOwnRecord();
        }
        const auto interval = isAlone ? readIntervalWhileAlone : readIntervalWhilePartitioned;
        const bool isDue = now - readAt > interval || (isAlone && readAt == startedAt_);
        if (isDue && (isAlone || !parts_->peers_.hasLiveMemberInEveryRegion())) {
            readAt = now;
            co_await readRecords();
        }
    }
}

Task<bool> Instance::writeOwnRecord()
{
    const bool isWritten
        = co_await port_.writeInstance_(settings_.instance_.value(), parts_->peers_.localRecord());
    if (!isWritten)
        logRecordsUnavailable();
    co_return isWritten;
}

Task<void> Instance::readRecords()
{
    const auto records = co_await port_.readInstances_();
    if (!records) {
        logRecordsUnavailable();
        co_return;
    }
    for (const auto &record : *records)
        parts_->peers_.addRecord(record);
}

void Instance::logRecordsUnavailable()
{
    log_.line(Event::StoreLost)
        .add("table", "instances")
        .add("reason", toText(Model::lastReason()));
}

/// Loads the quarantined requests at the start, from the store or from a ready peer, and then
/// writes changes to the store.
///
/// Without the store, when all instances are killed at the same time, none knows which requests
/// have crashed targets, and the same requests crash targets again.
Task<void> Instance::syncQuarantines()
{
    while (!parts_->guard_.isInformed()) {
        const auto records = co_await port_.readQuarantines_();
        if (records) {
            parts_->guard_.mergeQuarantineRecords(*records, steadyNow(), wallNow());
            break;
        }
        log_.line(Event::QuarantinesUnread).add("reason", toText(Model::lastReason()));
        if (steadyNow() - startedAt_ > quarantineReadTimeout)
            parts_->guard_.setInformed();
        co_await Http::sleepFor(quarantineInterval);
    }
    while (!isStopping_) {
        co_await Http::sleepFor(quarantineInterval);
        co_await writeQuarantines();
    }
}

Task<void> Instance::writeQuarantines()
{
    const auto records = parts_->guard_.takeUnwritten(steadyNow(), wallNow());
    for (const auto &record : records) {
        const bool isWritten
            = co_await port_.writeQuarantine_(toText(record.fingerprint_), record.text_);
        if (isWritten)
            continue;
        log_.line(Event::QuarantinesUnread).add("reason", toText(Model::lastReason()));
        parts_->guard_.requeueWrite(record.fingerprint_);
    }
}

} // namespace Steering
