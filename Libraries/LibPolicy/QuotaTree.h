#pragma once

#include "Liveness.h"
#include "QuotaPool.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Policy {

// Quotas hold in sum over all instances. The instances form a tree: those of a failure domain
// report to one of them, and these to the root, which hands out the fraction of each workspace's
// requests that all admit. So a report crosses failure domains once for each of them and not once
// for each instance.

/// Identifies a workspace in messages: seedOf() of its id.
using WorkspaceKey = Model::StrongNumber<struct WorkspaceKeyTag, std::uint64_t>;

/// The counts of one workspace in a report.
struct QuotaUsage
{
    WorkspaceKey workspace_;
    QuotaCounts counts_;
};

/// What an instance reports of itself and of the instances that report to it.
struct QuotaReport
{
    Model::InstanceId sender_;
    Model::Incarnation incarnation_;
    /// Increases with each report of an incarnation.
    std::uint64_t number_ = 0;
    /// Instances whose counts it has: the sender and those below it.
    std::uint32_t reporters_ = 1;
    /// The report has every workspace, not only those that changed.
    bool isWhole_ = false;
    /// No instance has received counts of the sender's incarnation before.
    bool isFirst_ = false;
    std::vector<QuotaUsage> usage_;
};

/// The fraction of a workspace's requests that is admitted.
struct QuotaFraction
{
    WorkspaceKey workspace_;
    double fraction_ = 1;
};

/// The answer to a report.
struct QuotaAnswer
{
    /// The receiver does not know the sender's earlier reports.
    bool needsWhole_ = false;
    /// Age of the fractions.
    Model::Milliseconds age_{0};
    std::vector<QuotaFraction> fractions_;
};

/// The counts of an instance and of those that report to it.
struct QuotaLedger
{
    struct Reporter
    {
        Model::Incarnation incarnation_;
        /// Number of the last report.
        std::uint64_t number_ = 0;
        std::uint32_t reporters_ = 1;
        Model::SteadyTime heardAt_ = Model::distantPast;
        std::unordered_map<std::uint64_t, QuotaCounts> counts_;
    };

    struct Usage
    {
        /// Own counts and those of reporters; they never decrease.
        QuotaCounts total_;
        /// The part of total_ that the receiver of this instance's reports knows.
        QuotaCounts acknowledged_;
        /// The part of total_ that this instance, as the root, has put into the pool.
        QuotaCounts pooled_;
    };

    std::map<Model::InstanceId, Reporter> reporters_;
    std::unordered_map<std::uint64_t, Usage> usage_;
};

/// The instance to which another one reports.
struct QuotaParent
{
    Model::Instance instance_;
    /// Live instances of the failure domain, if the parent has the reports of the whole domain.
    std::size_t siblings_ = 1;
};

/// Returns the instance to which \a own reports, or std::nullopt if \a own is the root. Instances
/// for which \a isUnreachable holds are skipped.
///
/// Instances that have just started rank behind all others: they know no fractions yet. Otherwise
/// the rank is the same on every instance. While views differ, there is more than one root, and
/// each hands out the part of the quotas that its reporters are of all instances.
/// Precondition: \a members has \a own. Thread safety: any thread.
std::optional<QuotaParent>
quotaParentOf(const Members &members, const Model::Instance &own,
              const std::function<bool(const Model::InstanceId &)> &isUnreachable,
              Model::SteadyTime now);

/// Adds the increase of the counts in \a report since the sender's last one. Returns false if the
/// ledger lacks the base of the counts and needs a whole report.
///
/// A report that arrives after a later one is ignored: a partition that ends delivers reports that
/// their senders gave up long ago. Thread safety: \a ledger belongs to the calling thread.
bool addReport(QuotaLedger &ledger, const QuotaReport &report, Model::SteadyTime now);

/// Returns the number of instances whose counts are in the ledger, including its own instance.
/// Reporters that are silent are forgotten. Thread safety: as above.
std::uint32_t countReporters(QuotaLedger &ledger, Model::SteadyTime now);

/// Returns the counts that changed since they were last acknowledged, or all of them.
/// Thread safety: any thread.
std::vector<QuotaUsage> usageToReport(const QuotaLedger &ledger, bool isWhole);

/// Records that the receiver has \a usage. Thread safety: \a ledger belongs to the calling thread.
void acknowledge(QuotaLedger &ledger, const std::vector<QuotaUsage> &usage);

/// Returns the time between two reports of an instance, one of \a siblings that report to the same
/// instance. Thread safety: any thread.
Model::Milliseconds quotaReportInterval(std::size_t siblings);

/// Fractions that were computed longer ago are out of date.
constexpr Model::Milliseconds maxQuotaFractionAge{1200};

} // namespace Policy
