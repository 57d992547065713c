#include "Load.h"

#include <LibObserve/LibObserve.h>

#include <fstream>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

DEFINE_string(profile, "", "path of the INI file of streams; see docs/loadtool.md");
DEFINE_string(lookups, "", "IP:port, ... of look-ups from which to request entries");
DEFINE_string(direct, "", "IP:port, ... of targets to send to directly, bypassing the system");
DEFINE_string(targets, "",
              "IP:port, ... of targets whose execution counts are compared with the outcomes");
DEFINE_string(samples, "", "output path for a line per request");
DEFINE_int32(seconds, 20, "duration of the run");
DEFINE_uint64(seed, 1, "seed of arrival times and random choices");
DEFINE_bool(progress, false, "print a progress line every second");

namespace {

using Loadtool::Figures;
using Loadtool::Sample;
using Loadtool::Stream;

std::optional<std::vector<Model::Address>> addressList(const std::string &text)
{
    std::vector<Model::Address> addresses;
    std::istringstream stream(text);
    for (std::string item; std::getline(stream, item, ',');) {
        const auto address = Model::addressFromText(item);
        if (!address)
            return std::nullopt;
        addresses.push_back(*address);
    }
    return addresses;
}

std::map<std::string, int> executionsOf(const std::vector<Model::Address> &targets)
{
    std::map<std::string, int> executions;
    for (const auto &target : targets) {
        Http::SimpleRequest request;
        request.address_ = target;
        request.target_ = "/standin/executions";
        const auto answer = Http::sendAndWait(request);
        if (!answer) {
            std::cerr << "target " << toText(target) << " does not return its execution counts\n";
            continue;
        }
        const auto counts = nlohmann::json::parse(answer->body(), nullptr, false);
        for (const auto &[token, count] : counts.items())
            executions[token] += count.get<int>();
    }
    return executions;
}

void printFigures(const std::string &name, const Figures &figures)
{
    std::cout << "stream=" << name << " requests=" << figures.requests_
              << " answered=" << figures.answered_ << " not_run=" << figures.notRun_
              << " unknown=" << figures.unknown_ << " no_answer=" << figures.noAnswer_
              << " wrong=" << figures.wrong_
              << " p50_ms=" << static_cast<double>(figures.p50_.count()) / 1000
              << " p99_ms=" << static_cast<double>(figures.p99_.count()) / 1000
              << " max_ms=" << static_cast<double>(figures.maximum_.count()) / 1000 << "\n";
}

void printProgress(const std::vector<Sample> &samples)
{
    const Figures figures = Loadtool::figuresOf(samples, -1);
    std::cout << "progress requests=" << figures.requests_ << " answered=" << figures.answered_
              << " not_run=" << figures.notRun_
              << " unknown=" << figures.unknown_ + figures.noAnswer_ << std::endl;
}

std::optional<Loadtool::LoadOptions> readOptions()
{
    std::ifstream file(FLAGS_profile);
    std::ostringstream text;
    text << file.rdbuf();
    Loadtool::LoadOptions options;
    options.duration_ = std::chrono::seconds(FLAGS_seconds);
    options.seed_ = FLAGS_seed;
    const auto streams = Loadtool::streamsFromText(text.str(), options.duration_);
    const auto lookups = streams ? addressList(FLAGS_lookups) : std::nullopt;
    const auto direct = lookups ? addressList(FLAGS_direct) : std::nullopt;
    if (!direct)
        return std::nullopt;
    if (streams->empty() || (lookups->empty() && direct->empty())) {
        return Model::fail(Model::ResultCode::SettingsMissing,
                           "a profile with streams and --lookups or --direct are required");
    }
    options.streams_ = *streams;
    options.lookups_ = *lookups;
    options.direct_ = *direct;
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const std::string help
        = "loadtool: simulates callers, prints their outcomes and latencies, and "
          "compares the outcomes with the targets' execution counts.";
    if (Observe::showHelpIfAsked(argc, argv, help, "Loadtool/main"))
        return 0;
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    Observe::blockStopSignals();
    const auto options = readOptions();
    const auto targets = options ? addressList(FLAGS_targets) : std::nullopt;
    if (!targets) {
        std::cerr << toText(Model::lastReason()) << "\n";
        return static_cast<int>(Observe::ExitCode::BadUsage);
    }

    Loadtool::Load load(*options);
    const auto samples = load.run(FLAGS_progress ? printProgress : nullptr);
    for (std::size_t i = 0; i < options->streams_.size(); ++i)
        printFigures(options->streams_[i].name_, Loadtool::figuresOf(samples, static_cast<int>(i)));
    const Figures all = Loadtool::figuresOf(samples, -1);
    printFigures("all", all);
    const auto mismatches
        = Loadtool::compareWithExecutions(samples, options->streams_, executionsOf(*targets));
    std::cout << "judged duplicated=" << mismatches.duplicated_
              << " not_run_but_run=" << mismatches.notRunButExecuted_
              << " answered_but_not_run=" << mismatches.answeredButNotExecuted_ << "\n";
    if (!FLAGS_samples.empty())
        std::ofstream(FLAGS_samples) << Loadtool::samplesText(samples, options->streams_);
    return 0;
}
