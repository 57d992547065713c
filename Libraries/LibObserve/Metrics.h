#pragma once

#include <LibModel/LibModel.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace Observe {

/// Count, sum, maximum and quantiles of a duration since the start of the process.
///
/// Thread safety: none; each thread has its own, so that a request takes no shared lock. A scrape
/// collects the text of each thread.
class DurationSummary
{
public:
    DurationSummary();

    void add(Model::Microseconds duration);
    std::size_t count() const;
    /// Returns the estimate for \a probability, which is one of quantileProbabilities().
    Model::Microseconds quantile(double probability) const;
    Model::Microseconds sum() const;
    Model::Microseconds maximum() const;

    static const std::vector<double> &quantileProbabilities();

private:
    using Accumulator = boost::accumulators::accumulator_set<
        double,
        boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                   boost::accumulators::tag::max,
                                   boost::accumulators::tag::extended_p_square_quantile>>;
    Accumulator accumulator_;
};

/// Builds a metrics page in the Prometheus text format.
///
/// Thread safety: none; used by one thread at a time.
class MetricsText
{
public:
    /// Adds a value. \a labels is empty or like `service="gauging",thread="0"`.
    void add(std::string_view name, std::string_view help, std::string_view type, double value,
             std::string_view labels = {});
    /// Adds quantiles, sum and count of \a summary, in seconds.
    void addSummary(std::string_view name, std::string_view help, const DurationSummary &summary,
                    std::string_view labels = {});
    const std::string &text() const { return text_; }

private:
    void addHeader(std::string_view name, std::string_view help, std::string_view type);

    std::string text_;
    std::vector<std::string> described_;
};

} // namespace Observe
