#include "InstanceParts.h"

namespace Steering {

std::string Instance::metricsText() const
{
    Observe::MetricsText text;
    const auto &counters = parts_->dispatcher_.counters();
    const auto count = [&](const char *name, const char *help, std::uint64_t value) {
        text.add(name, help, "counter", static_cast<double>(value));
    };
    count("cassiacrank_requests_total", "Requests taken.", counters.requests_);
    count("cassiacrank_answered_total", "Requests answered by a target.", counters.answered_);
    count("cassiacrank_refused_total", "Requests refused, not run.", counters.refused_);
    count("cassiacrank_unknown_total", "Requests with an unknown outcome.", counters.unknown_);
    count("cassiacrank_retried_total", "Second attempts.", counters.retried_);
    count("cassiacrank_second_tries_total", "Slow requests also sent to a second target.",
          counters.secondTries_);
    count("cassiacrank_second_tries_won_total", "Requests that the second target answered.",
          counters.secondTriesWon_);
    count("cassiacrank_abandoned_total", "Requests whose caller left.", counters.abandoned_);
    count("cassiacrank_refused_by_targets_total", "Attempts that a target refused.",
          counters.refusedByTargets_);
    count("cassiacrank_withdrawn_total", "Attempts whose target left before they were sent.",
          counters.withdrawn_);
    count("cassiacrank_foreign_answers_total", "Answers dropped as another request's.",
          counters.foreignAnswers_);
    count("cassiacrank_stale_connections_total",
          "Requests sent on connections that targets had closed.", counters.staleConnections_);
    count("cassiacrank_forwarded_total", "Requests forwarded to peers.", counters.forwarded_);
    count("cassiacrank_forwarded_answered_total", "Forwarded requests answered by a target.",
          counters.forwardedAnswered_);
    count("cassiacrank_received_forwarded_total", "Requests that peers forwarded here.",
          counters.receivedForwarded_);
    count("cassiacrank_to_home_total", "Answers from the object's home.", counters.toHome_);
    count("cassiacrank_to_warm_total", "Answers from a target that knew the object.",
          counters.toWarm_);
    const auto &guard = parts_->guard_;
    count("cassiacrank_targets_ended_total", "Targets that ended while requests were there.",
          guard.endedTargets());
    count("cassiacrank_quarantines_total", "Verdicts made here against requests.",
          guard.verdicts());
    count("cassiacrank_kept_from_targets_total", "Requests refused since targets ended under them.",
          guard.kept());
    text.add("cassiacrank_quarantined", "Requests in quarantine.", "gauge",
             static_cast<double>(guard.quarantined(std::chrono::steady_clock::now())));
    text.add("cassiacrank_lost_domains", "Services' failure domains that are not reached.", "gauge",
             static_cast<double>(parts_->reach_.lostDomains()));
    text.add("cassiacrank_store_era", "How often the store has returned from an older copy.",
             "gauge", static_cast<double>(parts_->platformState_.storeEra().value()));
    text.add("cassiacrank_table_fitted", "Values of the configuration fitted to the table's rules.",
             "gauge", static_cast<double>(parts_->platformState_.fittedCells()));
    text.add("cassiacrank_workspaces_limited", "Workspaces over their quota.", "gauge",
             static_cast<double>(parts_->quotas_.limitedWorkspaces()));
    text.add("cassiacrank_quota_root", "Whether this instance is the root of the quota tree.",
             "gauge", parts_->quotas_.isRoot() ? 1 : 0);
    count("cassiacrank_store_reads_total", "Read calls to the store.", store_.reads_);
    count("cassiacrank_store_writes_total", "Write calls to the store.", store_.writes_);
    count("cassiacrank_log_lines_total", "Lines of the decision log.", log_.written());
    count("cassiacrank_log_left_out_total", "Lines left out for the bound.", log_.suppressed());
    count("cassiacrank_log_dropped_total", "Lines dropped as nobody read.", log_.dropped());
    for (const auto &[code, number] : counters.byCode_) {
        text.add("cassiacrank_result_total", "Requests by result code.", "counter",
                 static_cast<double>(number),
                 "code=\"" + std::to_string(Model::number(code)) + "\"");
    }
    const auto &queue = parts_->dispatcher_.queue();
    text.add("cassiacrank_waiting", "Requests that wait here for room at a target.", "gauge",
             static_cast<double>(queue.waiting()));
    count("cassiacrank_waited_total", "Requests that waited here for room at a target.",
          queue.counters().waited_);
    count("cassiacrank_displaced_total", "Waiting requests refused for more urgent ones.",
          queue.counters().displaced_);
    count("cassiacrank_returns_announced_total", "Refusals with a scheduled Retry-After.",
          queue.counters().returnsAnnounced_);
    count("cassiacrank_returns_kept_total", "Refused requests that returned as announced.",
          queue.counters().returnsKept_);
    for (const auto &[key, number] : queue.counters().refused_) {
        text.add("cassiacrank_refused_for_room_total", "Refusals for want of room.", "counter",
                 static_cast<double>(number),
                 "code=\"" + std::to_string(Model::number(key.first)) + "\",rank=\""
                     + std::to_string(key.second) + "\"");
    }
    for (const auto &[what, bytes] : parts_->peers_.traffic().bytes_) {
        text.add("cassiacrank_peer_bytes_total", "Bytes of calls to other instances, both ways.",
                 "counter", static_cast<double>(bytes),
                 std::string("call=\"") + nameOf(what.first) + "\",reach=\"" + nameOf(what.second)
                     + "\"");
    }
    const auto &table = parts_->platformState_.table();
    text.add("cassiacrank_table_version", "Version of the table in force.", "gauge",
             table ? static_cast<double>(table->version().value()) : 0);
    text.add("cassiacrank_in_progress", "Requests in progress.", "gauge",
             static_cast<double>(parts_->dispatcher_.inProgress()));
    text.add("cassiacrank_targets", "Targets known.", "gauge",
             static_cast<double>(parts_->targetRegistry_.all().size()));
    for (std::size_t i = 0; i < resourceCount; ++i) {
        text.add("cassiacrank_instance_use", "Used part of a resource.", "gauge",
                 resources_.use()[i],
                 std::string("resource=\"") + nameOf(static_cast<Resource>(i)) + "\"");
    }
    text.add("cassiacrank_held_bytes", "Bytes held for callers and targets.", "gauge",
             static_cast<double>(totalOf(parts_->dispatcher_.heldBytes()).value()));
    if (const auto limit = Policy::heldBytesLimit(settings_.size_)) {
        text.add("cassiacrank_held_bytes_limit", "Bound of the bytes held.", "gauge",
                 static_cast<double>(limit->value()));
    }
    text.add("cassiacrank_lookup_listed", "Entries in the last answer to a look-up.", "gauge",
             static_cast<double>(listedEntries_));
    for (const auto &[service, shortage] : parts_->shortage_.services()) {
        const std::string label = "service=\"" + service.value() + "\"";
        text.add("cassiacrank_shortage", "Whether the region is short of a service's slots.",
                 "gauge", shortage.isShort_ ? 1 : 0, label);
        const auto shares = Policy::measuredShares(shortage);
        for (std::size_t rank = 0; rank < shares.size(); ++rank) {
            if (shortage.ownArrivals_[rank] <= 0)
                continue;
            text.add("cassiacrank_admitted_share", "Admitted part of a rank's requests.", "gauge",
                     shares[rank], label + ",rank=\"" + std::to_string(rank) + "\"");
        }
        const auto extremes = Policy::workspaceShares(shortage);
        text.add("cassiacrank_workspace_admitted_share",
                 "Admitted part of the requests of the workspaces with the least and the most.",
                 "gauge", extremes.least_, label + ",which=\"least\"");
        text.add("cassiacrank_workspace_admitted_share",
                 "Admitted part of the requests of the workspaces with the least and the most.",
                 "gauge", extremes.most_, label + ",which=\"most\"");
    }
    const auto now = std::chrono::steady_clock::now();
    std::size_t alive = 0;
    for (const auto &[id, member] : parts_->peers_.members())
        alive += Policy::isAlive(member, now) ? 1 : 0;
    text.add("cassiacrank_instances", "Instances heard of lately.", "gauge",
             static_cast<double>(alive));
    const auto contact = parts_->follower_.contact();
    text.add("cassiacrank_store_reader", "Whether this instance reads the store.", "gauge",
             contact == Policy::StoreContact::NotAsked ? 0 : 1);
    text.add("cassiacrank_store_reached", "Whether the store answers, where it is asked.", "gauge",
             contact == Policy::StoreContact::Refused ? 0 : 1);
    for (const auto table : {StoreTable::Operators, StoreTable::Targets}) {
        const auto confirmedAt
            = std::max(parts_->follower_.confirmedAt(table), parts_->peers_.upToDateAt());
        text.add("cassiacrank_knowledge_age_seconds",
                 "Since the store or the peers confirmed a table.", "gauge",
                 Model::inSeconds(now - confirmedAt),
                 table == StoreTable::Operators ? "table=\"operators\"" : "table=\"targets\"");
    }
    for (const auto &[route, summary] : counters.latency_) {
        text.addSummary("cassiacrank_latency_seconds", "From request to answer.", summary,
                        "route=\"" + route.value() + "\"");
    }
    return text.text();
}

} // namespace Steering
