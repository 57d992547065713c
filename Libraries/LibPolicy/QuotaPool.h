#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <optional>

namespace Policy {

/// Requests of one workspace, counted since the start of the instance.
struct QuotaCounts
{
    /// Requests that arrived.
    std::uint64_t offered_ = 0;
    /// Requests that were sent to a target.
    std::uint64_t sent_ = 0;

    QuotaCounts operator+(const QuotaCounts &other) const
    {
        return {offered_ + other.offered_, sent_ + other.sent_};
    }
    QuotaCounts operator-(const QuotaCounts &other) const
    {
        return {offered_ - other.offered_, sent_ - other.sent_};
    }
    bool operator==(const QuotaCounts &) const = default;
};

/// The token bucket of a workspace's quota over all instances; the root of the quota tree has it.
struct QuotaPool
{
    /// Tokens left of the burst; negative after more requests were sent than the quota allows.
    double level_ = 0;
    double offeredPerSecond_ = 0;
    /// Counts that arrived since updatedAt_.
    QuotaCounts pending_;
    Model::SteadyTime updatedAt_ = Model::distantPast;
    Model::SteadyTime startedAt_ = Model::distantPast;
    /// The fraction that its predecessor handed out last, if there was one.
    std::optional<double> firstFraction_;
    double fraction_ = 1;
};

/// Returns a pool that takes over from another root, which handed out \a fraction last;
/// std::nullopt if none is known, because all instances have just started.
///
/// Until the pool has learned the rate of the requests, it hands out no more than that. Otherwise
/// it would take the first few reports for all requests and open the quota. Thread safety: any
/// thread.
QuotaPool newQuotaPool(std::optional<double> fraction, Model::SteadyTime now);

/// Adds \a counts to \a pool and returns the fraction of its requests that every instance may admit
/// now; above 1 means that the workspace is that far below its quota.
///
/// \a coverage is the fraction of all instances that report to this pool (0 to 1). The others may
/// send their part of the quota on their own, so only the covered part is handed out.
///
/// A new pool starts without its burst: its predecessor may have handed it out a moment ago.
/// Thread safety: \a pool belongs to the calling thread.
double updateQuotaPool(QuotaPool &pool, const Model::Workspace &workspace, double coverage,
                       const QuotaCounts &counts, Model::SteadyTime now);

/// Returns whether an instance that is the root again may continue \a pool, because it was the root
/// a short time ago. Otherwise it must start with a new pool, whose first tokens would be handed
/// out once more each time. Thread safety: any thread.
bool mayContinue(const QuotaPool &pool, Model::SteadyTime now);

/// Returns the fraction of all instances that report to a pool, given that \a reporters of
/// \a instances do. A few missing ones are within what a quota tolerates. Thread safety: any
/// thread.
double quotaCoverage(std::size_t reporters, std::size_t instances);

} // namespace Policy
