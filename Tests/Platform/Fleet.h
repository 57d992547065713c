#pragma once

#include "StandIns.h"

#include <Harness/Process.h>

#include <memory>
#include <string>
#include <vector>

namespace PlatformStandIns {

/// One instance of a fleet: a real process with a loopback number of its own.
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

/// Real instanced processes beside the store's and the targets' stand-ins, two failure domains in
/// each of two regions, on loopback numbers of the fleet's own.
class Fleet
{
public:
    Fleet();

    /// Writes a configuration of one host with two routes: /read/ (may be repeated) and /order/
    /// (may not), both to service s. The route named \a extra is there too if it is not empty.
    void configure(int version, const std::string &extra = "");
    /// Starts \a count instances, in the domains by turns, and waits until all are ready.
    void start(std::size_t count);
    /// Starts one more instance, which reaches the store at \a store if that is given; \a
    /// moreSettings are further sections of its settings.
    FleetInstance &startOne(const std::optional<Model::Address> &store = std::nullopt,
                            const std::string &moreSettings = "");
    /// Configures the routes, adds targets of the given ids in r-a and starts instances; returns
    /// whether all of them serve.
    bool serve(std::size_t instances, const std::vector<std::string> &targets);
    /// Adds a target of the service and registers it.
    Target &addTarget(const std::string &id, const std::string &zone);
    void registerTarget(const Target &target, const std::string &zone,
                        const std::string &state = "ready", int coldMs = 0);

    /// Sends a request through an instance, under an id of its own.
    std::optional<Http::Response> send(const FleetInstance &instance, const std::string &route,
                                       const std::string &id, int patienceMs = 2000,
                                       const std::string &object = "7");
    /// The same for a path of its own, with a body.
    std::optional<Http::Response> sendTo(const FleetInstance &instance, const std::string &path,
                                         const std::string &id, const std::string &body = "",
                                         const std::string &object = "7");
    /// Returns the addresses that an instance names to callers of a region.
    std::vector<std::string> lookUp(const FleetInstance &instance, const std::string &region);
    bool isReady(const FleetInstance &instance);
    /// Waits until every instance serves a request to a target.
    bool waitUntilServing();

    /// The loopback number of one of the fleet's instances, counted from 2, or of anything else of
    /// its net.
    std::string host(int number) const;
    const std::string &directory() const { return directory_; }

    Store store_;
    std::vector<std::unique_ptr<Target>> targets_;
    std::vector<std::unique_ptr<FleetInstance>> instances_;

private:
    std::string net_;
    std::string directory_;
    int lastHost_ = 1;
};

} // namespace PlatformStandIns
