#include "Scenarios.h"

#include <Harness/SingleQueue.h>

namespace Measure {

using Harness::Site;
using Model::Milliseconds;

void measureHop(const RunOptions &run)
{
    const Example example = exampleOf(run.site_);
    auto options = siteOptions(run.site_, example);
    options.binaries_ = run.binaries_;
    options.hasProxy_ = false;
    options.hasExponentialTimes_ = false;
    options.coldFactor_ = 1;
    options.meanMs_[example.busy_] = 10;
    Site site(options);
    site.start();
    const std::string region = site.table().regions().front().id_.value();
    Example undelayed = example;
    undelayed.callerDelayMs_ = 0;
    const std::string profile
        = section(site, undelayed, {"one", example.busy_, example.small_, 100, region, ""});
    std::string direct;
    for (const auto &target : site.targets()) {
        if (target.row_.service_.value() == example.busy_
            && site.table().domain(target.row_.domain_)->region_.value() == region)
            direct += (direct.empty() ? "" : ",") + toText(target.row_.address_);
    }
    const auto straight = site.loadtool("straight", profile, 6, run.seed_, {"--direct=" + direct});
    straight->start();
    straight->wait(Milliseconds(30000));
    const auto through = site.loadtool("through", profile, 6, run.seed_ + 1);
    through->start();
    through->wait(Milliseconds(30000));
    const auto without = Harness::readSamples(site.samplesPath("straight"));
    const auto with = Harness::readSamples(site.samplesPath("through"));
    for (const auto &[name, level] : {std::pair("hop_p50", 0.5), std::pair("hop_p99", 0.99)})
        print(name, Harness::latencyMs(with, level) - Harness::latencyMs(without, level), "ms");
}

void measurePool(const RunOptions &run)
{
    const Example example = exampleOf(run.site_);
    auto options = siteOptions(run.site_, example);
    options.binaries_ = run.binaries_;
    options.hasExponentialTimes_ = false;
    options.coldFactor_ = 1;
    Site site(options);
    site.start();
    const std::string region = site.table().regions().front().id_.value();
    const double rate = 0.85 * example.carefulSlots_ * 1000 / serviceMs;
    Example undelayed = example;
    undelayed.callerDelayMs_ = 0;
    const auto load = site.loadtool(
        "pool",
        section(site, undelayed,
                {"pool", example.careful_, example.keyed_, rate, region, "timeout_ms = 5000\n"}),
        20, run.seed_);
    load->start();
    load->wait(Milliseconds(60000));
    const auto samples = Harness::readSamples(site.samplesPath("pool"));
    std::vector<double> arrivals;
    std::vector<double> waits;
    for (const auto &line : samples) {
        arrivals.push_back(line.sentSeconds_ * 1000);
        if (line.outcome_ == "run")
            waits.push_back(line.latencyMs_ - serviceMs);
    }
    const auto single = Harness::singleQueueWaits(arrivals, example.carefulSlots_, serviceMs);
    print("pool_wait_p99", Harness::quantile(waits, 0.99), "ms");
    print("pool_wait_p99_single", Harness::quantile(single, 0.99), "ms");
    print("pool_wait_ratio", Harness::quantile(waits, 0.99) / Harness::quantile(single, 0.99),
          "ratio");
    print("pool_refused",
          static_cast<double>(Harness::countOutcome(samples, "not-run"))
              / static_cast<double>(samples.size()),
          "ratio");
}

void measureLeaving(const RunOptions &run)
{
    constexpr Milliseconds step(100);
    constexpr double watchSeconds = 8;
    const Example example = exampleOf(run.site_);
    auto options = siteOptions(run.site_, example);
    options.binaries_ = run.binaries_;
    options.coldFactor_ = 1;
    Site site(options);
    site.start();
    site.switchPlatform({{"list_lag_ms", 30000}});
    const auto load = site.loadtool("leaving", mixedLoad(site, example), 12, run.seed_);
    load->start();
    Harness::pause(Milliseconds(2000));
    const std::string id = site.targets().front().row_.id_.value();
    site.switchTarget(id, {{"drain", true}});
    const auto start = std::chrono::steady_clock::now();
    const auto requestCount = [&] {
        const auto counts = site.targetCounts(id);
        return counts.value("started", 0) + counts.value("refused", 0);
    };
    int seen = requestCount();
    double last = 0;
    for (double passed = 0; passed < watchSeconds;) {
        Harness::pause(step);
        passed = Model::inSeconds(std::chrono::steady_clock::now() - start);
        const int now = requestCount();
        if (now != seen)
            last = passed;
        seen = now;
    }
    load->wait(Milliseconds(60000));
    print("drain_no_new_work", last * 1000, "ms");
}

} // namespace Measure
