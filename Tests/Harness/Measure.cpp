// Runs one scenario on a whole example site and prints a line "NAME VALUE UNIT" for each figure.
// Meta/measure.sh runs it for this version and for the baseline and joins the two.

#include <Harness/Samples.h>
#include <Harness/SingleQueue.h>
#include <Harness/Site.h>

#include <csignal>
#include <functional>
#include <gflags/gflags.h>
#include <iostream>
#include <numeric>
#include <regex>

DEFINE_string(site, "koper", "koper or nakhla");
DEFINE_string(scenario, "calm",
              "calm, bulk, drain, domain-crash, region-crash, store-outage, rolling, hop, pool");
DEFINE_string(binaries, "", "folder of the product's binaries; default beside this program");
DEFINE_int32(seed, 1, "seed of the load");

namespace {

using Harness::SampleLine;
using Harness::Site;
using Model::Milliseconds;

constexpr double serviceMs = 100;
constexpr double shiftCap = 0.05;

/// The names of one example and its delays.
struct Example
{
    std::string busy_;
    std::string careful_;
    std::string small_;
    std::string bulk_;
    std::string keyed_;
    double regionDelayMs_;
    int callerDelayMs_;
    /// Requests a second that a region's slots of the busy service carry.
    double capacity_;
    int carefulSlots_;
};

Example exampleOf(const std::string &site)
{
    if (site == "koper")
        return {"gauging", "transfers", "pilot-", "partner-", "customs-", 55, 1, 600, 16};
    return {"booking-desk", "treatment-desk", "family-", "hotel-", "app-", 20, 8, 400, 12};
}

void print(const std::string &name, double value, const std::string &unit)
{
    std::cout << name << " " << value << " " << unit << std::endl;
}

std::string stream(const Site &site, const Example &example, const std::string &name,
                   const std::string &service, const std::string &callers, double rate,
                   const std::string &region, const std::string &more = "")
{
    return "[stream " + name + "]\nservice = " + service + "\ncaller = " + callers
           + "\ncallers = 6\nrate = " + std::to_string(rate) + "\norigin = " + region
           + "\nsource = " + site.callerSource(region)
           + "\ndelay_ms = " + std::to_string(example.callerDelayMs_) + "\n" + more + "\n";
}

/// Small callers at a few percent, bulk at about a third, keyed requests at half of the capacity.
std::string mixedLoad(const Site &site, const Example &example)
{
    std::string text;
    for (const auto &row : site.table().regions()) {
        const std::string region = row.id_.value();
        const double keyedRate = 0.5 * example.carefulSlots_ * 1000 / serviceMs;
        text += stream(site, example, "small-" + region, example.busy_, example.small_, 30, region);
        text += stream(site, example, "bulk-" + region, example.busy_, example.bulk_,
                       0.3 * example.capacity_, region);
        text
            += stream(site, example, "keyed-" + region, example.careful_, example.keyed_, keyedRate,
                      region, "post = yes\nkey = yes\nrepeats = 2\ntimeout_ms = 5000\n");
    }
    return text;
}

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

/// What all processes used, to be taken before and after a load.
struct Usage
{
    double cpuSeconds_ = 0;
    double bytes_ = 0;
    double storeReads_ = 0;
    double storeWrites_ = 0;
    double requests_ = 0;
    double retries_ = 0;
    int controls_ = 0;
};

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

/// Watches the slots in use until the load ends and returns the least headroom of any failure
/// domain.
double watchHeadroom(Site &site, Harness::Process &load, const std::function<void(double)> &onTime)
{
    const auto start = std::chrono::steady_clock::now();
    double least = 1;
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
            least = std::min(least, 1 - pair.first / pair.second);
    }
    return least;
}

/// The largest gain of any failure domain of one origin over windows, of what the cap allows.
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

/// What a scenario does while the load runs, and what it measures besides the common figures.
struct Scenario
{
    int seconds_ = 14;
    std::function<std::string(const Site &, const Example &)> profile_ = mixedLoad;
    std::function<void(Site &, double)> onTime_ = [](Site &, double) {};
    std::function<void(Site &, const std::vector<SampleLine> &)> measure_
        = [](Site &, const std::vector<SampleLine> &) {};
};

/// Lets \a action happen once, when \a at seconds have passed.
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

void printCommon(const std::vector<SampleLine> &samples, const std::string &log,
                 const Example &example, int seconds)
{
    const auto small = Harness::ofStream(samples, "small");
    const auto bulk = Harness::ofStream(samples, "bulk");
    print("small_p50", Harness::latencyMs(small, 0.5), "ms");
    print("small_p99", Harness::latencyMs(small, 0.99), "ms");
    print("bulk_p99", Harness::latencyMs(bulk, 0.99), "ms");
    const double busyRun
        = static_cast<double>(Harness::countTold(small, "run") + Harness::countTold(bulk, "run"));
    print("goodput_of_capacity", busyRun / seconds / (3 * example.capacity_), "ratio");
    const auto notRun = static_cast<double>(Harness::countTold(samples, "not-run"));
    print("refused", notRun / static_cast<double>(samples.size()), "ratio");
    const auto smallRefused = static_cast<double>(Harness::countTold(small, "not-run"));
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

Harness::SiteOptions siteOptions(const Example &example)
{
    Harness::SiteOptions options;
    options.example_ = FLAGS_site;
    options.binaries_ = FLAGS_binaries;
    options.meanMs_ = {{example.busy_, serviceMs}, {example.careful_, serviceMs}};
    options.hasProxy_ = true;
    options.delayBetweenDomainsMs_ = 1.5;
    options.delayBetweenRegionsMs_ = example.regionDelayMs_;
    options.coldFactor_ = 2;
    return options;
}

void run(const Scenario &scenario)
{
    const Example example = exampleOf(FLAGS_site);
    Site site(siteOptions(example));
    site.start();
    const auto load
        = site.loadtool("load", scenario.profile_(site, example), scenario.seconds_, FLAGS_seed);
    const Usage before = usageOf(site);
    load->start();
    const double headroom = watchHeadroom(site, *load, [&](double passed) {
        scenario.onTime_(site, passed);
    });
    const Usage after = usageOf(site);
    const auto samples = Harness::readSamples(site.samplesPath("load"));
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
        // Twice what a region carries; the other regions are calm.
        const std::string region = site.table().regions().front().id_.value();
        return mixedLoad(site, example)
               + stream(site, example, "bulk-burst", example.busy_, example.bulk_,
                        2 * example.capacity_, region, "from_ms = 4000\n");
    };
    scenario.measure_ = [](Site &, const std::vector<SampleLine> &samples) {
        double slowest = 0;
        for (const auto &line : samples) {
            if (line.told_ == "not-run")
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
        const auto own = Harness::ofStream(samples, "bulk-" + region);
        print("shift_peak_of_cap", shiftPeak(own, site, 0, 22), "ratio");
        double last = at;
        for (const auto &line : own) {
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

Scenario domainCrash()
{
    Scenario scenario;
    scenario.seconds_ = 18;
    scenario.onTime_ = once(4, [](Site &site) {
        const auto domain = site.table().domains().front().id_;
        for (auto &target : site.targets()) {
            if (target.row_.domain_ == domain)
                target.process_->signal(SIGKILL);
        }
        for (auto &instance : site.instances()) {
            if (instance.row_.domain_ == domain) {
                for (auto *process : instance.processes())
                    process->signal(SIGKILL);
            }
        }
    });
    return scenario;
}

Scenario regionCrash()
{
    Scenario scenario;
    scenario.seconds_ = 18;
    scenario.onTime_ = once(4, [](Site &site) {
        const auto region = site.table().domains().front().region_;
        for (auto &target : site.targets()) {
            if (site.table().domain(target.row_.domain_)->region_ == region)
                target.process_->signal(SIGKILL);
        }
        for (auto &instance : site.instances()) {
            if (instance.row_.region_ == region) {
                for (auto *process : instance.processes())
                    process->signal(SIGKILL);
            }
        }
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
        for (const char *number : {"-1", "-2"}) {
            std::vector<Harness::SiteInstance *> group;
            for (auto &instance : site.instances()) {
                if (instance.row_.id_.value().ends_with(number))
                    group.push_back(&instance);
            }
            for (auto *instance : group) {
                for (auto *process : instance->processes())
                    process->signal(SIGTERM);
            }
            for (auto *instance : group) {
                for (auto *process : instance->processes())
                    process->wait(Milliseconds(20000));
            }
            for (auto *instance : group)
                site.startInstance(*instance);
            for (auto *instance : group)
                site.waitUntilServing(*instance, Milliseconds(15000));
        }
    });
    return scenario;
}

/// One stream straight to the targets and through the system, on loopback without delays.
void measureHop()
{
    const Example example = exampleOf(FLAGS_site);
    auto options = siteOptions(example);
    options.hasProxy_ = false;
    options.hasExponentialTimes_ = false;
    options.coldFactor_ = 1;
    options.meanMs_[example.busy_] = 10;
    Site site(options);
    site.start();
    const std::string region = site.table().regions().front().id_.value();
    Example near = example;
    near.callerDelayMs_ = 0;
    const std::string profile
        = stream(site, near, "one", example.busy_, example.small_, 100, region);
    std::string direct;
    for (const auto &target : site.targets()) {
        if (target.row_.service_.value() == example.busy_
            && site.table().domain(target.row_.domain_)->region_.value() == region)
            direct += (direct.empty() ? "" : ",") + toText(target.row_.address_);
    }
    const auto straight = site.loadtool("straight", profile, 6, FLAGS_seed, {"--direct=" + direct});
    straight->start();
    straight->wait(Milliseconds(30000));
    const auto through = site.loadtool("through", profile, 6, FLAGS_seed + 1);
    through->start();
    through->wait(Milliseconds(30000));
    const auto without = Harness::readSamples(site.samplesPath("straight"));
    const auto with = Harness::readSamples(site.samplesPath("through"));
    for (const auto &[name, part] : {std::pair("hop_p50", 0.5), std::pair("hop_p99", 0.99)})
        print(name, Harness::latencyMs(with, part) - Harness::latencyMs(without, part), "ms");
}

/// Waiting at 85% use against a single queue over the same slots and arrivals.
void measurePool()
{
    const Example example = exampleOf(FLAGS_site);
    auto options = siteOptions(example);
    options.hasExponentialTimes_ = false;
    options.coldFactor_ = 1;
    Site site(options);
    site.start();
    const std::string region = site.table().regions().front().id_.value();
    const double rate = 0.85 * example.carefulSlots_ * 1000 / serviceMs;
    Example near = example;
    near.callerDelayMs_ = 0;
    const auto load = site.loadtool("pool",
                                    stream(site, near, "pool", example.careful_, example.keyed_,
                                           rate, region, "timeout_ms = 5000\n"),
                                    20, FLAGS_seed);
    load->start();
    load->wait(Milliseconds(60000));
    const auto samples = Harness::readSamples(site.samplesPath("pool"));
    std::vector<double> arrivals;
    std::vector<double> waits;
    for (const auto &line : samples) {
        arrivals.push_back(line.sentSeconds_ * 1000);
        if (line.told_ == "run")
            waits.push_back(line.latencyMs_ - serviceMs);
    }
    const auto single = Harness::singleQueueWaits(arrivals, example.carefulSlots_, serviceMs);
    print("pool_wait_p99", Harness::quantile(waits, 0.99), "ms");
    print("pool_wait_p99_single", Harness::quantile(single, 0.99), "ms");
    print("pool_wait_ratio", Harness::quantile(waits, 0.99) / Harness::quantile(single, 0.99),
          "ratio");
    print("pool_refused",
          static_cast<double>(Harness::countTold(samples, "not-run"))
              / static_cast<double>(samples.size()),
          "ratio");
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::map<std::string, std::function<void()>> scenarios = {
        {"calm",
         [] {
             run(calm());
         }},
        {"bulk",
         [] {
             run(bulkBurst());
         }},
        {"drain",
         [] {
             run(drain());
         }},
        {"domain-crash",
         [] {
             run(domainCrash());
         }},
        {"region-crash",
         [] {
             run(regionCrash());
         }},
        {"store-outage",
         [] {
             run(storeOutage());
         }},
        {"rolling",
         [] {
             run(rolling());
         }},
        {"hop", measureHop},
        {"pool", measurePool},
    };
    const auto scenario = scenarios.find(FLAGS_scenario);
    if (scenario == scenarios.end()) {
        std::cerr << "no scenario '" << FLAGS_scenario << "'\n";
        return 3;
    }
    scenario->second();
    return 0;
}
