#pragma once

#include "Knowledge.h"

#include <functional>

namespace Steering {

/// Keeps the knowledge in step with the platform's store: reads each table whole once, then waits
/// for changes.
///
/// Thread safety: none; runs on one thread's io_context, which must end before the object does.
class StoreFollower
{
public:
    /// \a changed is called after anything was taken in.
    StoreFollower(Http::asio::io_context &context, const PlatformPort &port, Knowledge &knowledge,
                  Observe::DecisionLog &log, std::function<void()> changed);

    void start();
    void stop() { isStopping_ = true; }

    /// Whether the latest call for the table succeeded, and when one last did or failed.
    bool isReached() const;
    Model::SteadyTime failedAt() const { return failedAt_; }
    Model::SteadyTime confirmedAt(StoreTable table) const;

private:
    /// What became of following one table.
    struct Progress
    {
        bool isReached_ = false;
        bool needsAll_ = true;
        Model::SteadyTime confirmedAt_ = Model::longAgo;
        int failures_ = 0;
    };

    Http::Task<void> follow(StoreTable table);
    Http::Task<bool> readAll(StoreTable table, Progress &progress);
    Http::Task<bool> readChanges(StoreTable table, Progress &progress);
    void noteReached(StoreTable table, Progress &progress);
    void noteFailed(StoreTable table, Progress &progress);

    Http::asio::io_context &context_;
    const PlatformPort &port_;
    Knowledge &knowledge_;
    Observe::DecisionLog &log_;
    std::function<void()> changed_;
    Progress operators_;
    Progress targets_;
    Model::SteadyTime failedAt_ = Model::longAgo;
    bool isStopping_ = false;
};

} // namespace Steering
