#include "Metrics.h"

#include <algorithm>
#include <cstdio>

namespace Observe {

namespace accumulators = boost::accumulators;

namespace {

constexpr double microsecondsPerSecond = 1e6;

std::string numberText(double value)
{
    char text[48];
    std::snprintf(text, sizeof text, "%.9g", value);
    return text;
}

} // namespace

const std::vector<double> &DurationSummary::quantileProbabilities()
{
    static const std::vector<double> probabilities = {0.5, 0.9, 0.99, 0.999};
    return probabilities;
}

DurationSummary::DurationSummary()
    : accumulator_(accumulators::extended_p_square_probabilities = quantileProbabilities())
{
}

void DurationSummary::add(Model::Microseconds duration)
{
    accumulator_(static_cast<double>(duration.count()));
}

std::size_t DurationSummary::count() const
{
    return accumulators::count(accumulator_);
}

Model::Microseconds DurationSummary::quantile(double probability) const
{
    if (count() == 0)
        return Model::Microseconds(0);
    const double value
        = accumulators::quantile(accumulator_, accumulators::quantile_probability = probability);
    return Model::Microseconds(static_cast<long long>(value));
}

Model::Microseconds DurationSummary::sum() const
{
    return Model::Microseconds(static_cast<long long>(accumulators::sum(accumulator_)));
}

Model::Microseconds DurationSummary::maximum() const
{
    if (count() == 0)
        return Model::Microseconds(0);
    return Model::Microseconds(static_cast<long long>(accumulators::max(accumulator_)));
}

void MetricsText::addHeader(std::string_view name, std::string_view help, std::string_view type)
{
    if (std::find(described_.begin(), described_.end(), name) != described_.end())
        return;
    described_.emplace_back(name);
    text_ += "# HELP " + std::string(name) + " " + std::string(help) + "\n";
    text_ += "# TYPE " + std::string(name) + " " + std::string(type) + "\n";
}

void MetricsText::add(std::string_view name, std::string_view help, std::string_view type,
                      double value, std::string_view labels)
{
    addHeader(name, help, type);
    text_ += std::string(name);
    if (!labels.empty())
        text_ += "{" + std::string(labels) + "}";
    text_ += " " + numberText(value) + "\n";
}

void MetricsText::addSummary(std::string_view name, std::string_view help,
                             const DurationSummary &summary, std::string_view labels)
{
    const std::string base(name);
    const std::string prefix = labels.empty() ? "" : std::string(labels) + ",";
    const std::string braced = labels.empty() ? "" : "{" + std::string(labels) + "}";
    addHeader(name, help, "summary");
    for (double probability : DurationSummary::quantileProbabilities()) {
        const auto value = static_cast<double>(summary.quantile(probability).count());
        text_ += base + "{" + prefix + "quantile=\"" + numberText(probability) + "\"} "
                 + numberText(value / microsecondsPerSecond) + "\n";
    }
    const auto total = static_cast<double>(summary.sum().count());
    text_ += base + "_sum" + braced + " " + numberText(total / microsecondsPerSecond) + "\n";
    text_ += base + "_count" + braced + " " + std::to_string(summary.count()) + "\n";
}

} // namespace Observe
