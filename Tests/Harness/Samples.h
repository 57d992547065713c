#pragma once

#include <LibModel/LibModel.h>

#include <string>
#include <vector>

namespace Harness {

/// One line of the load tool's sample file.
struct SampleLine
{
    std::string stream_;
    std::string token_;
    double sentSeconds_ = 0;
    double latencyMs_ = 0;
    std::string outcome_;
    int code_ = 0;
    int sends_ = 0;
    std::string target_;
    std::string entry_;
    /// Part of the latency that passed before the load tool sent the request.
    double sendDelayMs_ = 0;
};

/// Reads a sample file. Throws if it does not exist.
std::vector<SampleLine> readSamples(const std::string &path);

/// Returns the lines whose stream name begins with \a stream.
std::vector<SampleLine> samplesOfStream(const std::vector<SampleLine> &lines,
                                        const std::string &stream);

/// Returns one line for each of the first requests that were not run, for assertion messages.
std::string refusalsOf(const std::vector<SampleLine> &lines);

std::size_t countOutcome(const std::vector<SampleLine> &lines, const std::string &outcome);

/// Returns the latency quantile of the answered requests in milliseconds.
double latencyMs(const std::vector<SampleLine> &lines, double fraction);

/// Returns each failure domain's share of the requests answered between two times.
std::vector<double> domainShares(const std::vector<SampleLine> &lines, const Model::Table &table,
                                 double fromSeconds, double untilSeconds);

/// Returns the value of "name=123.4" in the line that begins with \a start, or 0.
double valueIn(const std::string &text, const std::string &start, const std::string &name);

} // namespace Harness
