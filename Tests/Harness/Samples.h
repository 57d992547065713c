#pragma once

#include <LibModel/LibModel.h>

#include <string>
#include <vector>

namespace Harness {

/// One line of the load tool's file of samples.
struct SampleLine
{
    std::string stream_;
    std::string token_;
    double sentSeconds_ = 0;
    double latencyMs_ = 0;
    std::string told_;
    int code_ = 0;
    int sends_ = 0;
    std::string target_;
    std::string entry_;
    /// How much of the latency passed before the load tool itself came to send the request.
    double lateMs_ = 0;
};

/// Reads a file of samples. Throws if it is not there.
std::vector<SampleLine> readSamples(const std::string &path);

/// Returns the lines whose stream's name begins with \a stream.
std::vector<SampleLine> ofStream(const std::vector<SampleLine> &lines, const std::string &stream);

/// Returns one line for each of the first requests that were not run, for a failure's message.
std::string refusalsOf(const std::vector<SampleLine> &lines);

std::size_t countTold(const std::vector<SampleLine> &lines, const std::string &told);

/// Returns the latency in milliseconds that a part of the answered requests stayed below.
double latencyMs(const std::vector<SampleLine> &lines, double part);

/// Returns the answered requests between two times that went to each failure domain, as shares.
std::vector<double> domainShares(const std::vector<SampleLine> &lines, const Model::Table &table,
                                 double fromSeconds, double untilSeconds);

/// Returns a value "name=123.4" of a line that begins with \a start, or 0.
double valueIn(const std::string &text, const std::string &start, const std::string &name);

} // namespace Harness
