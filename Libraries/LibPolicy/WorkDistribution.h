#pragma once

#include <LibModel/LibModel.h>

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <optional>
#include <span>

namespace Policy {

/// The quantiles that a WorkDistribution keeps.
constexpr std::array<double, 4> workQuantiles = {0.5, 0.9, 0.95, 0.99};
enum class WorkQuantile { Median, Q90, Q95, Q99 };

/// Distribution of the answer times of a route's requests to loaded objects, relative to the usual
/// time of such work. Covers between one and two generations of answers. Not shared between
/// threads.
class WorkDistribution
{
public:
    WorkDistribution()
        : current_(emptyGeneration())
        , previous_(emptyGeneration())
    {
    }

    /// Records an answer. Precondition: \a ratio is above zero.
    void add(double ratio);
    /// Returns a quantile, or std::nullopt before the first hundred answers.
    std::optional<double> quantile(WorkQuantile quantile) const;

private:
    using Generation = boost::accumulators::accumulator_set<
        double, boost::accumulators::stats<boost::accumulators::tag::count,
                                           boost::accumulators::tag::extended_p_square>>;

    static Generation emptyGeneration();

    Generation current_;
    Generation previous_;
};

/// The answers of a generation: enough for its 0.99 quantile to rest on several answers.
constexpr std::size_t generationSize = 1000;
constexpr std::size_t minAnswersForQuantile = 100;

/// The latest answer times of one target relative to the expected ones. Not shared between threads.
struct RecentWork
{
    static constexpr std::size_t count = 5;
    /// Missing answers count as usual ones.
    std::array<double, count> ratios_ = {1, 1, 1, 1, 1};
    std::size_t next_ = 0;
    Model::SteadyTime changedAt_ = Model::distantPast;
};

/// Records an answer. Thread safety: \a recent belongs to the calling thread.
void noteWork(RecentWork &recent, double ratio, Model::SteadyTime now);

/// Returns the slowness of a target: the median of its latest answers, where each of \a overdue,
/// the ratios so far of requests that it should have answered, takes the place of an older answer.
/// Half of it is gone after paceHalfLife without an answer.
///
/// A moving average takes a target for slow after one request that takes seven times as long as
/// usual, and three in a hundred do. Of five, three have to be slow. Thread safety: any thread.
double slownessOf(const RecentWork &recent, std::span<const double> overdue, Model::SteadyTime now);

/// Bounds of the ratio from which a single unanswered request counts against its target.
constexpr double minTailRatio = 2;
constexpr double maxTailRatio = 10;
/// Allows for a tail that is somewhat longer than the sample's.
constexpr double tailMargin = 1.2;

/// Returns the ratio from which a single unanswered request is no longer explained by the tail of
/// its route's work. Thread safety: any thread.
double tailRatio(const WorkDistribution &distribution);

} // namespace Policy
