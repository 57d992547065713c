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

/// The result of a request before it is converted to an answer.
struct RequestResult
{
    Policy::Outcome outcome_ = Policy::Outcome::NotRun;
    Model::ResultCode code_ = Model::ResultCode::Ok;
    std::optional<Http::Response> answer_;
    /// For a request that was not run: when the caller may retry.
    std::optional<Model::Milliseconds> retryDelay_;
};

/// The number of an attempt of a request, and whether a further attempt is guaranteed after it.
struct AttemptNumber
{
    int count_ = 1;
    bool mayBeCutShort_ = false;
};

/// Takes the requests of one thread through admission, placement, dispatch and retry.
///
/// Thread safety: every method runs on the thread of the io_context.
class Dispatcher
{
public:
    /// \a wakeOthers is called when a slot becomes free and no request on this thread waits for it.
    Dispatcher(Http::asio::io_context &context, const Observe::Settings &settings,
               const SnapshotCell &cell, Planner &planner, ClaimManager &claims, CrashGuard &guard,
               SlotHints &hints, int threadNumber, std::function<void(std::size_t)> wakeOthers);

    /// Answers a request received on the caller port.
    Http::Task<Http::Response> answerCaller(Http::IncomingRequest incoming);
    /// Answers a request received on the port for other entries.
    Http::Task<Http::Response> answerEntry(Http::IncomingRequest incoming);

    /// Places waiting requests of one service. Called when another thread frees a slot.
    void pump(std::size_t serviceIndex);

    /// Starts the coroutines that place waiting requests and, if \a probesTargets is set, the one
    /// that probes the targets.
    void start(bool probesTargets);

    const EntryCounters &counters() const { return counters_; }

private:
    Http::Task<RequestResult> processRequest(CallerRequest &request);
    Http::Task<RequestResult> processClaimedRequest(CallerRequest &request);
    Http::Task<RequestResult> attempt(CallerRequest &request, Placement placement,
                                      AttemptNumber number, bool &isRefusedAsFull);
    Http::Task<RequestResult> attemptTarget(CallerRequest &request, ToTarget place,
                                            AttemptNumber number, bool &isRefusedAsFull);
    Http::Task<RequestResult> attemptEntry(CallerRequest &request, ToEntry place);
    void noteForwarding(const CallerRequest &request, const ToEntry &place,
                        const RequestResult &result);
    Http::Task<void> checkListening(std::shared_ptr<TargetState> target);
    RequestResult classifyTargetAnswer(Http::ExchangeResult result, TargetState &target,
                                       bool &isRefusedAsFull);
    Model::SteadyTime attemptDeadline(const CallerRequest &request, const TargetState &target,
                                      AttemptNumber number) const;
    Http::Response toAnswer(RequestResult requestResult, const CallerRequest &request,
                            unsigned version);
    Http::Response refuse(unsigned version, Policy::Outcome outcome);
    bool isWithinQuota(const EntrySnapshot &snapshot, const CallerRequest &request);
    void release(SlotHold slot, std::size_t serviceIndex);
    void noteWaiting(std::size_t serviceIndex, const ServiceQueue &queue);
    ServiceQueue &queueFor(const CallerRequest &request);
    Model::RequestId newRequestId();

    Http::Task<void> tickLoop();
    Http::Task<void> probeLoop();
    Http::Task<void> probe(std::shared_ptr<TargetState> target);
    /// If the target pauses, has it probed as soon as the pause ends.
    void probeAfterPause(const std::shared_ptr<TargetState> &target);
    Http::Task<void> waitAndProbe(std::shared_ptr<TargetState> target);

    Http::asio::io_context &context_;
    const Observe::Settings &settings_;
    const SnapshotCell &cell_;
    Planner &planner_;
    ClaimManager &claims_;
    CrashGuard &guard_;
    SlotHints &hints_;
    std::function<void(std::size_t)> wakeOthers_;
    Http::ConnectionPool pool_;
    /// The answers that this thread is receiving; its bound is an equal part of the process's.
    /// Shared with attempts that outlive the dispatcher.
    std::shared_ptr<Policy::HeldBytes> heldAnswers_ = std::make_shared<Policy::HeldBytes>();
    /// By service name, so that queues survive a table update that moves the rows.
    std::map<Model::ServiceId, std::unique_ptr<ServiceQueue>> queues_;
    Policy::RetryBudget retryBudget_;
    Policy::EntryFailures entryFailures_;
    Policy::ForwardingState forwarding_;
    /// The tokens of this thread's equal part of each workspace's quota.
    std::map<Model::WorkspaceId, Policy::RateBucket> quotaBuckets_;
    EntryCounters counters_;
    int threadNumber_;
    std::string idPrefix_;
    std::uint64_t lastId_ = 0;
};

} // namespace Entryd
