#include "OthersLoad.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

/// A report older than this is stale, whatever the work time.
constexpr Model::Microseconds maxReportAge{500000};

double averageAt(const PeerReportedLoad &load, Model::SteadyTime now)
{
    const double halves
        = Model::inSeconds(now - load.reportedAt_) / Model::inSeconds(averageLoadHalfLife);
    return load.average_ * std::exp2(-std::max(0.0, halves));
}

} // namespace

void learnPeerReportedLoad(PeerReportedLoad &load, double others, Model::SteadyTime now)
{
    const double average = averageAt(load, now);
    load.latest_ = others;
    load.average_ = average + (others - average) * averageLoadWeight;
    load.reportedAt_ = now;
}

double peerReportedLoadAt(const PeerReportedLoad &load, Model::Microseconds workTime,
                          Model::SteadyTime now)
{
    const double average = averageAt(load, now);
    const double ages
        = Model::inSeconds(now - load.reportedAt_) / std::max(0.001, Model::inSeconds(workTime));
    // Full weight for one work time; after that the reported requests end and others take their
    // place.
    const double kept = std::exp(-std::max(0.0, ages - 1));
    return average + (load.latest_ - average) * kept;
}

double freshPeerReportedLoad(const PeerReportedLoad &load, Model::Microseconds workTime,
                             Model::SteadyTime now)
{
    return now - load.reportedAt_ < std::min(workTime, maxReportAge) ? load.latest_ : 0;
}

} // namespace Policy
