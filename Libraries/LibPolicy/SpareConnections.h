#pragma once

#include <LibModel/LibModel.h>

namespace Policy {

/// How often an entry sends to a target. Not shared between threads.
struct TargetUse
{
    /// Mean time between two requests, the latest ones most; at first long, so that a target that
    /// was used once is not taken for one in use.
    double usualGapS_ = 30;
    Model::SteadyTime usedAt_ = Model::longAgo;
};

/// Weight of one gap in the mean: the last three or so count.
constexpr double useGapWeight = 0.3;

/// A spare connection is worth opening where the next request will likely find it: by exponential
/// gaps seven times in ten.
constexpr double leastSpareUse = 0.7;

/// Takes in that a request goes to the target. Thread safety: \a use belongs to the calling thread.
void noteUse(TargetUse &use, Model::SteadyTime now);

/// Tells whether a connection that may rest for \a life should be opened before it is needed.
///
/// What goes wrong without spares: callers of a region with few targets are served by those of
/// other regions, which each entry calls every few seconds; now and then a request finds no
/// connection that is fresh enough, waits a round trip for a new one and is late. What goes wrong
/// with spares to all: a large fleet opens one every few seconds from each entry to each target,
/// and most are never used. Thread safety: any thread.
bool isSpareWorthwhile(const TargetUse &use, Model::Milliseconds life, Model::SteadyTime now);

} // namespace Policy
