#pragma once

#include "Liveness.h"

#include <functional>

namespace Policy {

/// Peers of the local region that an instance contacts in a round; an update reaches a region of n
/// instances in about log(n) / log(4) rounds.
constexpr std::size_t localPeersInRound = 2;

/// The probability that one of them lies in another failure domain; the others lie in the local
/// one, where traffic is free. All instances of a domain together receive the others' updates.
constexpr double crossDomainProbability = 0.5;

/// The minimum number of remote peers that all instances of a region together contact in a round,
/// and the fraction of a larger region's instances that contact one. With fewer, a region of a
/// hundred has updates on the others that are three seconds old on average, and considers live
/// instances failed.
///
/// With peers drawn from the whole fleet, most exchanges cross between regions, and gossip
/// outweighs the answers to callers there.
constexpr double remotePeersOfRegionInRound = 2;
constexpr double remotePeerFraction = 0.12;

/// The instances of a region that other regions know, its contacts, are the same for all observers.
/// With many regions, each has fewer contacts, so that an instance keeps at most maxRemoteContacts.
constexpr std::size_t contactsOfRegion = 16;
constexpr std::size_t minContactsOfRegion = 3;
constexpr std::size_t maxRemoteContacts = 42;

/// The maximum number of local members named in one message. With fewer than a region has, some of
/// its instances stay unknown to others for a long time.
constexpr std::size_t maxLocalRecords = 128;
/// The maximum number of full member records in one answer.
constexpr std::size_t maxFullRecords = 32;
/// The maximum number of full records of remote contacts in one answer inside a region.
constexpr std::size_t maxRemoteFullRecords = 4;

/// One round out of this many also contacts an instance that is considered failed, unless other
/// instances of its region are known to be alive: of other regions only some are known.
constexpr std::uint64_t roundsBetweenFailedPeers = 4;

/// One round out of this many also contacts a seed at an address of no known member.
///
/// Without it, instances that find enough peers before their seeds run never contact those again,
/// and a fleet that starts together beside load stays in two parts. At one round in four, an
/// instance that has a stale seed makes one vain call in 1.6 s, beside eight others.
constexpr std::uint64_t roundsBetweenUnknownSeeds = 4;

/// An update from one instance to another: full records of the members that the receiver does not
/// know, heartbeat records of the rest.
struct PeerUpdate
{
    std::vector<Member> fullRecords_;
    std::vector<MemberHeartbeat> heartbeatRecords_;
};

/// Removes instances of other regions that rank behind the contacts of their region.
///
/// Without this, a remote instance that makes one request is kept although no peer sends updates on
/// it; it is considered failed a few seconds later, and alive again with its next request. The log
/// fills with live instances that appear and disappear. Thread safety: \a members belongs to the
/// calling thread.
void forgetNonContacts(Members &members, Model::SteadyTime now);

/// Returns the peers that \a own contacts in a round, drawn by \a random. Empty if none is known.
/// Thread safety: any thread.
std::vector<Model::Instance> peersOfRound(const Members &members, const Model::Instance &own,
                                          Model::SteadyTime now, std::uint64_t random);

/// Returns whether \a address is the control address of a member, live or not. Thread safety: any
/// thread.
bool hasMemberAt(const Members &members, const Model::Address &address);

/// The number of peers to which an instance announces a change of the store immediately.
constexpr std::size_t announcementFanout = 3;

/// Returns the peers to which \a own announces a change immediately: live ones of its region that
/// do not read the store. A reader chooses one peer in each other failure domain and the rest in
/// its own; an instance that received an announcement forwards it inside its domain, and beyond
/// only if that has too few peers.
///
/// With peers drawn from the whole region, each fetches the change from the announcer, so most
/// fetches cross between failure domains, with the rows of every target for every instance.
/// Thread safety: any thread.
std::vector<Model::Instance> peersToAnnounceTo(const Members &members, const Model::Instance &own,
                                               Model::SteadyTime now, std::uint64_t random);

/// Returns a live peer for which \a knowsMore holds, of the local failure domain if there is one,
/// else of the local region, else of another one; nullptr if there is none.
/// Thread safety: any thread.
const Member *nearestPeerWith(const Members &members, const Model::Instance &own,
                              const std::function<bool(const Member &)> &knowsMore,
                              Model::SteadyTime now, std::uint64_t random);

/// Returns the heartbeat records that \a own sends with a request to a peer in \a peerRegion; the
/// peer answers with newer ones. \a own itself is left out. Thread safety: any thread.
std::vector<MemberHeartbeat> heartbeatRecordsForRequest(const Members &members,
                                                        const Model::Instance &own,
                                                        const Model::RegionId &peerRegion,
                                                        Model::SteadyTime now,
                                                        std::uint64_t random);

/// Returns the records of \a own that are newer than those that \a asker has sent as \a known.
/// Thread safety: any thread.
PeerUpdate peerUpdateFor(const Members &members, const Model::Instance &own,
                         const Model::Instance &asker, const std::vector<MemberHeartbeat> &known,
                         Model::SteadyTime now, std::uint64_t random);

} // namespace Policy
