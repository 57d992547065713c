#include "TargetPaceReport.h"

#include <algorithm>

namespace Policy {

void notePace(TargetPaceReport &report, Model::Pace pace, Model::SteadyTime now)
{
    report = {pace, now};
}

double slownessByReport(const TargetPaceReport &report, double learned, Model::SteadyTime now)
{
    const double age = Model::inSeconds(now - report.reportedAt_);
    const double weight = std::clamp(1 - age / Model::inSeconds(paceReportLifetime), 0.0, 1.0);
    return learned + (report.pace_.value() - learned) * weight;
}

Model::Microseconds atUsualPace(Model::Microseconds worked, Model::Pace pace)
{
    // A target that is faster than usual for a moment still did the work that was measured.
    const double factor = std::max(1.0, pace.value());
    return Model::Microseconds(
        static_cast<long long>(static_cast<double>(worked.count()) / factor));
}

} // namespace Policy
