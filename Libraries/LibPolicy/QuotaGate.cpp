#include "QuotaGate.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

/// Time constant of the rate of an instance's own requests.
constexpr double ownRateSeconds = 2;
/// Largest growth of an instance's part while no fraction arrives.
constexpr double maxGrowthAlone = 1.5;
/// Bounds of what an instance that is cut off admits, in equal parts: without recent requests, and
/// with many.
constexpr double minEqualPartsAlone = 0.5;
constexpr double maxEqualPartsAlone = 1;
/// Equal parts that an instance admits right after its start, and the tokens that it begins with.
constexpr double equalPartsAtStart = 4;
constexpr double tokensAtStart = 1;
/// A bucket holds the tokens of this time, and at least one.
constexpr double bucketSeconds = 0.5;
constexpr Model::Milliseconds retryDelayAtFullFraction{250};
constexpr Model::Milliseconds maxRetryDelay{5000};
/// Time constant of the ranks' parts of an instance's own requests.
constexpr double rankSeconds = 5;

/// Returns the part of the requests of \a rank that is admitted: what the ranks before it leave of
/// the gate's fraction.
double fractionOfRank(const QuotaGate &gate, int rank)
{
    double before = 0;
    double all = 0;
    for (const auto &[other, state] : gate.ranks_) {
        all += state.weight_;
        before += other < rank ? state.weight_ : 0;
    }
    const double share = gate.ranks_.at(rank).weight_ / all;
    return std::clamp((gate.fraction_ - before / all) / share, 0.0, 1.0);
}

} // namespace

QuotaGate newQuotaGate(double draw)
{
    QuotaGate gate;
    gate.firstCarry_ = draw;
    return gate;
}

bool admitByFraction(QuotaGate &gate, const Model::Workspace &workspace, int rank,
                     Model::SteadyTime now)
{
    const double elapsed = Model::inSeconds(now - gate.countedAt_);
    gate.offeredPerSecond_
        = gate.offeredPerSecond_ * std::exp(-elapsed / ownRateSeconds) + 1 / ownRateSeconds;
    gate.countedAt_ = now;
    for (auto &[other, state] : gate.ranks_)
        state.weight_ *= std::exp(-elapsed / rankSeconds);
    QuotaGate::Rank &own
        = gate.ranks_.try_emplace(rank, QuotaGate::Rank{0, gate.firstCarry_}).first->second;
    own.weight_ += 1;
    own.carry_ += fractionOfRank(gate, rank);
    if (own.carry_ < 1)
        return false;
    own.carry_ -= 1;
    return admitEqualPart(gate.whole_, workspace, 1, now);
}

bool admitAlone(QuotaGate &gate, const Model::Workspace &workspace, std::size_t instances,
                AloneBecause why, Model::SteadyTime now)
{
    const bool isStarting = why == AloneBecause::Starting;
    const double equalPart
        = workspace.limit_.value() / static_cast<double>(std::max<std::size_t>(1, instances));
    const double ownPart = std::min(gate.fraction_, maxGrowthAlone) * gate.offeredPerSecond_;
    const double partAlone
        = std::clamp(ownPart, minEqualPartsAlone * equalPart, maxEqualPartsAlone * equalPart);
    const double part = isStarting ? equalPartsAtStart * equalPart : partAlone;
    const double rate = std::min(workspace.limit_.value(), part);
    const double firstTokens = gate.firstCarry_ + (isStarting ? tokensAtStart : 0);
    const double capacity = std::max(std::max(1.0, firstTokens), rate * bucketSeconds);
    if (gate.filledAt_ < gate.countedAt_ || gate.filledAt_ == Model::distantPast) {
        gate.tokens_ = firstTokens;
    } else {
        gate.tokens_ += rate * Model::inSeconds(now - gate.filledAt_);
    }
    gate.filledAt_ = now;
    gate.tokens_ = std::min(gate.tokens_, capacity);
    if (gate.tokens_ < 1)
        return false;
    gate.tokens_ -= 1;
    return true;
}

bool admitEqualPart(RateBucket &bucket, const Model::Workspace &workspace, std::size_t holders,
                    Model::SteadyTime now)
{
    if (!workspace.isLimited())
        return true;
    const double rate = limitPerHolder(workspace.limit_, holders).value();
    const double burst = workspace.burst_ / static_cast<double>(std::max<std::size_t>(1, holders));
    const bool isNew = bucket.filledAt_ == Model::SteadyTime();
    const double capacity = std::max(1.0, burst);
    const double earned = isNew ? capacity : rate * Model::inSeconds(now - bucket.filledAt_);
    bucket.tokens_ = std::min(capacity, bucket.tokens_ + earned);
    bucket.filledAt_ = now;
    if (bucket.tokens_ < 1)
        return false;
    bucket.tokens_ -= 1;
    return true;
}

Model::Milliseconds quotaRetryDelay(const QuotaGate &gate)
{
    const double fraction = std::clamp(gate.fraction_, 0.01, 1.0);
    const Model::Milliseconds delay(
        static_cast<long long>(static_cast<double>(retryDelayAtFullFraction.count()) / fraction));
    return std::min(delay, maxRetryDelay);
}

} // namespace Policy
