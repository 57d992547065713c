#pragma once

#include <LibModel/LibModel.h>

namespace Policy {

/// How often an entry sends to a target. Not shared between threads.
struct TargetUse
{
    /// Moving average of the time between two requests, in seconds. Starts high, so that a target
    /// that was used once is not considered in use.
    double averageGapS_ = 30;
    Model::SteadyTime usedAt_ = Model::distantPast;
};

/// Weight of one gap in the average: about the last three count.
constexpr double useGapWeight = 0.3;

/// Least probability that the next request uses an idle connection opened in advance. Gaps are
/// assumed to be exponentially distributed.
constexpr double minIdleConnectionReuse = 0.7;

/// Records that a request goes to the target. Thread safety: \a use belongs to the calling thread.
void noteUse(TargetUse &use, Model::SteadyTime now);

/// Returns whether to open a connection in advance that may stay idle for \a life.
///
/// Without idle connections, callers of a region with few targets are served by those of other
/// regions, which each entry calls every few seconds; some requests find no connection that is
/// fresh enough, wait a round trip for a new one and are late. With idle connections to all
/// targets, each entry of a large fleet opens one to each target every few seconds, and most are
/// never used. Thread safety: any thread.
bool isIdleConnectionWorthwhile(const TargetUse &use, Model::Milliseconds life,
                                Model::SteadyTime now);

} // namespace Policy
