#pragma once

#include "Store.h"

#include <LibPolicy/LibPolicy.h>

#include <list>
#include <memory>
#include <string>

namespace Platform {

/// The result of claiming an idempotency key.
struct ClaimResult
{
    /// std::nullopt if the store was not reachable; the request must then not run.
    std::optional<Policy::ClaimVerdict> verdict_;
    /// The stored claim, for a replay.
    Policy::Claim claim_;
    /// The condition of the write that settles the claim.
    Revision revision_;
};

/// Claims idempotency keys in the platform's store and batches the claims of many requests.
///
/// Without batches, each keyed request costs one or two writes and exhausts the store's limit of a
/// few hundred writes per second, which all its users share, at a fraction of the usual load.
/// Thread safety: every method runs on the io_context of the store's pool.
class ClaimBatcher
{
public:
    explicit ClaimBatcher(Store &store);

    /// Sets the minimum time between two writes. A claim after a longer idle time is written at
    /// once.
    void setInterval(Model::Milliseconds interval) { interval_ = interval; }

    /// Writes \a claim under \a key before \a deadline, unless a valid claim exists.
    Http::Task<ClaimResult> claim(std::string key, Policy::Claim claim, Model::SteadyTime deadline);

    /// Writes the final state of a claim that this process holds. Retries a limited number of times
    /// while the store is down, then logs ClaimUnsettled. Until the write succeeds, repeated
    /// requests are answered with an unknown outcome.
    Http::Task<void> settle(std::string key, Policy::Claim claim, Revision claimRevision);

private:
    struct Operation;

    Http::Task<bool> submit(std::shared_ptr<Operation> operation);
    Http::Task<void> flushLoop();
    Http::Task<void> flush(std::vector<std::shared_ptr<Operation>> batch);
    Http::Task<ClaimResult> readClaim(std::string key, const Policy::Claim &claim);

    Store &store_;
    std::list<std::shared_ptr<Operation>> queue_;
    Model::Milliseconds interval_{50};
    Model::SteadyTime lastWrite_;
    bool isFlushing_ = false;
};

} // namespace Platform
