#pragma once

#include "Example.h"

#include <Harness/Samples.h>
#include <functional>
#include <string>
#include <vector>

namespace Measure {

/// How fast the examples let traffic move, in shares of the traffic in a second.
constexpr double shiftCap = 0.05;

/// Writes one figure to the standard output. Thread safety: one thread at a time.
void print(const std::string &name, double value, const std::string &unit);

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

/// Asks all running processes. Thread safety: one thread at a time.
Usage usageOf(Harness::Site &site);

/// Watches the slots in use until the load ends and returns the least headroom of any failure
/// domain.
double watchHeadroom(Harness::Site &site, Harness::Process &load,
                     const std::function<void(double)> &onTime);

/// The largest gain of any failure domain of one origin over windows, of what the cap allows.
double shiftPeak(const std::vector<Harness::SampleLine> &samples, const Harness::Site &site,
                 double from, double until);

/// Prints what every scenario measures of its requests. Thread safety: one thread at a time.
void printCommon(const std::vector<Harness::SampleLine> &samples, const std::string &log,
                 const Example &example, int seconds);

/// Prints what control took in the seconds between two usages. Thread safety: one thread at a time.
void printUsage(const Usage &before, const Usage &after, int seconds);

} // namespace Measure
