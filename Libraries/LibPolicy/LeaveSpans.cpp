#include "LeaveSpans.h"

namespace Policy {

std::vector<LeaveSpan> wayByOwnCall()
{
    return {
        {"gather", gatherTargets},
        {"store_answer", storeAnswer},
        {"watch", tickPeriod},
        {"send", sendPatience},
    };
}

std::vector<LeaveSpan> wayByNewCall()
{
    return {
        {"gather", gatherTargets},
        {"store_answer", storeAnswer},
        {"peer_rounds", roundsInSmallFleet * peerRound},
        {"reader_patience", readerPatience},
        {"tick", tickPeriod},
        {"new_store_answer", storeAnswerOnNewConnection},
        {"watch", tickPeriod},
        {"send", sendPatience},
    };
}

std::vector<LeaveSpan> wayOfUnannouncedLeaves()
{
    return {
        {"gather", gatherTargets}, {"store_answer", storeAnswer}, {"grace", unseenLapseGrace},
        {"tick", tickPeriod},      {"watch", tickPeriod},         {"send", sendPatience},
    };
}

std::vector<LeaveSpan> wayByPeers()
{
    return {
        {"gather_in_reserve", gatherInReserve},
        {"store_answer", storeAnswer},
        {"announcements", announcementHops * announcementHop},
        {"fetch_patience", fetchPatience},
        {"tick", tickPeriod},
        {"second_fetch", fetchAnswer},
        {"watch", tickPeriod},
        {"send", sendPatience},
    };
}

std::vector<LeaveSpan> wayByProbes()
{
    return {
        {"probe_pauses", (probesLost + 1) * probePause},
        {"probe", probeTimeout},
        {"watch", tickPeriod},
        {"send", sendPatience},
    };
}

Model::Milliseconds sumOf(const std::vector<LeaveSpan> &way)
{
    Model::Milliseconds sum{0};
    for (const auto &span : way)
        sum += span.longest_;
    return sum;
}

} // namespace Policy
