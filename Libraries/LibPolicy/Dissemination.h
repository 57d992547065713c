#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Policy {

/// Returns the interval at which one instance polls the store so that all \a members together make
/// at most \a fleetReadsPerSecond reads. Thread safety: any thread.
Model::Milliseconds pollPeriod(std::size_t members, double fleetReadsPerSecond);

/// Returns up to \a count distinct positions below \a members, drawn by \a draws.
///
/// Precondition: \a draws holds at least \a count numbers. Thread safety: any thread.
std::vector<std::size_t> choosePeers(std::size_t members, std::size_t count,
                                     const std::vector<std::uint64_t> &draws);

/// Returns whether a table of version \a offered may replace one of version \a held.
///
/// Versions only grow, whatever the source. Without this check, a lagging peer or store replica
/// offers an old table and an accepted edit reverts unnoticed until traffic moves back.
/// Thread safety: any thread.
bool mayApply(Model::TableVersion held, Model::TableVersion offered);

/// Targets known to be leaving, each with the incarnation that announced it.
///
/// The leaving marker of an incarnation is permanent; a later incarnation starts without one.
struct LeavingMarks
{
    std::map<Model::TargetId, Model::Incarnation> marks_;
};

/// Adds a leaving marker. Returns whether it is new. Thread safety: \a marks is not shared
/// meanwhile.
bool markLeaving(LeavingMarks &marks, const Model::TargetId &target,
                 Model::Incarnation incarnation);

/// Returns whether \a target has a leaving marker for \a incarnation or a later one. Thread safety:
/// any thread.
bool isLeaving(const LeavingMarks &marks, const Model::TargetId &target,
               Model::Incarnation incarnation);

/// What a starting instance has received.
struct StartupState
{
    bool storeAnswered_ = false;
    /// A peer answered, ready or not, or none did within startAloneDelay.
    bool peersAnswered_ = false;
    Model::TableVersion storeVersion_;
    Model::TableVersion heldVersion_;
    /// Failure domains other than the local one whose peers answered, each with its highest
    /// version.
    std::map<Model::FailureDomainId, Model::TableVersion> peerVersions_;
};

/// Peers of this many failure domains must report no newer version.
constexpr std::size_t domainsNeededToStart = 2;

/// Where the store answers but no peer does, an instance starts alone after this delay.
constexpr Model::Milliseconds startAloneDelay{2000};

/// Returns whether a fresh instance may serve: it has an answer from the store and from its peers,
/// or from peers in more than one failure domain, and holds the highest version that any of them
/// named.
///
/// Without this check, an instance that starts while the store is down serves an old table from one
/// lagging peer, so an accepted edit reverts there; or a lagging replica of the store answers
/// first, and the instance serves its table until the peers answer. Thread safety: any thread.
bool mayServe(const StartupState &knowledge);

} // namespace Policy
