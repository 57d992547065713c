#pragma once

#include "PeerExchange.h"
#include "QuotaMessage.h"

#include <optional>
#include <random>
#include <unordered_map>

namespace Steering {

/// Holds the workspaces' quotas in sum over all instances: reports this instance's requests up the
/// quota tree, answers reports from below, and admits requests by the fractions that come down.
///
/// While no workspace has a quota, nothing is sent.
/// Thread safety: none; runs on one thread's io_context, which must end before the object does.
class QuotaExchange
{
public:
    QuotaExchange(Http::asio::io_context &context, const Observe::Settings &settings,
                  const PlatformState &platformState, PeerExchange &peers,
                  Observe::DecisionLog &log);

    /// Begins to report and to answer reports.
    void start();
    /// Applies a change of the table.
    void tableChanged();
    /// Sets how many instances share the quotas.
    void setInstances(std::size_t instances) { instances_ = std::max<std::size_t>(1, instances); }

    /// Counts a request of \a workspace and returns whether its quota admits it. Requests of a
    /// lower \a rank go first.
    bool admit(const Model::Workspace &workspace, int rank, Model::SteadyTime now);
    /// Counts a request of \a workspace that is sent to a target for the first time.
    void noteSent(const Model::Workspace &workspace);
    /// Returns after which delay a caller should retry whose request was not admitted.
    Model::Milliseconds retryDelay(const Model::Workspace &workspace) const;

    /// Whether this instance is the root of the quota tree.
    bool isRoot() const { return isRoot_; }
    /// Returns the number of workspaces of whose requests only a part is admitted.
    std::size_t limitedWorkspaces() const;

private:
    Http::Task<void> reportLoop();
    Http::Task<void> reportTo(Model::Instance parent);
    Http::Response answerReport(const Http::Request &request);
    std::optional<Policy::QuotaParent> parent(Model::SteadyTime now) const;
    void becomeRoot(Model::SteadyTime now);
    void updateFractions(Model::SteadyTime now);
    void logLimit(const Model::Workspace &workspace, std::uint64_t key);
    void applyAnswer(const Policy::QuotaAnswer &answer, Model::SteadyTime sentAt);
    std::vector<Policy::QuotaFraction> fractionsFor(const Policy::QuotaReport &report) const;
    bool isUpToDate(Model::SteadyTime now) const;
    std::size_t instancesSharing() const;
    Policy::QuotaGate &gateOf(std::uint64_t workspace);

    Http::asio::io_context &context_;
    const Observe::Settings &settings_;
    const PlatformState &platformState_;
    PeerExchange &peers_;
    Observe::DecisionLog &log_;
    Http::ConnectionPool pool_;
    Policy::QuotaLedger ledger_;
    std::unordered_map<std::uint64_t, Policy::QuotaPool> pools_;
    std::unordered_map<std::uint64_t, Policy::QuotaGate> gates_;
    /// The table's workspaces that have a quota, by key.
    std::unordered_map<std::uint64_t, const Model::Workspace *> limited_;
    /// Workspaces that this instance, as the root, last found over their quota.
    std::set<std::uint64_t> overQuota_;
    /// Keeps the workspaces in limited_ alive.
    std::shared_ptr<const Model::Table> table_;
    /// Instances that did not answer a report, with the time until which they are skipped.
    std::map<Model::InstanceId, Model::SteadyTime> unreachableUntil_;
    std::mt19937_64 random_{std::random_device()()};
    std::size_t instances_ = 1;
    Model::InstanceId lastParent_;
    bool needsWholeReport_ = true;
    std::uint64_t reportsSent_ = 0;
    /// Some instance has received a report of this one.
    bool hasReported_ = false;
    /// When the table first had a workspace with a quota.
    Model::SteadyTime limitedSince_ = Model::distantPast;
    bool isRoot_ = false;
    /// When the fractions were computed by the root.
    Model::SteadyTime fractionsAt_ = Model::distantPast;
};

} // namespace Steering
