#include "Report.h"

#include <algorithm>

namespace Loadtool {

namespace {

Model::Microseconds percentile(const std::vector<Model::Microseconds> &sorted, double fraction)
{
    if (sorted.empty())
        return Model::Microseconds(0);
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * fraction + 0.5)];
}

const char *toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Run:
        return "run";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        return "unknown";
    case Outcome::NoAnswer:
        break;
    }
    return "nothing";
}

} // namespace

Figures figuresOf(const std::vector<Sample> &samples, int stream)
{
    Figures figures;
    std::vector<Model::Microseconds> latencies;
    for (const auto &sample : samples) {
        if (stream >= 0 && sample.stream_ != static_cast<std::size_t>(stream))
            continue;
        ++figures.requests_;
        figures.wrong_ += sample.isWrong_ ? 1 : 0;
        figures.answered_ += sample.outcome_ == Outcome::Run ? 1 : 0;
        figures.notRun_ += sample.outcome_ == Outcome::NotRun ? 1 : 0;
        figures.unknown_ += sample.outcome_ == Outcome::Unknown ? 1 : 0;
        figures.noAnswer_ += sample.outcome_ == Outcome::NoAnswer ? 1 : 0;
        if (sample.outcome_ == Outcome::Run)
            latencies.push_back(sample.latency_);
    }
    std::sort(latencies.begin(), latencies.end());
    figures.p50_ = percentile(latencies, 0.5);
    figures.p99_ = percentile(latencies, 0.99);
    figures.maximum_ = percentile(latencies, 1);
    return figures;
}

ExecutionMismatches compareWithExecutions(const std::vector<Sample> &samples,
                                          const std::vector<Stream> &streams,
                                          const std::map<std::string, int> &executions)
{
    ExecutionMismatches mismatches;
    for (const auto &sample : samples) {
        const auto found = executions.find(sample.token_);
        const int runs = found == executions.end() ? 0 : found->second;
        if (streams[sample.stream_].isPost_ && runs > 1)
            ++mismatches.duplicated_;
        if (sample.outcome_ == Outcome::NotRun && runs > 0)
            ++mismatches.notRunButExecuted_;
        if (sample.outcome_ == Outcome::Run && runs == 0)
            ++mismatches.answeredButNotExecuted_;
    }
    return mismatches;
}

std::string samplesText(const std::vector<Sample> &samples, const std::vector<Stream> &streams)
{
    std::string text = "stream,token,sent_us,latency_us,told,code,sends,target,entry,late_us\n";
    for (const auto &sample : samples) {
        text += streams[sample.stream_].name_ + "," + sample.token_ + ","
                + std::to_string(sample.sentAt_.count()) + ","
                + std::to_string(sample.latency_.count()) + "," + toText(sample.outcome_) + ","
                + std::to_string(sample.code_) + "," + std::to_string(sample.sends_) + ","
                + sample.target_ + "," + sample.entry_ + ","
                + std::to_string(sample.sendDelay_.count()) + "\n";
    }
    return text;
}

} // namespace Loadtool
