#include "Planner.h"

#include <nlohmann/json.hpp>

namespace Entryd {

using Model::Milliseconds;

namespace {

/// The interval of load reports; urgent changes are sent at the next check.
constexpr Milliseconds routineReportInterval{400};

} // namespace

void Planner::reportIfDue(const cassiacrank::ProcessReport &report)
{
    const UrgentReportState urgentState{report.table_version(), report.stopping(),
                                        report.starting(),      report.marks_size(),
                                        report.walked_size(),   reportedCrashChanges_};
    const bool isUrgent = urgentState != lastUrgentState_ || report.walked_size() > 0;
    if (!isUrgent && std::chrono::steady_clock::now() - reportedAt_ < routineReportInterval)
        return;
    reportedAt_ = std::chrono::steady_clock::now();
    // A report that was not delivered is repeated at the next check.
    lastUrgentState_ = client_.report(report) ? urgentState : UrgentReportState();
}

cassiacrank::ProcessReport Planner::makeReport()
{
    cassiacrank::ProcessReport report;
    reportedCrashChanges_ = guard_.changes();
    *report.mutable_crashes()
        = Peers::toMessage(guard_.makeUpdate(std::chrono::steady_clock::now()));
    report.set_role("entry");
    report.set_table_version(isReady_ ? tableVersion_.load() : 0);
    report.set_stopping(isStopping_);
    report.set_starting(!takesCallers_);
    std::map<std::pair<Model::ServiceId, Model::FailureDomainId>, Peers::DomainLoad> loads;
    for (const auto &[id, state] : targets_) {
        const auto &target = state->target_;
        Peers::DomainLoad &load = loads[{target.service_, target.domain_}];
        load.service_ = target.service_;
        load.domain_ = target.domain_;
        const auto now = std::chrono::steady_clock::now();
        if (Policy::anyUsable({viewOf(*state, now)}, Policy::maxPauseInUse))
            load.slots_ += target.slots_;
        load.inFlight_ += Model::Slots(state->ownInFlight_);
        if (state->isLeaving_) {
            auto *mark = report.add_marks();
            mark->set_target(id.value());
            mark->set_incarnation(state->incarnation_);
        }
    }
    for (auto &[key, load] : loads) {
        load.waiting_ = waiting_;
        *report.add_loads() = Peers::toMessage(load);
    }
    if (!view_.table_)
        return report;
    const auto now = std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
    for (const auto &[key, ramp] : shareRamps_.ramps_) {
        const auto planned = Policy::plannedShares(*view_.table_, key.first, key.second, now);
        if (areNotablyApart(planned, ramp.shares_)) {
            *report.add_walked() = Peers::toMessage(
                {key.first, key.second, Policy::namedShares(*view_.table_, ramp.shares_)});
        }
    }
    return report;
}

std::string Planner::statusText()
{
    using nlohmann::json;
    const std::lock_guard lock(mutex_);
    json shares = json::array();
    json targets = json::array();
    if (view_.table_) {
        for (const auto &[key, ramp] : shareRamps_.ramps_) {
            json byDomain = json::object();
            for (const auto &share : Policy::namedShares(*view_.table_, ramp.shares_))
                byDomain[share.domain_.value()] = share.share_.value();
            shares.push_back({{"service", key.first.value()},
                              {"origin", key.second.value()},
                              {"shares", byDomain}});
        }
        for (const auto &[id, state] : targets_) {
            targets.push_back({{"id", id.value()},
                               {"in_flight", state->ownInFlight_.load()},
                               {"latency_us", state->latencyUs_.load()},
                               {"suspect", state->isSuspect_.load()},
                               {"leaving", state->isLeaving_.load()}});
        }
    }
    const json status = {{"id", settings_.instance_.value()},
                         {"ready", takesCallers_.load()},
                         {"stopping", isStopping_.load()},
                         {"table_version", tableVersion_.load()},
                         {"waiting", waiting_.load()},
                         {"shares", shares},
                         {"targets", targets}};
    return status.dump() + "\n";
}

} // namespace Entryd
