#pragma once

#include "Example.h"

#include <Harness/Samples.h>
#include <functional>
#include <string>
#include <vector>

namespace Measure {

/// Maximum rate of a traffic shift in the examples, as a fraction of the traffic per second.
constexpr double shiftCap = 0.05;

/// Writes one figure to standard output. Thread safety: one thread at a time.
void print(const std::string &name, double value, const std::string &unit);

/// Resources used by all processes, sampled before and after a load.
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

/// Queries all running processes. Thread safety: one thread at a time.
Usage usageOf(Harness::Site &site);

/// Samples the slots in use until the load ends; returns the minimum headroom of any failure
/// domain.
double watchHeadroom(Harness::Site &site, Harness::Process &load,
                     const std::function<void(double)> &onTime);

/// Returns the maximum traffic gained by an origin's failure domains between two time windows, as a
/// fraction of what the shift cap allows.
double shiftPeak(const std::vector<Harness::SampleLine> &samples, const Harness::Site &site,
                 double from, double until);

/// Prints the request figures common to all scenarios. Thread safety: one thread at a time.
void printCommon(const std::vector<Harness::SampleLine> &samples, const std::string &log,
                 const Example &example, int seconds);

/// Prints the control processes' usage per second between two samples. Thread safety: one thread at
/// a time.
void printUsage(const Usage &before, const Usage &after, int seconds);

} // namespace Measure
