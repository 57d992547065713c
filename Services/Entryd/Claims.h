#pragma once

#include "CallerRequest.h"

#include <LibObserve/LibObserve.h>
#include <LibPlatform/LibPlatform.h>
#include <atomic>
#include <thread>

namespace Entryd {

/// Writes the idempotency claims of all entry threads to the store in shared batches, on a single
/// thread.
///
/// Thread safety: every method may be called from any thread; the coroutines resume on the caller's
/// thread.
class ClaimManager
{
public:
    explicit ClaimManager(const Observe::Settings &settings);
    ~ClaimManager();
    ClaimManager(const ClaimManager &) = delete;
    ClaimManager &operator=(const ClaimManager &) = delete;

    void start();
    /// Waits until every claim is resolved, at most \a timeout.
    void waitForUnresolved(Model::Milliseconds timeout);

    /// Claims the idempotency key of \a request for this attempt.
    Http::Task<Platform::ClaimResult> claim(const CallerRequest &request);

    /// Writes the outcome to the claim.
    void resolveInBackground(const CallerRequest &request, const Platform::ClaimResult &held,
                             Policy::Claim outcome);

    /// Sets the number of instances that share the store's write capacity.
    void setFleetSize(std::size_t fleetSize);
    std::uint64_t storeWrites() const { return writes_; }

private:
    Http::Task<void> resolveClaim(std::string key, Policy::Claim claim, Platform::Revision held);

    Http::asio::io_context context_{1};
    Http::asio::executor_work_guard<Http::asio::io_context::executor_type> guard_;
    Http::ConnectionPool pool_;
    Platform::Store store_;
    Platform::ClaimBatcher batcher_;
    std::thread thread_;
    std::atomic<std::uint64_t> writes_{0};
    std::atomic<int> unresolvedClaims_{0};
};

} // namespace Entryd
