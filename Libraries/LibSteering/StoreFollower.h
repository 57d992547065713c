#pragma once

#include "PlatformState.h"

#include <functional>

namespace Steering {

/// Keeps the platform state in step with the platform's store: reads each table whole once, then
/// waits for changes while this instance is one of the store readers.
///
/// Thread safety: none; runs on one thread's io_context, which must end before the object does.
class StoreFollower
{
public:
    /// Calls \a changed after recording any rows, and \a rank before each call to the store.
    StoreFollower(Http::asio::io_context &context, const PlatformPort &port,
                  PlatformState &platformState, Observe::DecisionLog &log,
                  std::function<void()> changed, std::function<Policy::ReaderRank()> rank);

    void start();
    void stop() { isStopping_ = true; }

    /// This instance's contact with the store, as of its latest calls.
    Policy::StoreContact contact() const;
    /// The same, with the time since which the store has answered and the revision that it has
    /// sent.
    Policy::StoreStanding standing() const;
    /// Tells whether the call for a table has waited for changes since \a time or longer, and no
    /// answer is arriving.
    bool hasWaitedSince(StoreTable table, Model::SteadyTime time) const;
    /// Cancels the call that waits for a table's changes and sends a new one at once. Called when
    /// \a peer has had changes for \a behindFor that the waiting call should have returned.
    void restartWaitingCall(StoreTable table, const Model::InstanceId &peer,
                            Model::Microseconds behindFor);
    /// When a call for a table last succeeded.
    Model::SteadyTime confirmedAt(StoreTable table) const;

private:
    /// The state of following one table.
    struct Progress
    {
        bool isReached_ = false;
        bool isReading_ = true;
        bool needsFullRead_ = true;
        Model::SteadyTime confirmedAt_ = Model::distantPast;
        /// Since when every call has been answered; std::nullopt while no call has been answered
        /// since one failed or since this instance began to read the store.
        std::optional<Model::SteadyTime> answeredSince_;
        /// When a call was last answered after a failed one.
        Model::SteadyTime recoveredAt_ = Model::distantPast;
        /// The store itself has sent all changes up to this revision.
        Platform::Revision readUpTo_;
        int failures_ = 0;
        /// The call that waits for changes, and since when; nullptr while none does.
        Http::ExchangeControl *waitingCall_ = nullptr;
        Model::SteadyTime waitingSince_;
        /// The previous call was considered failed and cancelled.
        bool isRestarted_ = false;
    };

    Http::Task<void> follow(StoreTable table);
    Progress &progressOf(StoreTable table);
    const Progress &progressOf(StoreTable table) const;
    bool shouldRead(StoreTable table, const Progress &progress) const;
    void setReading(StoreTable table, Progress &progress, bool isReading);
    Model::Milliseconds waitTimeout(const Progress &progress) const;
    Model::Milliseconds batchDelay(StoreTable table) const;
    Http::Task<bool> readAll(StoreTable table, Progress &progress);
    Http::Task<bool> readChanges(StoreTable table, Progress &progress);
    void recordSuccess(StoreTable table, Progress &progress, Platform::Revision readUpTo);
    void recordFailure(StoreTable table, Progress &progress);
    void logRepeatedCall(StoreTable table, const Progress &progress, bool isAnswered);

    Http::asio::io_context &context_;
    const PlatformPort &port_;
    PlatformState &platformState_;
    Observe::DecisionLog &log_;
    std::function<void()> changed_;
    std::function<Policy::ReaderRank()> rank_;
    Progress operators_;
    Progress targets_;
    bool isStopping_ = false;
};

} // namespace Steering
