#pragma once

#include "Liveness.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace Policy {

/// The rate limit that a target names for all instances together, as known to one of them, and the
/// use of its part. Not shared between threads.
struct TargetLimit
{
    /// std::nullopt while the target names none.
    std::optional<Model::RequestsPerSecond> rate_;
    /// When the target last answered with or without a limit.
    Model::SteadyTime reportedAt_ = Model::distantPast;
    /// When it last answered without one after it had named one.
    Model::SteadyTime endedAt_ = Model::distantPast;
    /// The part of the limit that this instance may use; zero for none.
    Model::RequestsPerSecond part_{0};
    /// When this instance last used its part, or learned of the limit.
    Model::SteadyTime usedAt_ = Model::distantPast;
};

/// A target's limit as exchanged between instances.
struct TargetLimitReport
{
    /// The lower 32 bits of seedOf() of the target's id.
    std::uint32_t target_ = 0;
    /// std::nullopt if the target no longer names one.
    std::optional<Model::RequestsPerSecond> rate_;
    /// Time since the target's answer.
    Model::Milliseconds age_{0};
};

/// Smaller limits count as this one, so that some request finds out when the limit has ended.
constexpr Model::RequestsPerSecond minTargetLimit{0.05};

/// Reports are exchanged for this duration: several gossip rounds.
constexpr Model::Milliseconds limitReportLifetime{3000};

/// A limit without any new report is forgotten after this time and the time for a few requests.
constexpr Model::Milliseconds limitRetention{30000};

/// Records the limit in a target's answer to a request that was sent at \a sentAt, or in a peer's
/// report, for which \a sentAt equals \a reportedAt. Returns whether a limit began or ended.
///
/// An answer without a limit to a request that was sent before the latest report may be older than
/// the limit, and does not end it. Thread safety: \a limit belongs to the calling thread.
bool learnLimit(TargetLimit &limit, std::optional<Model::RequestsPerSecond> rate,
                Model::SteadyTime sentAt, Model::SteadyTime reportedAt, Model::SteadyTime now);

/// Forgets a limit of which nothing was heard for too long. Returns whether it did. Thread safety:
/// as above.
bool forgetOldLimit(TargetLimit &limit, Model::SteadyTime now);

/// Returns whether a report of \a limit should be sent to peers. Thread safety: any thread.
bool shouldSendLimit(const TargetLimit &limit, Model::SteadyTime now);

/// Returns how many of \a instances use a limit.
///
/// Each holder may have saved one request when a window of the platform's begins. With as many
/// holders as instances, a fleet of two hundred would send a target that takes five a second two
/// hundred requests at once. Thread safety: any thread.
std::size_t limitHolders(Model::RequestsPerSecond limit, std::size_t instances);

/// Returns the part of \a limit that the instance with the seed \a own may use: an equal part for
/// each of the holders, which are the same on all instances that know the same \a peers, and zero
/// for the rest. \a target is the target's seed, \a instances the number of instances that may run,
/// which is at least that of the peers plus one. Thread safety: any thread.
Model::RequestsPerSecond limitPart(Model::RequestsPerSecond limit, std::uint64_t target,
                                   std::uint64_t own, const std::vector<std::uint64_t> &peers,
                                   std::size_t instances);

/// As above, for a target in \a region. Instances of its region use the limit; where there are
/// none, one instance of each region does. Thread safety: any thread.
Model::RequestsPerSecond limitPart(Model::RequestsPerSecond limit, std::uint64_t target,
                                   const Model::RegionId &region, const Model::Instance &own,
                                   const Members &members, Model::SteadyTime now);

/// Returns the time between two requests that \a part allows; std::nullopt if it allows none.
/// Thread safety: any thread.
std::optional<Model::Microseconds> limitInterval(Model::RequestsPerSecond part);

/// Returns whether the limit allows this instance a request now. Thread safety: any thread.
bool isWithinLimit(const TargetLimit &limit, Model::SteadyTime now);

} // namespace Policy
