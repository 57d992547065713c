#include "LeaveSpans.h"

namespace Policy {

std::vector<LeaveSpan> leavePathByLocalCall()
{
    return {
        {"gather", targetBatchDelay},   {"store_answer", storeAnswer}, {"watch", tickPeriod},
        {"send", sendToLeavingTimeout}, {"processor", processorWait},  {"way", wayToTarget},
    };
}

std::vector<LeaveSpan> leavePathByNewCall()
{
    return {
        {"gather", targetBatchDelay},
        {"store_answer", storeAnswer},
        {"peer_rounds", gossipRoundsInSmallFleet * gossipRoundInterval},
        {"reader_patience", readerCallTimeout},
        {"tick", tickPeriod},
        {"new_store_answer", storeAnswerOnNewConnection},
        {"watch", tickPeriod},
        {"send", sendToLeavingTimeout},
        {"processor", processorWait},
        {"way", wayToTarget},
    };
}

std::vector<LeaveSpan> leavePathWithoutAnnouncement()
{
    return {
        {"gather", targetBatchDelay},
        {"store_answer", storeAnswer},
        {"grace", unobservedExpiryGrace},
        {"tick", tickPeriod},
        {"watch", tickPeriod},
        {"send", sendToLeavingTimeout},
        {"processor", processorWait},
        {"way", wayToTarget},
    };
}

std::vector<LeaveSpan> leavePathByPeers()
{
    return {
        {"gather_in_reserve", standbyBatchDelay},
        {"store_answer", storeAnswer},
        {"announcements", announcementHops * announcementHop},
        {"fetch_patience", rowFetchTimeout},
        {"tick", tickPeriod},
        {"second_fetch", fetchAnswer},
        {"watch", tickPeriod},
        {"send", sendToLeavingTimeout},
        {"processor", processorWait},
        {"way", wayToTarget},
    };
}

std::vector<LeaveSpan> leavePathByAnswer()
{
    return {
        {"watch", tickPeriod},
        {"send", sendToLeavingTimeout},
        {"processor", processorWait},
        {"way", wayToTarget},
    };
}

std::vector<LeaveSpan> leavePathByProbes()
{
    return {
        {"probe_pauses", (maxLostProbes + 1) * targetProbeInterval},
        {"probe", probeTimeout},
        {"watch", tickPeriod},
        {"send", sendToLeavingTimeout},
        {"processor", processorWait},
        {"way", wayToTarget},
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
