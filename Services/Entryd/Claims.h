#pragma once

#include "CallerRequest.h"

#include <LibObserve/LibObserve.h>
#include <LibPlatform/LibPlatform.h>
#include <atomic>
#include <thread>

namespace Entryd {

/// The claims of all threads of the entry, written by one thread in common batches.
///
/// Thread safety: every method may be called from any thread; the coroutines come back to the
/// caller's own thread.
class ClaimKeeper
{
public:
    explicit ClaimKeeper(const Observe::Settings &settings);
    ~ClaimKeeper();
    ClaimKeeper(const ClaimKeeper &) = delete;
    ClaimKeeper &operator=(const ClaimKeeper &) = delete;

    void start();
    /// Waits until every claim is settled, at most \a patience.
    void finish(Model::Milliseconds patience);

    /// Claims the key of \a request for this attempt.
    Http::Task<Platform::ClaimResult> claim(const CallerRequest &request);

    /// Records the outcome in the background.
    void settle(const CallerRequest &request, const Platform::ClaimResult &held,
                Policy::Claim outcome);

    /// Sets how many instances share the store's writes.
    void setFleetSize(std::size_t fleetSize);
    std::uint64_t storeWrites() const { return writes_; }

private:
    Http::Task<void> settleThenCount(std::string key, Policy::Claim claim, Platform::Revision held);

    Http::asio::io_context context_{1};
    Http::asio::executor_work_guard<Http::asio::io_context::executor_type> guard_;
    Http::ConnectionPool pool_;
    Platform::Store store_;
    Platform::ClaimBatcher batcher_;
    std::thread thread_;
    std::atomic<std::uint64_t> writes_{0};
    std::atomic<int> unsettled_{0};
};

} // namespace Entryd
