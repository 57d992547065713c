#pragma once

#include "CrashGuard.h"
#include "Placer.h"

#include <list>

namespace Steering {

/// What became of the requests that came to this instance.
struct DispatchCounters
{
    std::uint64_t requests_ = 0;
    std::uint64_t answered_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t unknown_ = 0;
    std::uint64_t retried_ = 0;
    std::uint64_t abandoned_ = 0;
    std::uint64_t refusedByTargets_ = 0;
    /// Attempts whose target left, or was drained, before the first byte was sent, or the last.
    std::uint64_t withdrawn_ = 0;
    std::uint64_t foreignAnswers_ = 0;
    std::uint64_t toHome_ = 0;
    std::uint64_t toWarm_ = 0;
    std::map<Model::ResultCode, std::uint64_t> byCode_;
    /// By route.
    std::map<Model::RouteId, Observe::DurationSummary> latency_;
};

/// Carries callers' requests to targets and their answers back.
///
/// Thread safety: none; runs on one thread's io_context.
class Dispatcher
{
public:
    Dispatcher(Http::asio::io_context &context, const PlatformPort &port,
               const Knowledge &knowledge, Placer &placer, CrashGuard &guard,
               Observe::DecisionLog &log);

    /// Answers one request of a caller.
    Http::Task<Http::Response> answer(Http::IncomingRequest incoming);

    /// Ends the attempts of requests whose callers have left, where they may be repeated.
    ///
    /// What goes wrong without it: under overload callers leave, targets go on working for nobody,
    /// and the slots that would serve those who stayed are taken.
    void sweepAbandoned();

    /// Sets how many instances share the budget of second attempts.
    void setInstances(std::size_t instances) { instances_ = std::max<std::size_t>(1, instances); }

    /// Sets what tells when the targets' rows were last confirmed.
    void setTargetsNews(std::function<TargetsNews()> news) { targetsNews_ = std::move(news); }

    /// Opens a new connection to each far target that is in use and whose idle connections are
    /// about to be too old. Policy::isSpareWorthwhile() tells what goes wrong without it.
    void refreshSpares(const TargetBook &book);
    /// Closes idle connections to \a addresses, at which other runs of targets listen by now.
    ///
    /// What goes wrong without it: a request that must not repeat is sent on a connection to a run
    /// that is gone, nothing comes back, and the caller is told that it may have run.
    void dropIdleConnections(const std::vector<Model::Address> &addresses);
    /// Closes idle connections to every target: after a standstill they may be long dead.
    void dropAllIdleConnections(const TargetBook &book);

    std::size_t inProgress() const { return jobs_.size(); }
    const DispatchCounters &counters() const { return counters_; }

private:
    /// What one attempt came to.
    struct Attempt
    {
        Policy::Outcome outcome_ = Policy::Outcome::NotRun;
        Model::ResultCode code_ = Model::ResultCode::Ok;
        std::optional<Http::Response> answer_;
        bool wasSent_ = false;
        bool isWithdrawn_ = false;
    };

    std::optional<Http::Response> readRequest(Job &job);
    Http::Task<Http::Response> carry(Job &job);
    Http::Task<Attempt> attempt(Job &job, const Placement &placement);
    Http::Task<void> prepareSpare(std::shared_ptr<TargetState> target,
                                  Http::ExchangeOptions options);
    Http::Task<void> askWhetherListening(std::shared_ptr<TargetState> target);
    void noteCrash(Job &job, const Placement &placement, const Http::ExchangeResult &result,
                   Model::SteadyTime now);
    Http::Request messageFor(const Job &job, const TargetState &target,
                             Model::SteadyTime now) const;
    Attempt judge(Job &job, const Placement &placement, Model::SteadyTime sentAt,
                  Http::ExchangeResult result);
    bool maySendTo(const TargetState &target) const;
    void noteSend(const Job &job, TargetState &target);
    void noteWithdrawn(Job &job, const TargetState &target, bool wasSent,
                       Model::SteadyTime chosenAt);
    void noteLoad(TargetState &target, const Http::Response &answer);
    bool mayTryAgain(const Job &job, const Attempt &attempt, Model::SteadyTime now);

    Http::Response refuse(Job &job, const Refusal &refusal);
    Http::Response giveUp(Job &job, const Attempt &attempt);
    Http::Response deliver(Job &job, const Placement &placement, Attempt attempt);

    Http::asio::io_context &context_;
    const PlatformPort &port_;
    const Knowledge &knowledge_;
    Placer &placer_;
    CrashGuard &guard_;
    Observe::DecisionLog &log_;
    Http::ConnectionPool pool_;
    std::list<Job *> jobs_;
    std::unordered_map<Model::ServiceId, Policy::RetryBudget> retryBudgets_;
    std::size_t instances_ = 1;
    std::function<TargetsNews()> targetsNews_ = [] {
        return TargetsNews();
    };
    DispatchCounters counters_;
};

} // namespace Steering
