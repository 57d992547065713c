#pragma once

#include <LibSteering/LibSteering.h>

#include <map>
#include <string>
#include <vector>

namespace Fakes {

/// A platform without a network: rows are plain text, and whoever tests feeds them in.
///
/// An operators' row holds the table's text form, "version NUMBER" on its first line; a row whose
/// key begins with "drain " drains a failure domain. A target's row holds
/// "service domain address slots state cold_ms" and, where it matters, " incarnation reports".
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

/// Everything that an instance knows and decides with, without its network.
struct Brain
{
    explicit Brain(const std::string &domain);

    void tellOperators(int version, std::uint64_t revision,
                       const std::vector<std::string> &drained = {});
    void tellTargets(std::uint64_t revision, std::vector<Platform::StoredRow> list);
    void update();

    /// From now on the store does not answer this instance.
    void loseStore() { evidence_.own_.contact_ = Policy::StoreContact::Refused; }
    /// From now on it does; the last call failed just before.
    void regainStore();
    /// Drops targets that are not expected back any more.
    bool dropMissing() { return book_.dropMissing(now_, evidence_); }

    Observe::Settings settings_;
    Steering::PlatformPort port_;
    Observe::DecisionLog log_;
    Steering::Knowledge knowledge_;
    Steering::TargetBook book_;
    Steering::Placer placer_;
    Model::SteadyTime now_{std::chrono::seconds(1000)};
    Policy::StoreEvidence evidence_{{.contact_ = Policy::StoreContact::Reached}, {}};
};

/// A request for \a object on a route ("read" or "order") that came in just now.
Steering::Job job(const Brain &brain, const std::string &route, std::uint64_t object);

} // namespace Fakes
