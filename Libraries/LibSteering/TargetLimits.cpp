#include "TargetRegistry.h"

namespace Steering {

using Model::Milliseconds;
using Model::RequestsPerSecond;
using Model::SteadyTime;
using Observe::Event;

void recordLimit(TargetState &target, std::optional<RequestsPerSecond> rate, SteadyTime sentAt,
                 SteadyTime reportedAt, const std::string &by, Observe::DecisionLog &log)
{
    const auto now = std::chrono::steady_clock::now();
    if (!Policy::learnLimit(target.limit_, rate, sentAt, reportedAt, now))
        return;
    constexpr double perThousandSeconds = 1000;
    if (target.limit_.rate_) {
        log.line(Event::TargetLimited)
            .add("target", target.record_.id_.value())
            .add("by", by)
            .add("per_1000_s",
                 static_cast<std::int64_t>(target.limit_.rate_->value() * perThousandSeconds));
    } else {
        log.line(Event::TargetLimitEnded).add("target", target.record_.id_.value()).add("by", by);
    }
}

std::vector<Policy::TargetLimitReport> TargetRegistry::limitsToSend(SteadyTime now) const
{
    std::vector<Policy::TargetLimitReport> reports;
    for (const auto &[name, target] : byShortName_) {
        const Policy::TargetLimit &limit = target->limit_;
        if (!Policy::shouldSendLimit(limit, now))
            continue;
        const auto age = std::chrono::duration_cast<Milliseconds>(now - limit.reportedAt_);
        reports.push_back({name, limit.rate_, age});
    }
    return reports;
}

void TargetRegistry::receiveLimits(const std::vector<Policy::TargetLimitReport> &reports,
                                   const std::string &peer, SteadyTime now)
{
    for (const auto &report : reports) {
        const auto target = byShortName_.find(report.target_);
        if (target == byShortName_.end())
            continue;
        const SteadyTime reportedAt = now - report.age_;
        recordLimit(*target->second, report.rate_, reportedAt, reportedAt, peer, log_);
    }
}

void TargetRegistry::updateLimits(const Model::Instance &own, const Policy::Members &members,
                                  SteadyTime now)
{
    for (const auto &[name, target] : byShortName_) {
        Policy::TargetLimit &limit = target->limit_;
        if (!limit.rate_)
            continue;
        if (Policy::forgetOldLimit(limit, now)) {
            log_.line(Event::TargetLimitEnded)
                .add("target", target->record_.id_.value())
                .add("by", "age");
            continue;
        }
        const auto &region = platformState_.table()->regions()[target->region_].id_;
        limit.part_ = Policy::limitPart(*limit.rate_, target->seed_, region, own, members, now);
    }
}

} // namespace Steering
