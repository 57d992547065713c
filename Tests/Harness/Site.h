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

/// Settings of a site.
struct SiteOptions
{
    /// "koper" or "nakhla".
    std::string example_ = "koper";
    /// Mean service time by service; default 10 ms.
    std::map<std::string, double> meanMs_;
    bool hasExponentialTimes_ = true;
    double coldFactor_ = 1;
    /// Targets crash while they run a request whose path contains this.
    std::string crashPath_;
    /// Number of instances to start, at most 12; the first instance of each failure domain first.
    std::size_t instances_ = 12;
    int lookupTtlMs_ = 1000;
    /// The memory that each process may use, as its settings state it; zero states nothing.
    int memoryMegabytes_ = 0;
    /// Routes connections between regions and failure domains through the fault-injecting proxy.
    bool hasProxy_ = false;
    /// The instances whose ways to all targets form the proxy's group "partition".
    std::set<std::string> partitionedInstances_;
    /// Further rows for each target of a failure domain, whose addresses lead to the same stand-in.
    /// Needs the proxy.
    std::map<std::string, std::size_t> aliasesPerTarget_;
    double delayBetweenDomainsMs_ = 0;
    double delayBetweenRegionsMs_ = 0;
    /// Cells that override the example: "service gauging" -> "shift_cap" -> "10".
    std::map<std::string, std::map<std::string, std::string>> cells_;
    /// Directory of the binaries; if empty, that of this program.
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

/// A small site of real processes on a reserved loopback net: the platform stand-in, all targets of
/// an example, the fault-injecting proxy and the instances.
class Site
{
public:
    explicit Site(SiteOptions options);
    ~Site();
    Site(const Site &) = delete;
    Site &operator=(const Site &) = delete;

    /// Starts all processes and waits until all instances serve. Throws on failure.
    void start();
    void startInstance(SiteInstance &instance);
    /// Creates the instance's processes without starting them.
    void prepareInstance(SiteInstance &instance);
    /// Waits until the instance's entry is ready and its look-up returns a local entry.
    bool waitUntilServing(SiteInstance &instance, Model::Milliseconds maxWait);
    /// Performs a planned stop of an instance; returns whether each process exited with 0.
    bool stopInstance(SiteInstance &instance, Model::Milliseconds maxWait);
    /// Performs a planned stop of all instances at the same time.
    bool stopAllInstances(Model::Milliseconds maxWait);
    /// Performs a planned restart of all instances, in two groups with one instance of each failure
    /// domain. Returns whether each process exited with 0 and each new instance serves within \a
    /// maxWait.
    bool replaceAllInstances(Model::Milliseconds maxWait);
    /// Publishes the list of instances on the platform; \a leaving holds the ids of leaving ones.
    void writeInstanceList(const std::set<std::string> &leaving = {});

    std::vector<SiteInstance> &instances() { return instances_; }
    std::vector<SiteTarget> &targets() { return targets_; }
    SiteInstance &instance(const std::string &id);
    SiteTarget &target(const std::string &id);
    Model::Address platform() const;
    const Model::Table &table() const { return *table_; }

    /// Runs tablectl and returns its exit code; stores its output in \a output if not null.
    int tablectl(std::vector<std::string> arguments, std::string *output = nullptr);
    /// Sets fault switches of the platform stand-in, of a target or of a proxy group.
    void switchPlatform(const nlohmann::json &wanted);
    void switchTarget(const std::string &id, const nlohmann::json &wanted);
    void switchProxy(const std::string &group, const std::string &mode);
    /// Returns the counters of a target stand-in.
    nlohmann::json targetCounts(const std::string &id);
    /// Returns the requests and probes that a target stand-in turned away while it paused.
    nlohmann::json targetRefusals(const std::string &id);
    nlohmann::json platformCounts();

    /// Writes \a profile to a file and creates a load tool process for it, without starting it.
    std::unique_ptr<Process> loadtool(const std::string &name, const std::string &profile,
                                      int seconds, int seed = 1,
                                      std::vector<std::string> extraArguments = {});
    std::string samplesPath(const std::string &name) const;
    /// Returns the loopback source address of the region's callers.
    std::string callerSource(const std::string &region) const;
    std::string directory() const { return directory_; }
    std::string binary(const std::string &name) const;
    /// Comma-separated addresses for the load tool's flags.
    std::string lookupList() const;
    std::string targetList() const;

private:
    void reserveNet();
    std::string exampleText();
    std::vector<Model::Row> aliasesOf(const Model::Row &target);
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
    void addForwardingRule(SiteInstance &from, const Model::Address &to, double delayMs,
                           const std::string &group);

    SiteOptions options_;
    int net_ = 0;
    int netLock_ = -1;
    std::string directory_;
    std::unique_ptr<Process> platform_;
    std::unique_ptr<Process> proxy_;
    std::vector<SiteTarget> targets_;
    /// The address of a stand-in by that of an alias.
    std::map<Model::Address, Model::Address> aliases_;
    std::vector<SiteInstance> instances_;
    std::optional<Model::Table> table_;
    std::string forwardingRules_;
    /// Lines of the [dial] section by instance.
    std::map<std::string, std::string> dial_;
    int lastRule_ = 0;
};

/// Returns the JSON body of a GET request, or std::nullopt on failure.
std::optional<nlohmann::json> getJson(const Model::Address &address, const std::string &target,
                                      Model::Milliseconds timeout = Model::Milliseconds(2000));

} // namespace Harness
