#include "LeaveSpans.h"

namespace Policy {

std::vector<LeaveSpan> leavePathByLocalCall()
{
    return {
        {"gather", gatherTargets},
        {"store_answer", storeAnswer},
        {"watch", tickPeriod},
        {"send", sendPatience},
    };
}

std::vector<LeaveSpan> leavePathByNewCall()
{
    return {
        {"gather", gatherTargets},
        {"store_answer", storeAnswer},
        {"peer_rounds", gossipRoundsInSmallFleet * peerRound},
        {"reader_patience", readerPatience},
        {"tick", tickPeriod},
        {"new_store_answer", storeAnswerOnNewConnection},
        {"watch", tickPeriod},
        {"send", sendPatience},
    };
}

std::vector<LeaveSpan> leavePathWithoutAnnouncement()
{
    return {
        {"gather", gatherTargets}, {"store_answer", storeAnswer}, {"grace", unseenLapseGrace},
        {"tick", tickPeriod},      {"watch", tickPeriod},         {"send", sendPatience},
    };
}

std::vector<LeaveSpan> leavePathByPeers()
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

std::vector<LeaveSpan> leavePathByProbes()
{
    return {
        {"probe_pauses", (maxLostProbes + 1) * probePause},
        {"probe", probeTimeout},
        {"watch", tickPeriod},
        {"send", sendPatience},
    };
}

Model::Milliseconds totalLimit(const std::vector<LeaveSpan> &path)
{
    Model::Milliseconds sum{0};
    for (const auto &span : path)
        sum += span.limit_;
    return sum;
}

} // namespace Policy
