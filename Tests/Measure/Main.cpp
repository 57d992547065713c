// Runs one scenario on a whole example site and prints a line "NAME VALUE UNIT" for each figure.
// Meta/measure.sh runs it for this version and for the baseline and joins the results.

#include "Scenarios.h"

#include <gflags/gflags.h>
#include <iostream>
#include <map>

DEFINE_string(site, "koper", "koper or nakhla");
DEFINE_string(scenario, "calm",
              "calm, bulk, drain, domain-crash, region-crash, store-outage, rolling, hop, pool, "
              "leaving");
DEFINE_string(binaries, "",
              "directory of the product's binaries; default: this program's directory");
DEFINE_int32(seed, 1, "seed of the load");

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    using Maker = Measure::Scenario (*)();
    using SingleRun = void (*)(const Measure::RunOptions &);
    const std::map<std::string, Maker> scenarios = {
        {"calm", Measure::calm},
        {"bulk", Measure::bulkBurst},
        {"drain", Measure::drain},
        {"domain-crash", Measure::domainCrash},
        {"region-crash", Measure::regionCrash},
        {"store-outage", Measure::storeOutage},
        {"rolling", Measure::rolling},
    };
    const std::map<std::string, SingleRun> singleRuns = {
        {"hop", Measure::measureHop},
        {"pool", Measure::measurePool},
        {"leaving", Measure::measureLeaving},
    };
    const Measure::RunOptions options{FLAGS_site, FLAGS_binaries, FLAGS_seed};
    if (const auto scenario = scenarios.find(FLAGS_scenario); scenario != scenarios.end()) {
        Measure::run(options, scenario->second());
        return 0;
    }
    const auto singleRun = singleRuns.find(FLAGS_scenario);
    if (singleRun == singleRuns.end()) {
        std::cerr << "no scenario '" << FLAGS_scenario << "'\n";
        return 3;
    }
    singleRun->second(options);
    return 0;
}
