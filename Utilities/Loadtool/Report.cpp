#include "Report.h"

#include <algorithm>

namespace Loadtool {

namespace {

Model::Microseconds percentile(const std::vector<Model::Microseconds> &sorted, double part)
{
    if (sorted.empty())
        return Model::Microseconds(0);
    const auto last = static_cast<double>(sorted.size() - 1);
    return sorted[static_cast<std::size_t>(last * part + 0.5)];
}

const char *toText(Told told)
{
    switch (told) {
    case Told::Run:
        return "run";
    case Told::NotRun:
        return "not-run";
    case Told::Unknown:
        return "unknown";
    case Told::Nothing:
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
        figures.answered_ += sample.told_ == Told::Run ? 1 : 0;
        figures.notRun_ += sample.told_ == Told::NotRun ? 1 : 0;
        figures.unknown_ += sample.told_ == Told::Unknown ? 1 : 0;
        figures.noAnswer_ += sample.told_ == Told::Nothing ? 1 : 0;
        if (sample.told_ == Told::Run)
            latencies.push_back(sample.latency_);
    }
    std::sort(latencies.begin(), latencies.end());
    figures.p50_ = percentile(latencies, 0.5);
    figures.p99_ = percentile(latencies, 0.99);
    figures.maximum_ = percentile(latencies, 1);
    return figures;
}

Judgement judge(const std::vector<Sample> &samples, const std::vector<Stream> &streams,
                const std::map<std::string, int> &executions)
{
    Judgement judgement;
    for (const auto &sample : samples) {
        const auto found = executions.find(sample.token_);
        const int runs = found == executions.end() ? 0 : found->second;
        if (streams[sample.stream_].isPost_ && runs > 1)
            ++judgement.duplicated_;
        if (sample.told_ == Told::NotRun && runs > 0)
            ++judgement.notRunButRun_;
        if (sample.told_ == Told::Run && runs == 0)
            ++judgement.answeredButNotRun_;
    }
    return judgement;
}

std::string samplesText(const std::vector<Sample> &samples, const std::vector<Stream> &streams)
{
    std::string text = "stream,token,sent_us,latency_us,told,code,sends,target,entry,late_us\n";
    for (const auto &sample : samples) {
        text += streams[sample.stream_].name_ + "," + sample.token_ + ","
                + std::to_string(sample.sentAt_.count()) + ","
                + std::to_string(sample.latency_.count()) + "," + toText(sample.told_) + ","
                + std::to_string(sample.code_) + "," + std::to_string(sample.sends_) + ","
                + sample.target_ + "," + sample.entry_ + ","
                + std::to_string(sample.lateBy_.count()) + "\n";
    }
    return text;
}

} // namespace Loadtool
