#pragma once

#include "Process.h"

#include <LibHttp/LibHttp.h>
#include <LibModel/LibModel.h>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace Harness {

/// How a site is set up.
struct SiteOptions
{
    /// "koper" or "nakhla".
    std::string example_ = "koper";
    /// Mean service time by service; others take 10 ms.
    std::map<std::string, double> meanMs_;
    bool hasExponentialTimes_ = true;
    double coldFactor_ = 1;
    /// Targets end under requests whose path holds this.
    std::string endUnder_;
    /// Instances to start, at most 12; the first of each failure domain come first.
    std::size_t instances_ = 12;
    int lookupTimeToLiveMs_ = 1000;
    /// Runs connections between regions and failure domains through the fault-injecting proxy.
    bool hasProxy_ = false;
    double delayBetweenDomainsMs_ = 0;
    double delayBetweenRegionsMs_ = 0;
    /// Cells to change in the example: "service gauging" -> "shift_cap" -> "10".
    std::map<std::string, std::map<std::string, std::string>> cells_;
    /// Where the binaries are; empty for those beside this program.
    std::string binaries_;
};

/// A target of the site.
struct SiteTarget
{
    Model::Target row_;
    std::unique_ptr<Process> process_;
};

/// An instance of the site with its three processes.
struct SiteInstance
{
    Model::Instance row_;
    std::string host_;
    std::unique_ptr<Process> control_;
    std::unique_ptr<Process> lookup_;
    std::unique_ptr<Process> entry_;

    std::vector<Process *> processes();
};

/// A whole small site in real processes on loopback numbers of its own: the platform's stand-in,
/// all targets of an example, the fault-injecting proxy and the instances.
class Site
{
public:
    explicit Site(SiteOptions options);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Starts everything and waits until all instances serve. Throws if that fails.
    void start();
    void startInstance(SiteInstance &instance);
    /// Makes the instance's processes without starting them.
    void prepareInstance(SiteInstance &instance);
    /// Waits until the instance's entry uses the table and its look-up answers.
    bool waitUntilServing(SiteInstance &instance, Model::Milliseconds patience);
    /// Stops the processes of an instance as planned; returns whether each exited with 0.
    bool stopInstance(SiteInstance &instance, Model::Milliseconds patience);
    /// Stops all instances at the same time as planned.
    bool stopAllInstances(Model::Milliseconds patience);
    /// Replaces every instance as planned, in two groups of one instance of each failure domain.
    /// Returns whether each process exited with 0 and each new instance serves within \a patience.
    bool replaceAllInstances(Model::Milliseconds patience);
    /// Makes the platform's list say what runs; leaving ones are named by id.
    void writeInstanceList(const std::set<std::string> &leaving = {});

    std::vector<SiteInstance> &instances() { return instances_; }
    std::vector<SiteTarget> &targets() { return targets_; }
    SiteInstance &instance(const std::string &id);
    SiteTarget &target(const std::string &id);
    Model::Address platform() const;
    const Model::Table &table() const { return *table_; }

    /// Runs tablectl and returns its exit code; the output goes to \a output if given.
    int tablectl(std::vector<std::string> arguments, std::string *output = nullptr);
    /// Sets switches of the platform's stand-in, of a target or of a group of the proxy.
    void switchPlatform(const nlohmann::json &wanted);
    void switchTarget(const std::string &id, const nlohmann::json &wanted);
    void switchProxy(const std::string &group, const std::string &mode);
    /// Returns the counts of a target's stand-in.
    nlohmann::json targetCounts(const std::string &id);
    nlohmann::json platformCounts();

    /// Writes \a profile to a file and makes a loadtool for it, not started yet.
    std::unique_ptr<Process> loadtool(const std::string &name, const std::string &profile,
                                      int seconds, int seed = 1,
                                      std::vector<std::string> more = {});
    std::string samplesPath(const std::string &name) const;
    /// A loopback number from which callers of the region connect.
    std::string callerSource(const std::string &region) const;
    std::string directory() const { return directory_; }
    std::string binary(const std::string &name) const;
    /// Addresses joined by commas, for the load tool's flags.
    std::string lookupList() const;
    std::string targetList() const;

private:
    void chooseNet();
    std::string exampleText() const;
    void makeTargets();
    void makeInstances();
    void startProxy();
    void startPlatform();
    std::string settingsText(const SiteInstance &instance) const;
    std::string write(const std::string &name, const std::string &text) const;
    std::unique_ptr<Process> makeProcess(const std::string &name,
                                         std::vector<std::string> command) const;
    double delayBetween(const Model::Instance &from, const Model::RegionId &region,
                        const Model::FailureDomainId &domain) const;
    void addWay(SiteInstance &from, const Model::Address &to, double delayMs,
                const std::string &group);

    SiteOptions options_;
    int net_ = 0;
    int netLock_ = -1;
    std::string directory_;
    std::unique_ptr<Process> platform_;
    std::unique_ptr<Process> proxy_;
    std::vector<SiteTarget> targets_;
    std::vector<SiteInstance> instances_;
    std::optional<Model::Table> table_;
    std::string ways_;
    /// By instance, the lines of its [dial] section.
    std::map<std::string, std::string> dial_;
    int lastWay_ = 0;
};

/// Returns the body of a GET as JSON, or nothing.
std::optional<nlohmann::json> getJson(const Model::Address &address, const std::string &target,
                                      Model::Milliseconds timeout = Model::Milliseconds(2000));

} // namespace Harness
