#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// The load that a target reported to an instance, as exchanged between instances.
struct TargetLoad
{
    /// The lower 32 bits of seedOf() of the target's id.
    std::uint32_t target_ = 0;
    std::uint32_t inProgress_ = 0;
    /// Time since the target's report.
    Model::Milliseconds age_{0};
};

/// The latest report of a target's load, received by this instance or another one. Not shared
/// between threads.
struct SharedLoad
{
    /// Requests of all instances that the target processes or queues.
    double inProgress_ = 0;
    Model::SteadyTime reportedAt_ = Model::distantPast;
    /// Start of the period in which every report had all slots occupied.
    std::optional<Model::SteadyTime> fullSince_;
};

/// Lifetime of a load report: a few rounds of exchanges between instances.
constexpr Model::Milliseconds loadReportLifetime{1500};

/// Limits the loads in one message to half a kilobyte.
constexpr std::size_t maxLoadsPerMessage = 64;

/// Records the load that a target with \a slots reported at \a reportedAt, unless a later report is
/// known. Thread safety: \a load belongs to the calling thread.
void learnLoad(SharedLoad &load, double inProgress, Model::Slots slots,
               Model::SteadyTime reportedAt);

/// A target that is full for this duration owns more objects than it can serve; a shorter period
/// can be a coincidence of a few requests.
constexpr Model::Milliseconds persistentFullnessPeriod{2000};

/// Returns whether every report for at least this duration had the target full. Thread safety: any
/// thread.
bool isPersistentlyFull(const SharedLoad &load, Model::SteadyTime now);

/// Returns whether \a load should be sent to other instances: a recent report had all \a slots
/// occupied.
///
/// Without it, each instance in a fleet of two hundred receives a report from a target once in ten
/// seconds and considers it idle in between. The owners of the most requested objects are full all
/// the time, each request waits there for longer than it takes to process, and the secondary owners
/// stay idle. Thread safety: any thread.
bool shouldSendLoad(const SharedLoad &load, Model::Slots slots, Model::SteadyTime now);

/// Returns how many requests other instances have in progress at the target by the latest report,
/// of which \a own are this instance's; 0 if the report is too old. Thread safety: any thread.
double peerLoadByUpdates(const SharedLoad &load, double own, Model::SteadyTime now);

/// Keeps the most recently reported \a loads that fit into one message. Thread safety: any thread.
void keepLatestLoads(std::vector<TargetLoad> &loads);

} // namespace Policy
