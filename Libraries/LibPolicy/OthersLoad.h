#pragma once

#include <LibModel/LibModel.h>

namespace Policy {

/// How many requests of other entries a target has in progress, by its own reports.
/// Not shared between threads.
struct OthersLoad
{
    double latest_ = 0;
    /// Mean of the reports, the latest ones most.
    double usual_ = 0;
    Model::SteadyTime reportedAt_ = Model::longAgo;
};

/// Weight of one report in the usual load: the last five or so count.
constexpr double usualLoadWeight = 0.2;

/// What was usual halves in this time without a report, so that a target that the others have left
/// is tried again.
constexpr Model::Milliseconds usualLoadHalfLife{4000};

/// Takes in that a target reported \a others requests in progress that are not this entry's.
/// Thread safety: \a load belongs to the calling thread.
void learnOthersLoad(OthersLoad &load, double others, Model::SteadyTime now);

/// Returns what others likely have in progress at \a now: the latest report, which gives way to the
/// usual load as it gets older than \a workTime, the time that the target's requests take.
///
/// What goes wrong where an old report counts for nothing: an entry hears of a target once in a
/// second or two, takes it for idle in between, and sends to one with a queue while others have
/// free slots. Thread safety: any thread.
double othersLoadAt(const OthersLoad &load, Model::Microseconds workTime, Model::SteadyTime now);

/// Returns what others have in progress by a report that is no older than \a workTime, else 0.
///
/// For the choice among targets: a wait that may be over is not worth a load elsewhere.
/// Thread safety: any thread.
double freshOthersLoad(const OthersLoad &load, Model::Microseconds workTime, Model::SteadyTime now);

} // namespace Policy
