#pragma once

#include "StandIns.h"

#include <Harness/Process.h>

#include <memory>
#include <string>
#include <vector>

namespace PlatformStandIns {

/// One instance of a fleet: a real process on a loopback address of its own.
struct FleetInstance
{
    std::string host_;
    std::string name_;
    std::string domain_;
    std::unique_ptr<Harness::Process> process_;

    Model::Address entry() const { return {host_, 8144}; }
    Model::Address lookup() const { return {host_, 8143}; }
    Model::Address ready() const { return {host_, 8140}; }
    Model::Address admin() const { return {host_, 8147}; }
};

/// Real instanced processes with stand-ins for the store and the targets, two failure domains in
/// each of two regions, on loopback addresses that belong to this fleet alone.
class Fleet
{
public:
    Fleet();

    /// Writes a configuration of one host with two routes to service s: /read/, which is safe to
    /// repeat, and /order/, which is not. Adds a safe route named \a extra if it is not empty.
    void configure(int version, const std::string &extra = "");
    /// Sets the workspaces of the next configuration, as the platform writes them.
    void setWorkspaces(const std::string &text) { workspaces_ = text; }
    /// Sets the home regions of the extra route of the next configuration.
    void setHomeRegions(std::vector<std::string> regions) { homeRegions_ = std::move(regions); }
    /// Sets the timeout of the routes of the next configuration.
    void setRouteTimeout(Model::Milliseconds timeout) { routeTimeout_ = timeout; }
    /// Sets the largest body that callers may send under the next configuration.
    void setBodyLimit(std::size_t bytes) { bodyLimit_ = bytes; }
    /// Sets the platform's terms in the settings of instances that are started later.
    void setTerms(std::string terms) { terms_ = std::move(terms); }
    /// Sets the number of further routes of the next configuration.
    void setManyRoutes(int count) { manyRoutes_ = count; }
    /// Starts \a count instances, round robin over the domains, and waits until all are ready.
    void start(std::size_t count);
    /// Starts one more instance, which calls \a store instead of the fleet's store if it is given.
    /// Appends \a moreSettings to the settings file.
    FleetInstance &startOne(const std::optional<Model::Address> &store = std::nullopt,
                            const std::string &moreSettings = "");
    /// Configures the routes, adds targets with the given ids in r-a and starts instances. Returns
    /// whether all instances serve.
    bool serve(std::size_t instances, const std::vector<std::string> &targets);
    /// Adds a target of the service and registers it.
    Target &addTarget(const std::string &id, const std::string &zone);
    void registerTarget(const Target &target, const std::string &zone,
                        const std::string &state = "ready", int coldMs = 0);

    /// Sends a request with the given request id through an instance.
    std::optional<Http::Response> send(const FleetInstance &instance, const std::string &route,
                                       const std::string &id, int timeoutMs = 2000,
                                       const std::string &object = "7");
    /// The same for a caller that presents a key.
    std::optional<Http::Response> sendWithKey(const FleetInstance &instance,
                                              const std::string &route, const std::string &id,
                                              const std::string &key);
    /// Sends a request to a complete path, with a body.
    std::optional<Http::Response> sendTo(const FleetInstance &instance, const std::string &path,
                                         const std::string &id, const std::string &body = "",
                                         const std::string &object = "7");
    /// Returns the addresses in an instance's look-up answer to callers of a region.
    std::vector<std::string> lookUp(const FleetInstance &instance, const std::string &region);
    bool isReady(const FleetInstance &instance);
    /// Returns the value of one of the instance's metrics. Throws if it has no such metric.
    double metric(const FleetInstance &instance, const std::string &name);
    /// Waits until every instance serves a request to a target.
    bool waitUntilServing();

    /// Returns a loopback address in the fleet's network. Instances are numbered from 2.
    std::string host(int number) const;
    const std::string &directory() const { return directory_; }

    Store store_;
    std::vector<std::unique_ptr<Target>> targets_;
    std::vector<std::unique_ptr<FleetInstance>> instances_;

private:
    std::string workspaces_;
    std::string terms_ = "graceS=6,budgetRatio=0.2,budgetExtra=64,maxShift=0.15";
    std::vector<std::string> homeRegions_;
    Model::Milliseconds routeTimeout_{1500};
    std::size_t bodyLimit_ = 1024 * 1024;
    int manyRoutes_ = 0;
    std::string net_;
    std::string directory_;
    int lastHost_ = 1;
};

} // namespace PlatformStandIns
