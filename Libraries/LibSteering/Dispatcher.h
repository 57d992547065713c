#pragma once

#include "CrashGuard.h"
#include "PlacementEngine.h"
#include "QuotaExchange.h"
#include "ReachMonitor.h"
#include "RequestForwarder.h"
#include "RequestQueue.h"
#include "ShortageMonitor.h"

#include <list>

namespace Steering {

class HeldAttempt;

/// Outcomes of the requests that this instance received.
struct DispatchCounters
{
    std::uint64_t requests_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t retried_ = 0;
    /// Slow requests that were also sent to a second target, and those that it answered.
    std::uint64_t secondTries_ = 0;
    std::uint64_t secondTriesWon_ = 0;
    std::uint64_t abandoned_ = 0;
    std::uint64_t refusedByTargets_ = 0;
    /// Attempts whose target left or was drained before the request was sent completely.
    std::uint64_t withdrawn_ = 0;
    std::uint64_t foreignAnswers_ = 0;
    /// Requests sent on a connection that the target had already closed.
    std::uint64_t staleConnections_ = 0;
    /// Bytes of the bodies that were passed on, of requests and of answers.
    std::uint64_t relayedBytes_ = 0;
    /// Requests that were sent to a peer, and those of them that a target answered there.
    std::uint64_t forwarded_ = 0;
    std::uint64_t forwardedAnswered_ = 0;
    /// Requests that peers forwarded to this instance.
    std::uint64_t receivedForwarded_ = 0;
    std::uint64_t toHome_ = 0;
    std::uint64_t toWarm_ = 0;
    std::map<Model::ResultCode, std::uint64_t> byCode_;
    /// By route.
    std::map<Model::RouteId, Observe::DurationSummary> latency_;
};

/// Forwards callers' requests to targets and returns the answers.
///
/// Thread safety: none; runs on one thread's io_context.
class Dispatcher
{
public:
    Dispatcher(Http::asio::io_context &context, const PlatformPort &port,
               const PlatformState &knowledge, PlacementEngine &placementEngine,
               ReachMonitor &reach, CrashGuard &guard, QuotaExchange &quotas,
               Observe::DecisionLog &log);

    /// Answers one caller's request.
    Http::Task<Http::Response> answer(Http::IncomingRequest incoming);

    /// Answers a request that a peer has forwarded.
    Http::Task<Http::Response> answerForwarded(Http::IncomingRequest message);

    /// Sets what passes requests to peers; without it, none are. \a forwarder must outlive the
    /// dispatcher.
    void setForwarder(RequestForwarder &forwarder) { forwarder_ = &forwarder; }

    /// Sets what decides which requests are admitted during a shortage; without it, all are.
    /// \a monitor must outlive the dispatcher.
    void setShortageMonitor(ShortageMonitor &monitor) { shortage_ = &monitor; }

    /// Cancels the attempts of idempotent requests whose callers have disconnected.
    ///
    /// Without it, under overload, targets keep processing requests whose callers have
    /// disconnected, and these take the slots that the remaining callers need.
    void sweepAbandoned();

    /// Opens connections to targets of failure domains that may be out of reach, and closes those
    /// to domains that are.
    void probeReach();

    /// Sets whether requests that find no room wait for it. Off by default.
    void setWaitsForRoom(bool waits) { queue_.setEnabled(waits); }

    /// Refuses from now on what may still be in progress when the process exits at \a time.
    ///
    /// Without it, requests that arrive late in a planned stop are passed on and cut off.
    void setExitTime(Model::SteadyTime time) { exitAt_ = time; }

    /// Sets how many instances share the retry budget.
    void setInstances(std::size_t instances) { instances_ = std::max<std::size_t>(1, instances); }

    /// Bounds what is held. \a bytesForCallers returns the bytes that the servers hold for callers
    /// and for peers that forward requests. Without a call, nothing is bounded.
    void setHeldBytes(std::optional<Policy::Bytes> limit,
                      std::function<std::size_t()> bytesForCallers);
    /// Returns what is held now.
    const Policy::HeldBytes &heldBytes();
    /// Counts and logs a request or a connection that a server refused before it was read.
    void noteRefusedUnread(Model::ResultCode code);

    /// Sets the function that returns when the targets' rows were last confirmed.
    void setTargetsFreshness(std::function<TargetsFreshness()> news)
    {
        targetsFreshness_ = std::move(news);
    }

    /// Opens a new connection to each remote target that is in use and whose idle connections are
    /// about to expire. Policy::isIdleConnectionWorthwhile() gives the reason.
    void refreshIdleConnections(const TargetRegistry &registry);
    /// Closes idle connections to \a addresses, at which other incarnations of targets now listen.
    ///
    /// Without it, a non-idempotent request is sent on a connection to an incarnation that has
    /// ended, no answer arrives, and the caller is told that the request may have run.
    void dropIdleConnections(const std::vector<Model::Address> &addresses);
    /// Closes idle connections to every target: after a pause of this process the targets may have
    /// closed them.
    void dropAllIdleConnections(const TargetRegistry &registry);

    const RequestQueue &queue() const { return queue_; }
    std::size_t inProgress() const { return requestsInProgress_.size(); }
    /// Returns the number of open connections to targets, idle or in use.
    std::size_t openConnections() const { return pool_.openCount(); }
    const DispatchCounters &counters() const { return counters_; }

private:
    /// The result of one attempt.
    struct Attempt
    {
        Policy::Outcome outcome_ = Policy::Outcome::NotRun;
        Model::ResultCode code_ = Model::ResultCode::Ok;
        std::optional<Http::Response> answer_;
        bool wasSent_ = false;
        bool isWithdrawn_ = false;
        /// The target holds too many bytes; nothing was sent.
        bool isOverBytes_ = false;
        /// It was sent on a connection that the target had already closed.
        bool isStale_ = false;
        /// The pace that the target reported in its answer.
        std::optional<Model::Pace> pace_;
    };

    struct SecondTry;
    class SecondTryScope;

    std::optional<Http::Response> readRequest(RequestContext &request,
                                              const ForwardedRequest *forwarded = nullptr);
    Http::Task<Http::Response> process(RequestContext &request,
                                       std::optional<Http::Response> refused);
    std::optional<Model::Instance> peerFor(RequestContext &request, Model::SteadyTime now);
    Http::Task<Attempt> forward(RequestContext &request, Model::Instance peer);
    std::function<bool(std::size_t, Http::AnswerLength)> answerHolder(HeldAttempt &held);
    void probeUnreachable(const RequestContext &request, Model::SteadyTime now);
    void startProbe(std::shared_ptr<TargetState> target, Model::SteadyTime now);
    Http::Task<void> probe(std::shared_ptr<TargetState> target);
    Http::Response deliverForwarded(RequestContext &request, Attempt attempt);
    std::optional<Http::Response> identifyCaller(RequestContext &request);
    Http::Task<Http::Response> sendWithRetries(RequestContext &request);
    Http::Task<Attempt> attempt(RequestContext &request, const Placement &placement);
    /// Makes an attempt and, if it is slow, a second one at another target. Sets \a placement to
    /// that of the attempt that is returned.
    Http::Task<Attempt> attemptWithSecondTry(RequestContext &request, Placement &placement);
    Http::Task<void> runSecondTry(std::shared_ptr<SecondTry> second, Model::Microseconds delay);
    bool beginSecondTry(SecondTry &second);
    Http::Task<void> openIdleConnection(std::shared_ptr<TargetState> target,
                                        Http::ExchangeOptions options);
    Http::ExchangeOptions connectOptions(const TargetState &target, Model::SteadyTime now) const;
    Http::Task<void> probeListener(std::shared_ptr<TargetState> target);
    void noteCrash(RequestContext &request, const Placement &placement,
                   const Http::ExchangeResult &result, Model::SteadyTime now);
    Http::RequestView messageFor(const RequestContext &request, const TargetState &target,
                                 Model::SteadyTime now) const;
    Attempt judge(RequestContext &request, const Placement &placement, Model::SteadyTime sentAt,
                  Http::ExchangeResult result);
    bool maySendTo(const TargetState &target) const;
    bool mayHoldAt(TargetState &target, std::size_t body);
    std::optional<Refusal> checkHeldBytes(const RequestContext &request);
    void noteSend(RequestContext &request, TargetState &target);
    void noteWithdrawn(RequestContext &request, const TargetState &target, bool wasSent,
                       Model::SteadyTime chosenAt);
    /// Records the load in an answer. Returns the pace, if the target reports it.
    std::optional<Model::Pace> noteLoad(TargetState &target, const Http::Response &answer);
    bool notePause(TargetState &target, const Http::Response &answer, Model::SteadyTime now);
    /// Returns whether \a result shows that the target had closed a reused connection before the
    /// request arrived.
    bool isStale(const TargetState &target, const Http::ExchangeResult &result) const;
    void noteStaleConnection(RequestContext &request, const TargetState &target,
                             const Http::ExchangeResult &result, Model::SteadyTime now);
    /// Returns whether the process may exit before a request that is passed on now is answered.
    bool mayOutlastProcess(const RequestContext &request) const;
    bool mayTryAgain(const RequestContext &request, const Attempt &attempt, Model::SteadyTime now);

    Http::Response refuse(RequestContext &request, const Refusal &refusal);
    Http::Response failRequest(RequestContext &request, const Attempt &attempt);
    Http::Response deliver(RequestContext &request, const Placement &placement, Attempt attempt);

    Http::asio::io_context &context_;
    const PlatformPort &port_;
    const PlatformState &platformState_;
    PlacementEngine &placementEngine_;
    ReachMonitor &reach_;
    CrashGuard &guard_;
    QuotaExchange &quotas_;
    Observe::DecisionLog &log_;
    RequestQueue queue_;
    RequestForwarder *forwarder_ = nullptr;
    ShortageMonitor *shortage_ = nullptr;
    Http::ConnectionPool pool_;
    std::list<RequestContext *> requestsInProgress_;
    std::unordered_map<Model::ServiceId, Policy::RetryBudget> retryBudgets_;
    std::unordered_map<Model::ServiceId, Policy::IdleLimit> idleLimits_;
    /// Shared with attempts that outlive the dispatcher.
    std::shared_ptr<Policy::HeldBytes> held_ = std::make_shared<Policy::HeldBytes>();
    std::function<std::size_t()> bytesForCallers_;
    std::size_t instances_ = 1;
    Model::SteadyTime exitAt_ = Model::SteadyTime::max();
    std::function<TargetsFreshness()> targetsFreshness_ = [] {
        return TargetsFreshness();
    };
    DispatchCounters counters_;
};

} // namespace Steering
