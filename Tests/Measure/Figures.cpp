#include "Figures.h"

#include <iostream>
#include <regex>

namespace Measure {

using Harness::SampleLine;
using Harness::Site;
using Model::Milliseconds;

namespace {

double metric(const Model::Address &address, const std::string &name)
{
    Http::SimpleRequest request;
    request.address_ = address;
    request.target_ = "/metrics";
    const auto answer = Http::sendAndWait(request);
    if (!answer)
        return 0;
    double sum = 0;
    const std::regex pattern("(?:^|\n)" + name + "(?:\\{[^}]*\\})? ([0-9.e+-]+)");
    const std::string body = answer->body();
    for (std::sregex_iterator match(body.begin(), body.end(), pattern), end; match != end; ++match)
        sum += std::stod((*match)[1].str());
    return sum;
}

} // namespace

void print(const std::string &name, double value, const std::string &unit)
{
    std::cout << name << " " << value << " " << unit << std::endl;
}

Usage usageOf(Site &site)
{
    Usage usage;
    for (auto &instance : site.instances()) {
        if (!instance.control_->isRunning())
            continue;
        ++usage.controls_;
        usage.cpuSeconds_ += instance.control_->cpuSeconds();
        const Model::Address control = instance.row_.addresses_.controlAdmin_;
        usage.bytes_ += metric(control, "cassiacrank_control_peer_sent_bytes_total")
                        + metric(control, "cassiacrank_control_peer_received_bytes_total");
        const Model::Address entry{instance.host_, 7006};
        usage.requests_ += metric(entry, "cassiacrank_entry_requests_total");
        usage.retries_ += metric(entry, "cassiacrank_entry_retries_total");
    }
    const auto counts = site.platformCounts();
    usage.storeReads_ = counts.value("reads", 0.0);
    usage.storeWrites_ = counts.value("writes", 0.0);
    return usage;
}

double watchHeadroom(Site &site, Harness::Process &load, const std::function<void(double)> &onTime)
{
    const auto start = std::chrono::steady_clock::now();
    double minHeadroom = 1;
    while (!load.wait(Milliseconds(300))) {
        onTime(Model::inSeconds(std::chrono::steady_clock::now() - start));
        std::map<std::string, std::pair<double, double>> use;
        for (auto &target : site.targets()) {
            const auto counts
                = Harness::getJson(target.row_.address_, "/standin/counts", Milliseconds(200));
            if (!counts)
                continue;
            auto &[inFlight, slots]
                = use[target.row_.service_.value() + " " + target.row_.domain_.value()];
            inFlight += counts->value("in_flight", 0.0);
            slots += static_cast<double>(target.row_.slots_.value());
        }
        for (const auto &[name, pair] : use)
            minHeadroom = std::min(minHeadroom, 1 - pair.first / pair.second);
    }
    return minHeadroom;
}

double shiftPeak(const std::vector<SampleLine> &samples, const Site &site, double from,
                 double until)
{
    constexpr double window = 2.0;
    constexpr double gap = 3.0;
    double peak = 0;
    for (double start = from; start + gap + window <= until; start += 0.5) {
        const auto before = Harness::domainShares(samples, site.table(), start, start + window);
        const auto after
            = Harness::domainShares(samples, site.table(), start + gap, start + gap + window);
        double moved = 0;
        for (std::size_t i = 0; i < before.size(); ++i)
            moved += std::max(0.0, after[i] - before[i]);
        peak = std::max(peak, moved / (shiftCap * gap));
    }
    return peak;
}

void printCommon(const std::vector<SampleLine> &samples, const std::string &log,
                 const Example &example, int seconds)
{
    const auto small = Harness::samplesOfStream(samples, "small");
    const auto bulk = Harness::samplesOfStream(samples, "bulk");
    print("small_p50", Harness::latencyMs(small, 0.5), "ms");
    print("small_p99", Harness::latencyMs(small, 0.99), "ms");
    print("bulk_p99", Harness::latencyMs(bulk, 0.99), "ms");
    const double busyRun = static_cast<double>(Harness::countOutcome(small, "run")
                                               + Harness::countOutcome(bulk, "run"));
    print("goodput_of_capacity", busyRun / seconds / (3 * example.capacity_), "ratio");
    const auto notRun = static_cast<double>(Harness::countOutcome(samples, "not-run"));
    print("refused", notRun / static_cast<double>(samples.size()), "ratio");
    const auto smallRefused = static_cast<double>(Harness::countOutcome(small, "not-run"));
    print("small_refused",
          smallRefused / static_cast<double>(std::max<std::size_t>(1, small.size())), "ratio");
    for (const std::string name : {"duplicated", "not_run_but_run"})
        print(name, Harness::valueIn(log, "judged", name), "requests");
    print("wrong", Harness::valueIn(log, "stream=all", "wrong"), "requests");
    print("unknown",
          Harness::valueIn(log, "stream=all", "unknown")
              + Harness::valueIn(log, "stream=all", "no_answer"),
          "requests");
}

void printUsage(const Usage &before, const Usage &after, int seconds)
{
    const double controls = std::max(1, after.controls_);
    print("control_cpu", std::max(0.0, after.cpuSeconds_ - before.cpuSeconds_) / seconds / controls,
          "cores");
    print("control_bytes", std::max(0.0, after.bytes_ - before.bytes_) / seconds / controls, "B/s");
    print("store_reads", (after.storeReads_ - before.storeReads_) / seconds, "1/s");
    print("store_writes", (after.storeWrites_ - before.storeWrites_) / seconds, "1/s");
    const double requests = std::max(1.0, after.requests_ - before.requests_);
    print("retries_share", std::max(0.0, after.retries_ - before.retries_) / requests, "ratio");
}

} // namespace Measure
