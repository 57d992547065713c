#pragma once

#include "ControlState.h"

#include <atomic>
#include <memory>

namespace Controld {

/// Polls the table, the instance list and the map of client blocks from the platform, at a rate
/// that keeps the total reads of the fleet constant regardless of its size.
///
/// Thread safety: start() and the coroutines run on the io_context's thread; reads() may be called
/// from any thread.
class StorePoller
{
public:
    StorePoller(Http::asio::io_context &context, const Observe::Settings &settings,
                ControlState &state);

    void start();
    std::uint64_t reads() const { return reads_; }

private:
    Http::Task<void> pollTable();
    Http::Task<void> pollList();
    Model::Milliseconds pollInterval(double shareOfBudget);

    const Observe::Settings &settings_;
    ControlState &state_;
    Http::asio::io_context &context_;
    Http::ConnectionPool pool_;
    Platform::Store store_;
    std::atomic<std::uint64_t> reads_{0};
    std::uint64_t random_;
};

} // namespace Controld
