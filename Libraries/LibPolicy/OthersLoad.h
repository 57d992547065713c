#pragma once

#include <LibModel/LibModel.h>

namespace Policy {

/// The number of requests of other entries that a target has in progress, by its own reports. Not
/// shared between threads.
struct PeerReportedLoad
{
    double latest_ = 0;
    /// Exponential moving average of the reports.
    double average_ = 0;
    Model::SteadyTime reportedAt_ = Model::distantPast;
};

/// Weight of one report in the average: about the last five count.
constexpr double averageLoadWeight = 0.2;

/// Half-life of the average without a report, so that a target that other entries no longer use is
/// tried again.
constexpr Model::Milliseconds averageLoadHalfLife{4000};

/// Records that a target reported \a others requests in progress that are not this entry's. Thread
/// safety: \a load belongs to the calling thread.
void learnPeerReportedLoad(PeerReportedLoad &load, double others, Model::SteadyTime now);

/// Returns the estimated number of requests of other entries in progress at \a now: the latest
/// report, which decays towards the average once it is older than \a workTime, the time that the
/// target's requests take.
///
/// If an old report counted for nothing, an entry that receives a report once in a second or two
/// would consider the target idle in between, and send to one with a queue while others have free
/// slots. Thread safety: any thread.
double peerReportedLoadAt(const PeerReportedLoad &load, Model::Microseconds workTime,
                          Model::SteadyTime now);

/// Returns the number of requests of other entries in progress by a report that is no older than
/// \a workTime, else 0.
///
/// Used to choose among targets: a wait that may be over does not justify a cold load on another
/// target. Thread safety: any thread.
double freshPeerReportedLoad(const PeerReportedLoad &load, Model::Microseconds workTime,
                             Model::SteadyTime now);

} // namespace Policy
