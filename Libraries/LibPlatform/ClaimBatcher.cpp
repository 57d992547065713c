#include "ClaimBatcher.h"

#include <LibObserve/LibObserve.h>

#include <algorithm>

namespace Platform {

using Http::Task;
using Model::Milliseconds;
using Model::ResultCode;

namespace {

constexpr std::size_t maxWritesPerCommit = 200;
constexpr int maxSettleAttempts = 60;
constexpr Milliseconds settleRetryDelay{500};

} // namespace

/// A write that is queued for a batch.
struct ClaimBatcher::Operation
{
    Operation(Http::asio::io_context &context, std::string key, Revision condition,
              std::string value)
        : key_(std::move(key))
        , condition_(condition)
        , value_(std::move(value))
        , done_(context)
    {
        done_.expires_at(Model::SteadyTime::max());
    }

    enum class State { Waiting, Written, Conflict, Unwritten, Unknown };

    std::string key_;
    Revision condition_;
    std::string value_;
    State state_ = State::Waiting;
    Revision revision_;
    Http::asio::steady_timer done_;
};

ClaimBatcher::ClaimBatcher(Store &store)
    : store_(store)
{
}

Task<bool> ClaimBatcher::submit(std::shared_ptr<Operation> operation)
{
    queue_.push_back(operation);
    if (!isFlushing_) {
        isFlushing_ = true;
        Http::asio::co_spawn(store_.pool_->context(), flushLoop(), Http::asio::detached);
    }
    Http::ErrorCode ignored;
    co_await operation->done_.async_wait(
        Http::asio::redirect_error(Http::asio::use_awaitable, ignored));
    co_return operation->state_ == Operation::State::Written;
}

Task<void> ClaimBatcher::flushLoop()
{
    while (!queue_.empty()) {
        const Model::SteadyTime next = lastWrite_ + interval_;
        if (next > std::chrono::steady_clock::now()) {
            co_await Http::sleepUntil(next);
        }
        std::vector<std::shared_ptr<Operation>> batch;
        std::list<std::shared_ptr<Operation>> deferred;
        for (auto &operation : queue_) {
            // Two writes of one key in the same commit would mask each other's conflict.
            const bool isRepeated = std::any_of(batch.begin(), batch.end(), [&](const auto &other) {
                return other->key_ == operation->key_;
            });
            if (isRepeated || batch.size() >= maxWritesPerCommit) {
                deferred.push_back(operation);
            } else {
                batch.push_back(operation);
            }
        }
        queue_ = std::move(deferred);
        lastWrite_ = std::chrono::steady_clock::now();
        co_await flush(std::move(batch));
    }
    isFlushing_ = false;
}

Task<void> ClaimBatcher::flush(std::vector<std::shared_ptr<Operation>> batch)
{
    using State = Operation::State;
    while (!batch.empty()) {
        Commit request;
        for (const auto &operation : batch) {
            request.conditions_.push_back({operation->key_, operation->condition_});
            request.writes_.push_back({operation->key_, operation->value_});
        }
        const auto answer = co_await commit(store_, request);
        if (!answer) {
            const bool isUnknown = Model::lastReason().code_ == ResultCode::CommitOutcomeUnknown;
            for (const auto &operation : batch) {
                operation->state_ = isUnknown ? State::Unknown : State::Unwritten;
                operation->done_.cancel();
            }
            co_return;
        }
        const auto &conflicts = answer->conflicts_;
        const bool isWritten = conflicts.empty();
        std::vector<std::shared_ptr<Operation>> remaining;
        for (const auto &operation : batch) {
            const bool hasConflict
                = std::count(conflicts.begin(), conflicts.end(), operation->key_) > 0;
            if (!isWritten && !hasConflict) {
                remaining.push_back(operation);
                continue;
            }
            operation->state_ = isWritten ? State::Written : State::Conflict;
            operation->revision_ = answer->revision_;
            operation->done_.cancel();
        }
        batch = std::move(remaining);
    }
}

Task<ClaimResult> ClaimBatcher::readClaim(std::string key, const Policy::Claim &claim)
{
    ClaimResult result;
    const auto rows = co_await readRows(store_, key, Revision(0));
    if (!rows)
        co_return result;
    // An absent row can be claimed like a released one, on condition that it is still absent.
    result.verdict_ = Policy::ClaimVerdict::TakeOver;
    for (const auto &row : rows->rows_) {
        if (row.key_ != key || !row.value_)
            continue;
        const auto found = Policy::claimFromText(*row.value_);
        if (!found) {
            result.verdict_ = Policy::ClaimVerdict::Unknown;
            co_return result;
        }
        result.verdict_ = Policy::evaluateClaim(*found, claim.holder_, claim.requestHash_);
        result.claim_ = *found;
        result.revision_ = row.revision_;
    }
    co_return result;
}

Task<ClaimResult> ClaimBatcher::claim(std::string key, Policy::Claim claim,
                                      Model::SteadyTime deadline)
{
    ClaimResult result;
    Revision condition(0);
    bool mayBeHeld = false;
    while (std::chrono::steady_clock::now() < deadline) {
        auto operation = std::make_shared<Operation>(store_.pool_->context(), key, condition,
                                                     Policy::toText(claim));
        if (co_await submit(operation)) {
            result.verdict_ = Policy::ClaimVerdict::Proceed;
            result.claim_ = claim;
            result.revision_ = operation->revision_;
            co_return result;
        }
        mayBeHeld = mayBeHeld || operation->state_ == Operation::State::Unknown;
        if (operation->state_ == Operation::State::Unwritten)
            break;
        result = co_await readClaim(key, claim);
        if (!result.verdict_)
            break;
        if (*result.verdict_ != Policy::ClaimVerdict::TakeOver)
            co_return result;
        condition = result.revision_;
    }
    // The request is refused as not run, which is correct: only this attempt could run it. But the
    // claim may have been written, and the caller's repeated request would then be answered
    // "unknown" permanently, so the claim is released.
    if (mayBeHeld) {
        claim.state_ = Policy::ClaimState::Released;
        Http::asio::co_spawn(store_.pool_->context(), settle(key, claim, Revision(0)),
                             Http::asio::detached);
    }
    co_return ClaimResult();
}

Task<void> ClaimBatcher::settle(std::string key, Policy::Claim claim, Revision claimRevision)
{
    const std::string value = Policy::toText(claim);
    for (int attempt = 0; attempt < maxSettleAttempts; ++attempt) {
        if (claimRevision == Revision(0)) {
            // The revision of the claim, if it is stored at all, must be read first.
            const ClaimResult found = co_await readClaim(key, claim);
            const bool isOwnClaim = found.verdict_ == Policy::ClaimVerdict::Proceed;
            if (found.verdict_ && !isOwnClaim)
                co_return;
            claimRevision = isOwnClaim ? found.revision_ : Revision(0);
        }
        if (claimRevision != Revision(0)) {
            auto operation
                = std::make_shared<Operation>(store_.pool_->context(), key, claimRevision, value);
            if (co_await submit(operation))
                co_return;
            if (operation->state_ != Operation::State::Unwritten)
                claimRevision = Revision(0);
        }
        co_await Http::sleepFor(settleRetryDelay);
    }
    Observe::logEvent(Observe::Event::ClaimUnsettled, {{"key", key}});
}

} // namespace Platform
