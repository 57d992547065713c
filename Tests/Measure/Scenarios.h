#pragma once

#include "Figures.h"

namespace Measure {

/// The command-line options common to all scenarios.
struct RunOptions
{
    std::string site_;
    /// Directory of the product's binaries; empty for this program's directory.
    std::string binaries_;
    int seed_ = 1;
};

/// A scenario: actions during the load, and measurements besides the common figures.
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

/// One table edit and no fault.
Scenario calm();
/// Bulk load of one region at twice the region's capacity.
Scenario bulkBurst();
/// One failure domain is drained by a table edit.
Scenario drain();
/// All processes of one failure domain are killed.
Scenario domainCrash();
/// All processes of one region are killed.
Scenario regionCrash();
/// The platform's store is unavailable.
Scenario storeOutage();
/// All instances are replaced in two groups.
Scenario rolling();

/// Measures the latency that the system adds: one stream sent directly to the targets and through
/// the system, over loopback without delays.
void measureHop(const RunOptions &options);
/// Compares queueing delays at 85% utilization with a single queue over the same slots and
/// arrivals.
void measurePool(const RunOptions &options);
/// Measures how long a leaving target still receives requests while the platform's list lags.
void measureLeaving(const RunOptions &options);

} // namespace Measure
