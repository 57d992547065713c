#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <vector>

namespace Policy {

/// Returns how often one instance polls the store so that all \a members together make at most
/// \a fleetReadsPerSecond reads, however many they are. Thread safety: any thread.
Model::Milliseconds pollPeriod(std::size_t members, double fleetReadsPerSecond);

/// Returns up to \a count distinct positions below \a members, drawn by \a draws.
///
/// Precondition: \a draws holds at least \a count numbers. Thread safety: any thread.
std::vector<std::size_t> choosePeers(std::size_t members, std::size_t count,
                                     const std::vector<std::uint64_t> &draws);

/// Tells whether a table of version \a offered may replace one of version \a held.
///
/// What goes wrong without it: a peer or a store replica that lags offers an old table, an accepted
/// edit reverts, and nobody notices until traffic moves back. Versions only grow, whoever offers.
/// Thread safety: any thread.
bool mayApply(Model::TableVersion held, Model::TableVersion offered);

/// Targets known to be leaving, each by the incarnation that said so.
///
/// The mark of one incarnation is never taken back; a later incarnation starts without a mark.
struct LeavingMarks
{
    std::map<Model::TargetId, Model::Incarnation> marks_;
};

/// Adds a mark. Returns whether it was news. Thread safety: \a marks is not shared meanwhile.
bool markLeaving(LeavingMarks &marks, const Model::TargetId &target,
                 Model::Incarnation incarnation);

/// Tells whether \a target, seen as \a incarnation, is marked. Thread safety: any thread.
bool isLeaving(const LeavingMarks &marks, const Model::TargetId &target,
               Model::Incarnation incarnation);

/// What a starting instance has heard.
struct StartKnowledge
{
    bool storeAnswered_ = false;
    /// Any peer answered, ready or not, or none did for startPatience.
    bool peersHadTheirSay_ = false;
    Model::TableVersion storeVersion_;
    Model::TableVersion heldVersion_;
    /// Failure domains other than one's own whose peers answered, each with the highest version.
    std::map<Model::FailureDomainId, Model::TableVersion> peerVersions_;
};

/// Peers of this many failure domains must agree that nothing newer is known.
constexpr std::size_t domainsNeededToStart = 2;

/// Where the store answers but no peer does, an instance starts by itself after this long.
constexpr Model::Milliseconds startPatience{2000};

/// Tells whether a fresh instance may serve.
///
/// What goes wrong without it: an instance that starts while the store is down takes an old table
/// from one lagging peer and serves it, so an accepted edit reverts there; or a replica of the
/// store that lags answers first, and the instance serves its table until the peers are heard. It
/// waits for the store and a word of its peers, or for peers in more than one failure domain, and
/// holds the highest version that any of them named. Thread safety: any thread.
bool mayServe(const StartKnowledge &knowledge);

} // namespace Policy
