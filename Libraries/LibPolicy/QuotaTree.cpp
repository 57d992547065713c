#include "QuotaTree.h"

#include "HomePlacement.h"

#include <algorithm>

namespace Policy {

namespace {

/// A reporter that is silent for longer counts as missing.
constexpr Model::Milliseconds maxReporterSilence{1500};
constexpr Model::Milliseconds minReportInterval{200};
/// Interval per sibling, so that the receiver's work does not grow with the domain.
constexpr Model::Milliseconds intervalPerSibling{8};

/// An instance with fewer heartbeats has just started.
constexpr std::uint64_t heartbeatsToSettle = 6;

bool ranksBefore(const Member &a, const Member &b)
{
    const bool isSettled = a.heartbeatRecord_.heartbeat_ >= heartbeatsToSettle;
    const bool isOtherSettled = b.heartbeatRecord_.heartbeat_ >= heartbeatsToSettle;
    if (isSettled != isOtherSettled)
        return isSettled;
    return seedOf(a.instance_.id_.value()) < seedOf(b.instance_.id_.value());
}

} // namespace

std::optional<QuotaParent>
quotaParentOf(const Members &members, const Model::Instance &own,
              const std::function<bool(const Model::InstanceId &)> &isUnreachable,
              Model::SteadyTime now)
{
    const Member &ownMember = members.at(own.id_);
    const Member *head = &ownMember;
    const Member *root = &ownMember;
    std::size_t siblings = 1;
    for (const auto &[id, member] : members) {
        const bool isCandidate = id != own.id_ && isAlive(member, now)
                                 && !member.heartbeatRecord_.isLeaving_ && !isUnreachable(id);
        if (!isCandidate)
            continue;
        const bool isSibling = member.instance_.domain_ == own.domain_;
        siblings += isSibling ? 1 : 0;
        if (isSibling && ranksBefore(member, *head))
            head = &member;
        if (ranksBefore(member, *root))
            root = &member;
    }
    if (head != &ownMember)
        return QuotaParent{head->instance_, siblings};
    if (root != &ownMember)
        return QuotaParent{root->instance_, 1};
    return std::nullopt;
}

bool addReport(QuotaLedger &ledger, const QuotaReport &report, Model::SteadyTime now)
{
    auto &reporter = ledger.reporters_[report.sender_];
    const bool isKnown
        = reporter.heardAt_ != Model::distantPast && reporter.incarnation_ == report.incarnation_;
    if (isKnown && report.number_ <= reporter.number_)
        return true;
    if (!isKnown)
        reporter.counts_.clear();
    reporter.number_ = report.number_;
    reporter.incarnation_ = report.incarnation_;
    reporter.reporters_ = report.reporters_;
    reporter.heardAt_ = now;
    if (!isKnown && !report.isWhole_) {
        reporter.heardAt_ = Model::distantPast;
        return false;
    }
    for (const auto &item : report.usage_) {
        QuotaCounts &known = reporter.counts_[item.workspace_.value()];
        // A workspace that had no quota for a while is counted from zero again.
        if (item.counts_.offered_ < known.offered_ || item.counts_.sent_ < known.sent_)
            known = {};
        // Counts that may have reached another instance before are only the base of later ones.
        if (isKnown || report.isFirst_) {
            auto &total = ledger.usage_[item.workspace_.value()].total_;
            total = total + (item.counts_ - known);
        }
        known = item.counts_;
    }
    return true;
}

std::uint32_t countReporters(QuotaLedger &ledger, Model::SteadyTime now)
{
    std::erase_if(ledger.reporters_, [now](const auto &entry) {
        return now - entry.second.heardAt_ > maxReporterSilence;
    });
    std::uint32_t count = 1;
    for (const auto &[id, reporter] : ledger.reporters_)
        count += reporter.reporters_;
    return count;
}

std::vector<QuotaUsage> usageToReport(const QuotaLedger &ledger, bool isWhole)
{
    std::vector<QuotaUsage> result;
    for (const auto &[workspace, usage] : ledger.usage_) {
        if (isWhole || usage.total_ != usage.acknowledged_)
            result.push_back({WorkspaceKey(workspace), usage.total_});
    }
    return result;
}

void acknowledge(QuotaLedger &ledger, const std::vector<QuotaUsage> &usage)
{
    for (const auto &item : usage)
        ledger.usage_[item.workspace_.value()].acknowledged_ = item.counts_;
}

Model::Milliseconds quotaReportInterval(std::size_t siblings)
{
    const auto count = static_cast<Model::Milliseconds::rep>(siblings);
    return std::max(minReportInterval, intervalPerSibling * count);
}

} // namespace Policy
