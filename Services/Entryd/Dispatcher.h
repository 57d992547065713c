#pragma once

#include "Claims.h"
#include "CrashGuard.h"
#include "EntryCounters.h"
#include "ServiceQueue.h"
#include "SlotHints.h"

#include <functional>
#include <map>
#include <memory>

namespace Entryd {

/// What a request ended with, before it is put into an answer.
struct Verdict
{
    Policy::Outcome outcome_ = Policy::Outcome::NotRun;
    Model::ResultCode code_ = Model::ResultCode::Ok;
    std::optional<Http::Response> answer_;
    /// For a request that was not run: when to come back.
    std::optional<Model::Milliseconds> comeBack_;
};

/// Which attempt of a request it is, and whether another one is sure to be allowed after it.
struct AttemptNumber
{
    int count_ = 1;
    bool mayBeCutShort_ = false;
};

/// Carries the requests of one thread through admission, placement, dispatch and retry.
///
/// Thread safety: every method runs on the thread of the io_context.
class Dispatcher
{
public:
    /// \a wakeOthers is called when a slot came free that nobody on this thread waits for.
    Dispatcher(Http::asio::io_context &context, const Observe::Settings &settings,
               const SnapshotCell &cell, Planner &planner, ClaimKeeper &claims, CrashGuard &guard,
               SlotHints &hints, int threadNumber, std::function<void(std::size_t)> wakeOthers);

    /// Answers a request from the port for callers.
    Http::Task<Http::Response> answerCaller(Http::IncomingRequest incoming);
    /// Answers a request from the port for other entries.
    Http::Task<Http::Response> answerEntry(Http::IncomingRequest incoming);

    /// Places waiting requests of one service. Called when another thread's slot came free.
    void pump(std::size_t serviceIndex);

    /// Starts the coroutines that look after waiting requests and, on one thread, after targets.
    void start(bool probesTargets);

    const EntryCounters &counters() const { return counters_; }

private:
    Http::Task<Verdict> carry(CallerRequest &request);
    Http::Task<Verdict> carryClaimed(CallerRequest &request);
    Http::Task<Verdict> attempt(CallerRequest &request, Placement placement, AttemptNumber number,
                                bool &isRefusedAsFull);
    Http::Task<Verdict> attemptTarget(CallerRequest &request, ToTarget place, AttemptNumber number,
                                      bool &isRefusedAsFull);
    Http::Task<Verdict> attemptEntry(CallerRequest &request, ToEntry place);
    Http::Task<void> askWhetherListening(std::shared_ptr<TargetState> target);
    Verdict judgeTargetAnswer(Http::ExchangeResult result, TargetState &target,
                              bool &isRefusedAsFull);
    Model::SteadyTime attemptDeadline(const CallerRequest &request, const TargetState &target,
                                      AttemptNumber number) const;
    Http::Response toAnswer(Verdict verdict, const CallerRequest &request, unsigned version);
    Http::Response refuse(unsigned version, Policy::Outcome outcome);
    void release(SlotHold slot, std::size_t serviceIndex);
    void noteWaiting(std::size_t serviceIndex, const ServiceQueue &queue);
    ServiceQueue &queueFor(const CallerRequest &request);
    Model::RequestId newRequestId();

    Http::Task<void> tickLoop();
    Http::Task<void> probeLoop();
    Http::Task<void> probe(std::shared_ptr<TargetState> target);

    Http::asio::io_context &context_;
    const Observe::Settings &settings_;
    const SnapshotCell &cell_;
    Planner &planner_;
    ClaimKeeper &claims_;
    CrashGuard &guard_;
    SlotHints &hints_;
    std::function<void(std::size_t)> wakeOthers_;
    Http::ConnectionPool pool_;
    /// By the service's name, so that a table whose rows moved keeps its queues.
    std::map<Model::ServiceId, std::unique_ptr<ServiceQueue>> queues_;
    Policy::RetryBudget retryBudget_;
    Policy::EntryFailures entryFailures_;
    EntryCounters counters_;
    int threadNumber_;
    std::string idPrefix_;
    std::uint64_t lastId_ = 0;
};

} // namespace Entryd
