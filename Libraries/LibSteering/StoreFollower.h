#pragma once

#include "Knowledge.h"

#include <functional>

namespace Steering {

/// Keeps the knowledge in step with the platform's store: reads each table whole once, then waits
/// for changes while this instance is one of those that read the store.
///
/// Thread safety: none; runs on one thread's io_context, which must end before the object does.
class StoreFollower
{
public:
    /// \a changed is called after anything was taken in, \a rank asked before each call.
    StoreFollower(Http::asio::io_context &context, const PlatformPort &port, Knowledge &knowledge,
                  Observe::DecisionLog &log, std::function<void()> changed,
                  std::function<Policy::ReaderRank()> rank);

    void start();
    void stop() { isStopping_ = true; }

    /// How this instance stands with the store, by its latest calls.
    Policy::StoreContact contact() const;
    /// The same, with since when and up to where the store has told this instance.
    Policy::StoreStanding standing() const;
    /// Tells whether the call for a table has waited for news since \a time or longer.
    bool hasWaitedSince(StoreTable table, Model::SteadyTime time) const;
    /// Ends the call that waits for a table's news, and asks the store anew at once: peers know of
    /// news that the call should have brought.
    void askAnew(StoreTable table);
    /// When a call for a table last succeeded.
    Model::SteadyTime confirmedAt(StoreTable table) const;

private:
    /// What became of following one table.
    struct Progress
    {
        bool isReached_ = false;
        bool isAsking_ = true;
        bool needsAll_ = true;
        Model::SteadyTime confirmedAt_ = Model::longAgo;
        /// Since when each call was answered; nothing while none was since one failed, or since
        /// this instance began to ask.
        std::optional<Model::SteadyTime> answeredSince_;
        /// When a call was answered after one had failed.
        Model::SteadyTime returnedAt_ = Model::longAgo;
        /// Everything up to this revision was told by the store itself.
        Platform::Revision readUpTo_;
        int failures_ = 0;
        /// The call that waits for news, and since when; nothing while none does.
        Http::ExchangeControl *waiting_ = nullptr;
        Model::SteadyTime waitingSince_;
        /// The call before was taken for dead.
        bool asksAnew_ = false;
    };

    Http::Task<void> follow(StoreTable table);
    Progress &progressOf(StoreTable table);
    const Progress &progressOf(StoreTable table) const;
    bool shouldAsk(StoreTable table, const Progress &progress) const;
    void noteAsking(StoreTable table, Progress &progress, bool isAsking);
    Model::Milliseconds waitFor(const Progress &progress) const;
    Model::Milliseconds gatherTime(StoreTable table) const;
    Http::Task<bool> readAll(StoreTable table, Progress &progress);
    Http::Task<bool> readChanges(StoreTable table, Progress &progress);
    void noteReached(StoreTable table, Progress &progress, Platform::Revision readUpTo);
    void noteFailed(StoreTable table, Progress &progress);

    Http::asio::io_context &context_;
    const PlatformPort &port_;
    Knowledge &knowledge_;
    Observe::DecisionLog &log_;
    std::function<void()> changed_;
    std::function<Policy::ReaderRank()> rank_;
    Progress operators_;
    Progress targets_;
    bool isStopping_ = false;
};

} // namespace Steering
