#pragma once

#include "Figures.h"

namespace Measure {

/// The program's flags that every scenario needs.
struct RunOptions
{
    std::string site_;
    /// Folder of the product's binaries; empty for those beside this program.
    std::string binaries_;
    int seed_ = 1;
};

/// What a scenario does while the load runs, and what it measures besides the common figures.
struct Scenario
{
    int seconds_ = 14;
    std::function<std::string(const Harness::Site &, const Example &)> profile_ = mixedLoad;
    std::function<void(Harness::Site &, double)> onTime_ = [](Harness::Site &, double) {};
    std::function<void(Harness::Site &, const std::vector<Harness::SampleLine> &)> measure_
        = [](Harness::Site &, const std::vector<Harness::SampleLine> &) {};
};

/// Runs a site under the scenario and prints its figures. Thread safety: one thread at a time.
void run(const RunOptions &options, const Scenario &scenario);

/// Nothing happens but one edit.
Scenario calm();
/// Bulk of one region at twice what the region carries.
Scenario bulkBurst();
/// One failure domain is drained by the table.
Scenario drain();
/// All processes of one failure domain are killed.
Scenario domainCrash();
/// All processes of one region are killed.
Scenario regionCrash();
/// The platform's store is down.
Scenario storeOutage();
/// All instances are replaced in two groups.
Scenario rolling();

/// One stream straight to the targets and through the system, on loopback without delays.
void measureHop(const RunOptions &options);
/// Waiting at 85% use against a single queue over the same slots and arrivals.
void measurePool(const RunOptions &options);
/// How long a target that begins to leave is still asked, while the platform's list lags.
void measureLeaving(const RunOptions &options);

} // namespace Measure
