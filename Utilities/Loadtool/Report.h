#pragma once

#include "Profile.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Loadtool {

/// What a caller was finally told.
enum class Told { Run, NotRun, Unknown, Nothing };

/// One request from its planned start to its final answer.
struct Sample
{
    std::size_t stream_ = 0;
    std::string token_;
    /// From the start of the run.
    Model::Microseconds sentAt_{0};
    Model::Microseconds latency_{0};
    /// How much of the latency passed before the load tool itself came to send the request.
    Model::Microseconds lateBy_{0};
    Told told_ = Told::Nothing;
    int code_ = 0;
    bool isWrong_ = false;
    int sends_ = 0;
    std::string target_;
    std::string entry_;
};

/// Figures of some samples.
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

/// Sums up the samples of one stream, or of all for a stream number below zero. Thread safety: any.
Figures figuresOf(const std::vector<Sample> &samples, int stream);

/// What the targets themselves counted, set against what callers were told.
struct Judgement
{
    /// Requests that must run once and ran more often.
    std::size_t duplicated_ = 0;
    /// Requests whose callers were told "not run" and that ran.
    std::size_t notRunButRun_ = 0;
    /// Requests whose callers got an answer and that no target ran.
    std::size_t answeredButNotRun_ = 0;
};

/// Compares \a samples with the targets' \a executions by token. Thread safety: any thread.
Judgement judge(const std::vector<Sample> &samples, const std::vector<Stream> &streams,
                const std::map<std::string, int> &executions);

/// Returns the samples as comma-separated lines with a head line. Thread safety: any thread.
std::string samplesText(const std::vector<Sample> &samples, const std::vector<Stream> &streams);

} // namespace Loadtool
