#include "WorkDistribution.h"

#include "WorkTimes.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace accumulators = boost::accumulators;

WorkDistribution::Generation WorkDistribution::emptyGeneration()
{
    return Generation(accumulators::tag::extended_p_square::probabilities = workQuantiles);
}

void WorkDistribution::add(double ratio)
{
    current_(ratio);
    if (accumulators::count(current_) < generationSize)
        return;
    previous_ = current_;
    current_ = emptyGeneration();
}

std::optional<double> WorkDistribution::quantile(WorkQuantile quantile) const
{
    const auto index = static_cast<std::size_t>(quantile);
    if (accumulators::count(previous_) > 0)
        return accumulators::extended_p_square(previous_)[index];
    if (accumulators::count(current_) >= minAnswersForQuantile)
        return accumulators::extended_p_square(current_)[index];
    return std::nullopt;
}

void noteWork(RecentWork &recent, double ratio, Model::SteadyTime now)
{
    recent.ratios_[recent.next_] = ratio;
    recent.next_ = (recent.next_ + 1) % RecentWork::count;
    recent.changedAt_ = now;
}

double slownessOf(const RecentWork &recent, std::span<const double> overdue, Model::SteadyTime now)
{
    std::array<double, RecentWork::count> ratios = recent.ratios_;
    std::size_t oldest = recent.next_;
    for (const double ratio : overdue.first(std::min(overdue.size(), RecentWork::count))) {
        ratios[oldest] = ratio;
        oldest = (oldest + 1) % RecentWork::count;
    }
    std::nth_element(ratios.begin(), ratios.begin() + RecentWork::count / 2, ratios.end());
    const double median = std::clamp(ratios[RecentWork::count / 2], 1.0, maxSlowness);
    if (!overdue.empty())
        return median;
    const double halves
        = std::max(0.0, Model::inSeconds(now - recent.changedAt_)) / Model::inSeconds(paceHalfLife);
    return 1 + (median - 1) * std::exp2(-halves);
}

double tailRatio(const WorkDistribution &distribution)
{
    const auto tail = distribution.quantile(WorkQuantile::Q99);
    return std::clamp(tail.value_or(minTailRatio) * tailMargin, minTailRatio, maxTailRatio);
}

} // namespace Policy
