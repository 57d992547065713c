#pragma once

#include "Admission.h"

#include <LibModel/LibModel.h>

#include <cstddef>
#include <map>

namespace Policy {

/// What one instance knows of a workspace's quota.
struct QuotaGate
{
    /// The fraction of the workspace's requests that the root of the quota tree has every instance
    /// admit; above 1 means that the workspace is that far below its quota.
    double fraction_ = 1;
    /// The requests of one rank.
    struct Rank
    {
        /// Recent requests; older ones count less.
        double weight_ = 0;
        /// The sum of the admitted fractions so far, less the requests admitted.
        double carry_ = 0;
    };
    /// By rank; 0 goes first.
    std::map<int, Rank> ranks_;
    /// Initial carry_ (0 to below 1). Instances have different ones, so that they admit a small
    /// fraction of the requests at different times.
    double firstCarry_ = 0;
    /// Rate of the requests that arrived here while the fraction was up to date.
    double offeredPerSecond_ = 0;
    Model::SteadyTime countedAt_ = Model::distantPast;
    /// The whole quota, which no instance may exceed, before the first fraction of a surge arrives.
    RateBucket whole_;
    /// Tokens for the time without an up-to-date fraction.
    double tokens_ = 0;
    Model::SteadyTime filledAt_ = Model::distantPast;
};

/// Returns a gate that starts at \a draw (0 to below 1).
QuotaGate newQuotaGate(double draw);

/// Decides whether to admit a request of \a rank by an up-to-date fraction: requests of the first
/// rank use it up before those of the next.
///
/// Without ranks, a workspace over its quota loses its urgent requests as often as the others.
/// Thread safety: \a gate belongs to the calling thread.
bool admitByFraction(QuotaGate &gate, const Model::Workspace &workspace, int rank,
                     Model::SteadyTime now);

/// Why an instance has no up-to-date fraction.
enum class AloneBecause {
    /// It has just started, and so have all others that it knows. What it admits is reported, and
    /// the root subtracts it from what it hands out.
    Starting,
    /// It reaches no instance above it, or has started beside others that admit the quota.
    CutOff,
};

/// Decides whether to admit a request while no fraction arrives. An instance that is cut off
/// continues to admit its recent part of the quota, between half of an equal part and little more
/// than one: those above it hand out all but the equal parts of the missing instances. One that
/// starts admits several equal parts.
///
/// Without the bound, instances that are cut off from each other would admit the quota once each.
/// Thread safety: as above.
bool admitAlone(QuotaGate &gate, const Model::Workspace &workspace, std::size_t instances,
                AloneBecause why, Model::SteadyTime now);

/// Decides whether to admit a request where nothing tells how many arrive elsewhere: each of
/// \a holders admits an equal part of the quota. Thread safety: \a bucket belongs to the calling
/// thread.
bool admitEqualPart(RateBucket &bucket, const Model::Workspace &workspace, std::size_t holders,
                    Model::SteadyTime now);

/// Returns after which delay a caller should retry whose request exceeds the quota: the smaller the
/// admitted fraction, the longer. Thread safety: any thread.
Model::Milliseconds quotaRetryDelay(const QuotaGate &gate);

} // namespace Policy
