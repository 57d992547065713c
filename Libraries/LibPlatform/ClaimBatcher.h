#pragma once

#include "Store.h"

#include <LibPolicy/LibPolicy.h>

#include <list>
#include <memory>
#include <string>

namespace Platform {

/// What came of claiming an idempotency key.
struct ClaimResult
{
    /// Nothing where the store could not be asked; the request must then not run.
    std::optional<Policy::ClaimVerdict> verdict_;
    /// The claim as it stands, for a replay.
    Policy::Claim claim_;
    /// Goes into the condition of the write that settles the claim.
    Revision revision_;
};

/// Claims idempotency keys in the platform's store, those of many requests in one write.
///
/// What goes wrong without batches: each keyed request costs a write or two, and the store's few
/// hundred writes a second, which all users share, are gone at a fraction of today's load.
/// Thread safety: every method runs on the io_context of the store's pool.
class ClaimBatcher
{
public:
    explicit ClaimBatcher(Store &store);

    /// Sets the shortest time between two writes. A claim that comes after a rest goes at once.
    void setInterval(Model::Milliseconds interval) { interval_ = interval; }

    /// Claims \a key for \a claim before \a deadline.
    Http::Task<ClaimResult> claim(std::string key, Policy::Claim claim, Model::SteadyTime deadline);

    /// Records what became of a claim that this process holds; tries for a while if the store is
    /// down, and gives up with event ClaimUnsettled. Until it is written, repeats are told unknown.
    Http::Task<void> settle(std::string key, Policy::Claim claim, Revision held);

private:
    struct Operation;

    Http::Task<bool> submit(std::shared_ptr<Operation> operation);
    Http::Task<void> flushLoop();
    Http::Task<void> flush(std::vector<std::shared_ptr<Operation>> batch);
    Http::Task<ClaimResult> judge(std::string key, const Policy::Claim &claim);

    Store &store_;
    std::list<std::shared_ptr<Operation>> queue_;
    Model::Milliseconds interval_{50};
    Model::SteadyTime lastWrite_;
    bool isFlushing_ = false;
};

} // namespace Platform
