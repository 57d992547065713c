#pragma once

#include <LibModel/LibModel.h>

namespace Policy {

/// The latest pace that a target has reported. Not shared between threads.
struct TargetPaceReport
{
    Model::Pace pace_{1};
    Model::SteadyTime reportedAt_ = Model::distantPast;
};

/// How long a target that shares its machine stays slow: the time over which a report loses its
/// weight. Peers are not told paces, because they would arrive later than that.
constexpr Model::Milliseconds paceReportLifetime{600};

/// Records the pace that a target reported. Thread safety: \a report belongs to the calling thread.
void notePace(TargetPaceReport &report, Model::Pace pace, Model::SteadyTime now);

/// Returns the factor by which the target's work takes longer now: the reported pace while it is
/// fresh, fading to \a learned, the slowness by its answer times. Thread safety: any thread.
double slownessByReport(const TargetPaceReport &report, double learned, Model::SteadyTime now);

/// Returns the time that an answer would have taken at the usual pace, if the target reported
/// \a pace with it.
///
/// Without it, work at a target that is slow for half a second is taken for cold loads, and the
/// estimates of warm and cold work approach each other. Thread safety: any thread.
Model::Microseconds atUsualPace(Model::Microseconds worked, Model::Pace pace);

} // namespace Policy
