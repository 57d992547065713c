#pragma once

#include "Dispatcher.h"

#include <atomic>
#include <thread>

namespace Entryd {

/// One thread that serves requests on its own io_context.
///
/// Thread safety: start(), the stop steps and the destructor belong to one thread; wake() and the
/// counts may be called from any thread.
class EntryThread
{
public:
    EntryThread(const Observe::Settings &settings, const SnapshotCell &cell, Planner &planner,
                ClaimManager &claims, CrashGuard &guard, SlotHints &hints, int number,
                std::function<void(std::size_t)> wakeOthers);
    ~EntryThread();
    EntryThread(const EntryThread &) = delete;
    EntryThread &operator=(const EntryThread &) = delete;

    /// Starts listening and serving. Returns false, with the last reason set, if it cannot listen.
    bool start();

    /// Places waiting requests of a service. Called when another thread or entry frees a slot.
    void wake(std::size_t serviceIndex);

    /// The steps of a graceful shutdown, to be called in this order.
    void beginLeaving();
    void stopAccepting();
    void closeIdle();
    /// Returns the number of open connections.
    std::size_t openSessions();
    std::size_t requestsInProgress();

    /// Adds this thread's metrics to \a text; they are read on the thread itself.
    void addMetrics(Observe::MetricsText &text);

private:
    /// Runs \a action on this object's thread and waits until it is done.
    void runThere(std::function<void()> action);

    const Observe::Settings &settings_;
    int number_;
    Http::asio::io_context context_{1};
    Dispatcher dispatcher_;
    Http::Server callerServer_;
    Http::Server entryServer_;
    std::thread thread_;
};

} // namespace Entryd
