#pragma once

#include "Dispatcher.h"

#include <atomic>
#include <thread>

namespace Entryd {

/// One thread that serves requests on its own io_context.
///
/// Thread safety: start(), the stop steps and the destructor belong to one thread; wake() and the
/// counts may be called from any.
class EntryThread
{
public:
    EntryThread(const Observe::Settings &settings, const SnapshotCell &cell, Planner &planner,
                ClaimKeeper &claims, CrashGuard &guard, SlotHints &hints, int number,
                std::function<void(std::size_t)> wakeOthers);
    ~EntryThread();
    EntryThread(const EntryThread &) = delete;
    EntryThread &operator=(const EntryThread &) = delete;

    /// Begins to listen and serve. Returns false if it cannot listen, with the last reason set.
    bool start();

    /// Places waiting requests of a service, if there are any; a slot came free elsewhere.
    void wake(std::size_t serviceIndex);

    /// The steps of a planned stop, in this order.
    void beginLeaving();
    void stopAccepting();
    void closeIdle();
    /// Returns the connections that are still open.
    std::size_t openSessions();
    std::size_t requestsInProgress();

    /// Adds this thread's figures to \a text, as seen by the thread itself.
    void addMetrics(Observe::MetricsText &text);

private:
    /// Runs \a action on the thread and waits for it.
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
