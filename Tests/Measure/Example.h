#pragma once

#include <Harness/Site.h>
#include <string>

namespace Measure {

/// The mean service time of the targets in the scenarios.
constexpr double serviceMs = 100;

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

/// Returns the names and delays of "koper" or "nakhla". Thread safety: any thread.
Example exampleOf(const std::string &site);

/// The services whose targets and load a scenario sets up, with the brief's delays between failure
/// domains and regions. Thread safety: any thread.
Harness::SiteOptions siteOptions(const std::string &site, const Example &example);

/// One stream of a load's profile.
struct Stream
{
    std::string name_;
    std::string service_;
    std::string callers_;
    double rate_ = 1;
    std::string region_;
    /// Further lines of the profile.
    std::string more_;
};

/// Returns the section of a profile. Thread safety: any thread.
std::string section(const Harness::Site &site, const Example &example, const Stream &stream);

/// Small callers at a few percent, bulk at about a third, keyed requests at half of the capacity.
///
/// Thread safety: any thread.
std::string mixedLoad(const Harness::Site &site, const Example &example);

} // namespace Measure
