#include "StoreFollower.h"

#include <algorithm>

namespace Steering {

using Http::Task;
using Model::Milliseconds;
using Model::ResultCode;
using Observe::Event;

namespace {

/// How long one call waits for changes. A connection that is permanently silent is detected within
/// this time; a shorter time costs more calls, each of which is billed.
constexpr Milliseconds maxWait{8000};

/// The same at the first reader of a region, from which the other instances receive changes.
///
/// Without the shorter time, a store that is silent for a few seconds never answers the calls that
/// wait there. A configuration or a target's leaving that it accepts just after its return stays
/// unknown until these calls end, up to eight seconds after the silence began; if a change had made
/// all instances call at the same moment, it stays unknown to all of them.
constexpr Milliseconds firstReaderMaxWait{2000};

/// Changes of the operators' table are batched for less time than those of targets: they are rare.
constexpr Milliseconds operatorsBatchDelay{50};

/// Interval at which an instance that does not read the store checks whether it should.
constexpr Milliseconds standbyCheckInterval{200};

constexpr Milliseconds minRetryDelay{150};
/// Together with the timeout of an unanswered call (0.8 s) a returned store is found within 1.3 s.
constexpr Milliseconds maxRetryDelay{500};

Milliseconds retryDelayAfter(int failures)
{
    const int doublings = std::clamp(failures - 1, 0, 4);
    return std::min(maxRetryDelay, minRetryDelay * (1 << doublings));
}

const char *nameOf(StoreTable table)
{
    return table == StoreTable::Operators ? "operators" : "targets";
}

} // namespace

StoreFollower::StoreFollower(Http::asio::io_context &context, const PlatformPort &port,
                             PlatformState &platformState, Observe::DecisionLog &log,
                             std::function<void()> changed,
                             std::function<Policy::ReaderRank()> rank)
    : context_(context)
    , port_(port)
    , platformState_(platformState)
    , log_(log)
    , changed_(std::move(changed))
    , rank_(std::move(rank))
{
}

void StoreFollower::start()
{
    Http::asio::co_spawn(context_, follow(StoreTable::Operators), Http::asio::detached);
    Http::asio::co_spawn(context_, follow(StoreTable::Targets), Http::asio::detached);
}

Policy::StoreContact StoreFollower::contact() const
{
    if (operators_.failures_ > 0 || targets_.failures_ > 0)
        return Policy::StoreContact::Refused;
    const bool isReading = operators_.isReading_ && targets_.isReading_;
    const bool isReached = operators_.isReached_ && targets_.isReached_;
    return isReading && isReached ? Policy::StoreContact::Reached : Policy::StoreContact::NotAsked;
}

Policy::StoreStanding StoreFollower::standing() const
{
    Policy::StoreStanding standing;
    standing.contact_ = contact();
    standing.recoveredAt_ = std::max(operators_.recoveredAt_, targets_.recoveredAt_);
    if (operators_.answeredSince_ && targets_.answeredSince_) {
        standing.answeredSince_ = std::max(*operators_.answeredSince_, *targets_.answeredSince_);
        standing.targetsRead_ = targets_.readUpTo_.value();
    }
    return standing;
}

/// An instance whose call has failed continues to call until one succeeds, so that its peers learn
/// of the outage and of its end.
bool StoreFollower::shouldRead(StoreTable table, const Progress &progress) const
{
    return rank_() != Policy::ReaderRank::None || progress.failures_ > 0
           || !platformState_.replica(table).isKnown();
}

StoreFollower::Progress &StoreFollower::progressOf(StoreTable table)
{
    return table == StoreTable::Operators ? operators_ : targets_;
}

const StoreFollower::Progress &StoreFollower::progressOf(StoreTable table) const
{
    return table == StoreTable::Operators ? operators_ : targets_;
}

Model::SteadyTime StoreFollower::confirmedAt(StoreTable table) const
{
    return progressOf(table).confirmedAt_;
}

bool StoreFollower::hasWaitedSince(StoreTable table, Model::SteadyTime time) const
{
    const Progress &progress = progressOf(table);
    const auto silentSince = std::chrono::steady_clock::now() - Policy::rowFetchTimeout;
    return progress.waitingCall_ && progress.waitingSince_ <= time
           && !progress.waitingCall_->hasReceivedSince(silentSince);
}

void StoreFollower::restartWaitingCall(StoreTable table, const Model::InstanceId &peer,
                                       Model::Microseconds behindFor)
{
    Progress &progress = progressOf(table);
    if (!progress.waitingCall_)
        return;
    log_.line(Event::StoreCallAbandoned)
        .add("table", nameOf(table))
        .add("waited_ms", std::chrono::duration_cast<Model::Microseconds>(
                              std::chrono::steady_clock::now() - progress.waitingSince_))
        .add("peer", peer.value())
        .add("behind_ms", behindFor);
    progress.isRestarted_ = true;
    std::exchange(progress.waitingCall_, nullptr)->cancel();
}

Task<void> StoreFollower::follow(StoreTable table)
{
    Progress &progress = progressOf(table);
    while (!isStopping_) {
        setReading(table, progress, shouldRead(table, progress));
        if (!progress.isReading_) {
            co_await Http::sleepFor(standbyCheckInterval);
            continue;
        }
        bool isOk = false;
        if (progress.needsFullRead_) {
            isOk = co_await readAll(table, progress);
        } else {
            isOk = co_await readChanges(table, progress);
        }
        if (!isOk) {
            co_await Http::sleepFor(retryDelayAfter(progress.failures_));
        }
    }
}

/// How long the next call may wait for changes. After a failure, and when this instance begins to
/// read the store, the call returns at once and only tests whether the store answers: a call that
/// is sent a moment before the store's return is never answered, however long it waits.
Milliseconds StoreFollower::waitTimeout(const Progress &progress) const
{
    if (!progress.answeredSince_ || progress.isRestarted_)
        return Milliseconds(0);
    return rank_() == Policy::ReaderRank::Active ? firstReaderMaxWait : maxWait;
}

Milliseconds StoreFollower::batchDelay(StoreTable table) const
{
    if (rank_() == Policy::ReaderRank::Standby)
        return Policy::standbyBatchDelay;
    return table == StoreTable::Targets ? Policy::targetBatchDelay : operatorsBatchDelay;
}

void StoreFollower::setReading(StoreTable table, Progress &progress, bool isReading)
{
    if (progress.isReading_ != isReading) {
        log_.line(Event::StoreReading)
            .add("table", nameOf(table))
            .add("reads", isReading ? "yes" : "no")
            .add("position", toText(platformState_.replica(table).knownRevision()));
    }
    if (!isReading)
        progress.answeredSince_.reset();
    progress.isReading_ = isReading;
}

Task<bool> StoreFollower::readAll(StoreTable table, Progress &progress)
{
    const auto rows = co_await port_.readAll_(table);
    if (!rows) {
        recordFailure(table, progress);
        co_return false;
    }
    recordSuccess(table, progress, rows->revision_);
    // Rows that are older than the known ones are read again after a pause.
    if (!platformState_.replace(table, *rows, "store"))
        co_return false;
    progress.needsFullRead_ = false;
    changed_();
    co_return true;
}

Task<bool> StoreFollower::readChanges(StoreTable table, Progress &progress)
{
    const auto knownRevision = platformState_.replica(table).knownRevision();
    const auto wait = waitTimeout(progress);
    const bool isRepeated = std::exchange(progress.isRestarted_, false);
    Http::ExchangeControl control;
    progress.waitingSince_ = std::chrono::steady_clock::now();
    // A call that does not wait ends soon by itself.
    progress.waitingCall_ = wait.count() > 0 ? &control : nullptr;
    const auto changes = co_await port_.awaitChanges_(table, knownRevision, wait, control);
    progress.waitingCall_ = nullptr;
    if (isRepeated)
        logRepeatedCall(table, progress, changes.has_value());
    if (!changes && control.isCancelled())
        co_return true;
    if (!changes) {
        if (Model::lastReason().code_ == ResultCode::PlatformHistoryGone) {
            log_.line(Event::HistoryLost)
                .add("table", nameOf(table))
                .add("position", toText(knownRevision))
                .add("reason", toText(Model::lastReason()));
            progress.needsFullRead_ = true;
            co_return true;
        }
        recordFailure(table, progress);
        co_return false;
    }
    recordSuccess(table, progress, changes->revision_);
    const bool hasChanges = !changes->rows_.empty();
    platformState_.apply(table, *changes, "store");
    if (hasChanges) {
        changed_();
        co_await Http::sleepFor(batchDelay(table));
    }
    co_return true;
}

void StoreFollower::recordSuccess(StoreTable table, Progress &progress, Platform::Revision readUpTo)
{
    if (!progress.isReached_)
        log_.line(Event::StoreBack).add("table", nameOf(table));
    progress.confirmedAt_ = std::chrono::steady_clock::now();
    // A store that has returned from a copy was away, even if no call has shown it.
    const bool hasReturned = Platform::eraOf(readUpTo) > Platform::eraOf(progress.readUpTo_)
                             && progress.readUpTo_ != Platform::Revision();
    if (hasReturned)
        progress.answeredSince_.reset();
    if (progress.failures_ > 0 || hasReturned)
        progress.recoveredAt_ = progress.confirmedAt_;
    progress.isReached_ = true;
    progress.failures_ = 0;
    progress.readUpTo_ = readUpTo;
    if (!progress.answeredSince_)
        progress.answeredSince_ = progress.confirmedAt_;
}

void StoreFollower::recordFailure(StoreTable table, Progress &progress)
{
    progress.answeredSince_.reset();
    ++progress.failures_;
    if (progress.isReached_ || progress.failures_ == 1) {
        log_.line(Event::StoreLost)
            .add("table", nameOf(table))
            .add("reason", toText(Model::lastReason()));
    }
    progress.isReached_ = false;
}

void StoreFollower::logRepeatedCall(StoreTable table, const Progress &progress, bool isAnswered)
{
    log_.line(Event::StoreCallRepeated)
        .add("table", nameOf(table))
        .add("answered", isAnswered ? "yes" : "no")
        .add("took_ms", std::chrono::duration_cast<Model::Microseconds>(
                            std::chrono::steady_clock::now() - progress.waitingSince_));
}

} // namespace Steering
