#include "QuotaGate.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

/// Time constant of the rate of an instance's own requests.
constexpr double ownRateSeconds = 2;
/// Largest growth of an instance's part while no fraction arrives.
constexpr double maxGrowthAlone = 1.5;
/// Fraction of an equal part that an instance without recent requests admits.
constexpr double equalPartAlone = 0.5;
/// Equal parts that an instance admits right after its start, and the tokens that it begins with.
constexpr double equalPartsAtStart = 4;
constexpr double tokensAtStart = 2;
/// A bucket holds the tokens of this time, and at least one.
constexpr double bucketSeconds = 0.5;
constexpr Model::Milliseconds retryDelayAtFullFraction{250};
constexpr Model::Milliseconds maxRetryDelay{5000};

} // namespace

QuotaGate newQuotaGate(double draw)
{
    QuotaGate gate;
    gate.carry_ = draw;
    return gate;
}

bool admitByFraction(QuotaGate &gate, Model::SteadyTime now)
{
    const double elapsed = Model::inSeconds(now - gate.countedAt_);
    gate.offeredPerSecond_
        = gate.offeredPerSecond_ * std::exp(-elapsed / ownRateSeconds) + 1 / ownRateSeconds;
    gate.countedAt_ = now;
    gate.carry_ += std::min(1.0, gate.fraction_);
    if (gate.carry_ < 1)
        return false;
    gate.carry_ -= 1;
    return true;
}

bool admitAlone(QuotaGate &gate, const Model::Workspace &workspace, std::size_t instances,
                AloneBecause why, Model::SteadyTime now)
{
    const bool isStarting = why == AloneBecause::Starting;
    const double equalPart
        = workspace.limit_.value() / static_cast<double>(std::max<std::size_t>(1, instances));
    const double ownPart = std::min(gate.fraction_, maxGrowthAlone) * gate.offeredPerSecond_;
    const double part = isStarting ? equalPartsAtStart * equalPart
                                   : std::max(equalPartAlone * equalPart, ownPart);
    const double rate = std::min(workspace.limit_.value(), part);
    const double firstTokens = gate.carry_ + (isStarting ? tokensAtStart : 0);
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
    const double earned = isNew ? 1 : rate * Model::inSeconds(now - bucket.filledAt_);
    bucket.tokens_ = std::min(std::max(1.0, burst), bucket.tokens_ + earned);
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
