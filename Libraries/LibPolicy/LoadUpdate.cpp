#include "LoadUpdate.h"

#include <algorithm>

namespace Policy {

void learnLoad(SharedLoad &load, double inProgress, Model::Slots slots,
               Model::SteadyTime reportedAt)
{
    if (reportedAt < load.reportedAt_)
        return;
    const bool wasSilent = reportedAt - load.reportedAt_ >= loadReportLifetime;
    if (inProgress < static_cast<double>(slots.value())) {
        load.fullSince_.reset();
    } else if (!load.fullSince_ || wasSilent) {
        load.fullSince_ = reportedAt;
    }
    load.inProgress_ = inProgress;
    load.reportedAt_ = reportedAt;
}

bool isPersistentlyFull(const SharedLoad &load, Model::SteadyTime now)
{
    const bool isFresh = now - load.reportedAt_ < loadReportLifetime;
    return isFresh && load.fullSince_ && now - *load.fullSince_ >= persistentFullnessPeriod;
}

bool shouldSendLoad(const SharedLoad &load, Model::Slots slots, Model::SteadyTime now)
{
    return now - load.reportedAt_ < loadReportLifetime
           && load.inProgress_ >= static_cast<double>(slots.value());
}

double peerLoadByUpdates(const SharedLoad &load, double own, Model::SteadyTime now)
{
    if (now - load.reportedAt_ >= loadReportLifetime)
        return 0;
    return std::max(0.0, load.inProgress_ - own);
}

void keepLatestLoads(std::vector<TargetLoad> &loads)
{
    if (loads.size() <= maxLoadsPerMessage)
        return;
    const auto end = loads.begin() + static_cast<std::ptrdiff_t>(maxLoadsPerMessage);
    std::nth_element(loads.begin(), end, loads.end(), [](const TargetLoad &a, const TargetLoad &b) {
        return a.age_ < b.age_;
    });
    loads.resize(maxLoadsPerMessage);
}

} // namespace Policy
