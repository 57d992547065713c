#pragma once

#include <Harness/Site.h>
#include <string>

namespace Measure {

/// The mean service time of the targets in the scenarios.
constexpr double serviceMs = 100;

/// Service and caller names, delays and capacities of one example site.
struct Example
{
    std::string busy_;
    std::string careful_;
    std::string small_;
    std::string bulk_;
    std::string keyed_;
    double regionDelayMs_;
    int callerDelayMs_;
    /// Capacity of the busy service's slots in one region, in requests per second.
    double capacity_;
    int carefulSlots_;
};

/// Returns the names and delays of "koper" or "nakhla". Thread safety: any thread.
Example exampleOf(const std::string &site);

/// Returns the options of a site with the services of \a example and the example's delays between
/// failure domains and regions. Thread safety: any thread.
Harness::SiteOptions siteOptions(const std::string &site, const Example &example);

/// One stream of a load profile.
struct Stream
{
    std::string name_;
    std::string service_;
    std::string callers_;
    double rate_ = 1;
    std::string region_;
    /// Additional lines of the profile.
    std::string extraLines_;
};

/// Returns the profile section of \a stream. Thread safety: any thread.
std::string section(const Harness::Site &site, const Example &example, const Stream &stream);

/// Returns a profile with small callers at a few percent, bulk at about a third, and keyed requests
/// at half of the capacity.
///
/// Thread safety: any thread.
std::string mixedLoad(const Harness::Site &site, const Example &example);

} // namespace Measure
