#include "Scenarios.h"

#include <csignal>
#include <iostream>

namespace Measure {

using Harness::SampleLine;
using Harness::Site;
using Model::Milliseconds;

namespace {

/// Returns a function that runs \a action once, after \a at seconds.
std::function<void(Site &, double)> once(double at, std::function<void(Site &)> action)
{
    auto isDone = std::make_shared<bool>(false);
    return [=](Site &site, double passed) {
        if (*isDone || passed < at)
            return;
        *isDone = true;
        action(site);
    };
}

} // namespace

void run(const RunOptions &options, const Scenario &scenario)
{
    const Example example = exampleOf(options.site_);
    auto siteSetup = siteOptions(options.site_, example);
    siteSetup.binaries_ = options.binaries_;
    Site site(siteSetup);
    site.start();
    const auto load
        = site.loadtool("load", scenario.profile_(site, example), scenario.seconds_, options.seed_);
    const Usage before = usageOf(site);
    load->start();
    const double headroom = watchHeadroom(site, *load, [&](double passed) {
        scenario.onTime_(site, passed);
    });
    const Usage after = usageOf(site);
    const auto samples = Harness::readSamples(site.samplesPath("load"));
    // Figures go to standard output; the reasons of refusals, for diagnosis, to standard error.
    std::cerr << Harness::refusalsOf(samples);
    printCommon(samples, load->log(), example, scenario.seconds_);
    print("headroom_min", headroom, "ratio");
    printUsage(before, after, scenario.seconds_);
    scenario.measure_(site, samples);
}

Scenario calm()
{
    Scenario scenario;
    scenario.onTime_ = once(5, [](Site &site) {
        std::string output;
        const std::string row = "service " + site.table().services().front().id_.value();
        site.tablectl({"--operator=measure", "set", row, "queue_ms=210"}, &output);
        const auto start = std::chrono::steady_clock::now();
        for (auto &instance : site.instances()) {
            Harness::waitUntil(Milliseconds(10000), [&] {
                const auto status = Harness::getJson({instance.host_, 7006}, "/status");
                return status && status->value("table_version", 0) >= 2;
            });
        }
        const auto taken = std::chrono::steady_clock::now() - start;
        print("edit_in_force_max", Model::inSeconds(taken) * 1000, "ms");
    });
    return scenario;
}

Scenario bulkBurst()
{
    Scenario scenario;
    scenario.profile_ = [](const Site &site, const Example &example) {
        // Twice a region's capacity; the other regions have their normal load.
        const std::string region = site.table().regions().front().id_.value();
        return mixedLoad(site, example)
               + section(site, example,
                         {"bulk-burst", example.busy_, example.bulk_, 2 * example.capacity_, region,
                          "from_ms = 4000\n"});
    };
    scenario.measure_ = [](Site &, const std::vector<SampleLine> &samples) {
        double slowest = 0;
        for (const auto &line : samples) {
            if (line.outcome_ == "not-run")
                slowest = std::max(slowest, line.latencyMs_);
        }
        print("refusal_max", slowest, "ms");
    };
    return scenario;
}

Scenario drain()
{
    Scenario scenario;
    scenario.seconds_ = 22;
    const double at = 3;
    const std::size_t domain = 0;
    scenario.onTime_ = once(at, [=](Site &site) {
        site.tablectl({"--operator=measure", "drain", site.table().domains()[domain].id_.value()});
    });
    scenario.measure_ = [=](Site &site, const std::vector<SampleLine> &samples) {
        const std::string region = site.table().domains()[domain].region_.value();
        const auto shifted = Harness::samplesOfStream(samples, "bulk-" + region);
        print("shift_peak_of_cap", shiftPeak(shifted, site, 0, 22), "ratio");
        // Without a shift, the same sum shows the sampling noise of the counts.
        const std::string calm = site.table().regions().back().id_.value();
        const auto still = Harness::samplesOfStream(samples, "bulk-" + calm);
        print("shift_scatter_of_cap", shiftPeak(still, site, 0, 22), "ratio");
        double last = at;
        for (const auto &line : shifted) {
            for (const auto &target : site.table().targets()) {
                if (target.id_.value() == line.target_
                    && target.domain_ == site.table().domains()[domain].id_)
                    last = std::max(last, line.sentSeconds_);
            }
        }
        print("drain_complete", (last - at) / (0.5 / shiftCap), "of_cap_time");
    };
    return scenario;
}

namespace {

/// Kills all processes in the matching failure domains at once, without notice.
void kill(Site &site, const std::function<bool(const Model::FailureDomain &)> &isHit)
{
    for (auto &target : site.targets()) {
        if (isHit(*site.table().domain(target.row_.domain_)))
            target.process_->signal(SIGKILL);
    }
    for (auto &instance : site.instances()) {
        if (!isHit(*site.table().domain(instance.row_.domain_)))
            continue;
        for (auto *process : instance.processes())
            process->signal(SIGKILL);
    }
}

} // namespace

Scenario domainCrash()
{
    Scenario scenario;
    scenario.seconds_ = 18;
    scenario.onTime_ = once(4, [](Site &site) {
        const auto lost = site.table().domains().front().id_;
        kill(site, [&](const auto &domain) {
            return domain.id_ == lost;
        });
    });
    return scenario;
}

Scenario regionCrash()
{
    Scenario scenario;
    scenario.seconds_ = 18;
    scenario.onTime_ = once(4, [](Site &site) {
        const auto lost = site.table().domains().front().region_;
        kill(site, [&](const auto &domain) {
            return domain.region_ == lost;
        });
    });
    return scenario;
}

Scenario storeOutage()
{
    Scenario scenario;
    scenario.onTime_ = once(4, [](Site &site) {
        site.switchPlatform({{"down", true}});
    });
    return scenario;
}

Scenario rolling()
{
    Scenario scenario;
    scenario.seconds_ = 24;
    scenario.onTime_ = once(2, [](Site &site) {
        site.replaceAllInstances(Milliseconds(20000));
    });
    return scenario;
}

} // namespace Measure
