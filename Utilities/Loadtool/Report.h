#pragma once

#include "Profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Loadtool {

/// The outcome of a request as its caller sees it.
enum class Outcome { Run, NotRun, Unknown, NoAnswer };

/// One request from its planned start to its final answer.
struct Sample
{
    std::size_t stream_ = 0;
    std::string token_;
    /// Relative to the start of the run.
    Model::Microseconds sentAt_{0};
    Model::Microseconds latency_{0};
    /// Part of the latency that passed before the load tool sent the request.
    Model::Microseconds sendDelay_{0};
    Outcome outcome_ = Outcome::NoAnswer;
    int code_ = 0;
    bool isWrong_ = false;
    int sends_ = 0;
    std::string target_;
    std::string entry_;
};

/// Counts and latency percentiles of a set of samples.
struct Figures
{
    std::size_t requests_ = 0;
    std::size_t answered_ = 0;
    std::size_t notRun_ = 0;
    std::size_t unknown_ = 0;
    std::size_t noAnswer_ = 0;
    std::size_t wrong_ = 0;
    Model::Microseconds p50_{0};
    Model::Microseconds p99_{0};
    Model::Microseconds maximum_{0};
};

/// Summarizes the samples of one stream, or of all streams if \a stream is negative. Thread safety:
/// any thread.
Figures figuresOf(const std::vector<Sample> &samples, int stream);

/// Contradictions between the targets' execution counts and the outcomes that callers got.
struct ExecutionMismatches
{
    /// Requests that must run at most once and ran more than once.
    std::size_t duplicated_ = 0;
    /// Requests with the outcome "not run" that ran.
    std::size_t notRunButExecuted_ = 0;
    /// Requests that were answered although no target ran them.
    std::size_t answeredButNotExecuted_ = 0;
};

/// Compares \a samples with the targets' \a executions, matched by token. Thread safety: any
/// thread.
ExecutionMismatches compareWithExecutions(const std::vector<Sample> &samples,
                                          const std::vector<Stream> &streams,
                                          const std::map<std::string, int> &executions);

/// Returns the samples as comma-separated values with a header line. Thread safety: any thread.
std::string samplesText(const std::vector<Sample> &samples, const std::vector<Stream> &streams);

} // namespace Loadtool
