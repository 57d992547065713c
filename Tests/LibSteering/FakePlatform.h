#pragma once

#include <LibSteering/LibSteering.h>

#include <map>
#include <string>
#include <vector>

namespace Fakes {

/// A platform without a network: rows are plain text, supplied by the test.
///
/// An operators' row holds the table's text form, with "version NUMBER" on its first line; a row
/// whose key begins with "drain " drains a failure domain. A target's row holds
/// "service domain address slots state cold_ms" and, optionally, " incarnation reports".
Steering::PlatformPort port();

/// Settings of an instance in \a domain of a site of three regions r, s, t with two domains each.
Observe::Settings settings(const std::string &domain);

/// The text of an operators' row: services "gauging" and "transfers", and a route to each.
std::string operatorsText(int version);

Platform::StoredRow row(const std::string &key, const std::string &value, std::uint64_t revision);
Platform::StoredRows rows(std::uint64_t revision, std::vector<Platform::StoredRow> list);

/// The address of a target; each id has its own.
std::string addressOf(const std::string &id);

/// A target of \a service, "ready" and warm.
Platform::StoredRow target(const std::string &id, const std::string &service,
                           const std::string &domain, std::uint64_t revision,
                           const std::string &state = "ready", int coldMs = 0, int slots = 4);

/// The state and the decision logic of an instance, without its network.
struct InstanceFixture
{
    explicit InstanceFixture(const std::string &domain);

    void setOperatorRows(int version, std::uint64_t revision,
                         const std::vector<std::string> &drained = {});
    /// Replaces the operators' row by \a text, in the form of operatorsText().
    void setTable(const std::string &text, std::uint64_t revision);
    void setTargetRows(std::uint64_t revision, std::vector<Platform::StoredRow> list);
    void update();

    /// Makes the store refuse this instance.
    void disconnectStore() { evidence_.own_.contact_ = Policy::StoreContact::Refused; }
    /// Makes the store answer again; the previous call failed immediately before.
    void reconnectStore();
    /// Drops targets whose registration is no longer expected to return.
    bool dropMissing() { return targetRegistry_.dropMissing(now_, evidence_); }

    Observe::Settings settings_;
    Steering::PlatformPort port_;
    Observe::DecisionLog log_;
    Steering::PlatformState platformState_;
    Steering::TargetRegistry targetRegistry_;
    Steering::PlacementEngine placementEngine_;
    Steering::ReachMonitor reach_;
    Model::SteadyTime now_{std::chrono::seconds(1000)};
    Policy::StoreEvidence evidence_{{.contact_ = Policy::StoreContact::Reached}, {}};
};

/// Returns a request for \a object on a route ("read" or "order") that has just arrived.
Steering::RequestContext requestContext(const InstanceFixture &instance, const std::string &route,
                                        std::uint64_t object);

} // namespace Fakes
