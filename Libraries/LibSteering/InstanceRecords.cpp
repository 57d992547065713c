#include "InstanceParts.h"

namespace Steering {

using Http::Task;
using Model::Milliseconds;
using Model::SteadyTime;
using Observe::Event;

namespace {

/// How often an instance looks whether it has to find others through the store: a round of asking
/// seeds and its answers fit into it.
constexpr Milliseconds introductionPause{500};
/// Until then everybody that starts with the others takes itself for a reader.
constexpr Milliseconds settlingTime{3000};
/// Between two reads of the instances' records while nobody is known, and while some region is
/// silent: regions may lose each other for an hour and find each other by these.
constexpr Milliseconds pauseWhileAlone{2000};
constexpr Milliseconds pauseWhileApart{30000};

/// How long a fresh instance waits to hear which requests are in quarantine, where neither the
/// store nor a ready peer tells; and the pause between two attempts to read or write it.
constexpr Milliseconds quarantinePatience{1500};
constexpr Milliseconds quarantinePause{300};

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Model::WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace

/// Finds other instances through the store where the seeds do not lead to any, and makes this one
/// known there if it is one of those that read the store: they are enough to be found by.
Task<void> Instance::introduce()
{
    auto readAt = startedAt_;
    while (!isStopping_) {
        co_await Http::sleepFor(introductionPause);
        const auto now = steadyNow();
        const bool isAlone = !parts_->peers_.knowsAnyone();
        const bool isReader = parts_->follower_.contact() == Policy::StoreContact::Reached;
        const bool isSettled = now - startedAt_ > settlingTime;
        if (!isIntroduced_ && isReader && (isAlone || isSettled)) {
            isIntroduced_ = co_await writeOwnRecord();
        }
        const auto pause = isAlone ? pauseWhileAlone : pauseWhileApart;
        const bool isDue = now - readAt > pause || (isAlone && readAt == startedAt_);
        if (isDue && (isAlone || !parts_->peers_.knowsEveryRegion())) {
            readAt = now;
            co_await readRecords();
        }
    }
}

Task<bool> Instance::writeOwnRecord()
{
    const bool isWritten
        = co_await port_.writeInstance_(settings_.instance_.value(), parts_->peers_.ownRecord());
    if (!isWritten)
        logInstancesLost();
    co_return isWritten;
}

Task<void> Instance::readRecords()
{
    const auto records = co_await port_.readInstances_();
    if (!records) {
        logInstancesLost();
        co_return;
    }
    for (const auto &record : *records)
        parts_->peers_.addRecord(record);
}

void Instance::logInstancesLost()
{
    log_.line(Event::StoreLost)
        .add("table", "instances")
        .add("reason", toText(Model::lastReason()));
}

/// Learns which requests are in quarantine when it starts, from the store or from a ready peer, and
/// writes what changes.
///
/// What goes wrong without the store: all instances are killed at the same time, none knows what
/// ended targets before, and targets end under it again.
Task<void> Instance::keepQuarantines()
{
    while (!parts_->guard_.isInformed()) {
        const auto records = co_await port_.readQuarantines_();
        if (records) {
            parts_->guard_.takeRecords(*records, steadyNow(), wallNow());
            break;
        }
        log_.line(Event::QuarantinesUnread).add("reason", toText(Model::lastReason()));
        if (steadyNow() - startedAt_ > quarantinePatience)
            parts_->guard_.setInformed();
        co_await Http::sleepFor(quarantinePause);
    }
    while (!isStopping_) {
        co_await Http::sleepFor(quarantinePause);
        co_await writeQuarantines();
    }
}

Task<void> Instance::writeQuarantines()
{
    const auto records = parts_->guard_.takeUnwritten(steadyNow(), wallNow());
    for (const auto &record : records) {
        const bool isWritten = co_await port_.writeQuarantine_(toText(record.print_), record.text_);
        if (isWritten)
            continue;
        log_.line(Event::QuarantinesUnread).add("reason", toText(Model::lastReason()));
        parts_->guard_.writeAgain(record.print_);
    }
}

} // namespace Steering
