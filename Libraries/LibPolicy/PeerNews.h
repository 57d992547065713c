#pragma once

#include "Liveness.h"

#include <functional>

namespace Policy {

/// Peers of the own region that an instance asks in a round; news reaches a region of n instances
/// in about log(n) / log(4) rounds.
constexpr std::size_t nearPeersInRound = 2;

/// How often one of them lies in another failure domain; the others lie in the own one, where bytes
/// cost nothing. Each domain hears of the others from all its instances together.
constexpr double crossingChance = 0.5;

/// Peers of other regions that all instances of a region together ask in a round, at the least; and
/// the part of the instances of a larger region that ask one. With fewer, a region of a hundred has
/// news of the others that is three seconds old on average, and takes living ones for dead.
///
/// What goes wrong with peers drawn from the whole fleet: most exchanges cross between regions, and
/// what instances tell each other outweighs the answers to callers there.
constexpr double farPeersOfRegionInRound = 2;
constexpr double farPartOfRegion = 0.12;

/// Instances that other regions know of a region, its contacts; which ones is the same for
/// everybody. Of many regions fewer each are known, so that an instance keeps no more than so many.
constexpr std::size_t contactsOfRegion = 16;
constexpr std::size_t fewestContactsOfRegion = 3;
constexpr std::size_t mostContacts = 42;

/// Members of the own region named in one message. Where fewer are named than a region has, some
/// of its instances stay unknown to others for long.
constexpr std::size_t mostNearTold = 128;
/// Members whose whole record goes into one answer.
constexpr std::size_t mostWholeTold = 32;
/// Contacts of other regions whose whole record goes into one answer inside a region.
constexpr std::size_t farWholeTold = 4;

/// One round in so many also asks an instance that is taken to be gone, unless others of its region
/// are known to run: of other regions only some are known.
constexpr std::uint64_t roundsBetweenLost = 4;

/// What one instance tells another: whole records of whom the other does not know, pulses of the
/// rest.
struct PeerNews
{
    std::vector<Member> whole_;
    std::vector<MemberPulse> pulses_;
};

/// Drops instances of other regions that rank behind the contacts of their region.
///
/// What goes wrong without it: whoever asks from afar once is kept, though nobody tells of it
/// again; a few seconds later it is taken for lost, and back when it happens to ask again. The log
/// fills with living instances that come and go. Thread safety: \a members belongs to the calling
/// thread.
void forgetStrangers(Members &members, Model::SteadyTime now);

/// Returns the instances that \a own asks in a round, by \a random. Empty if none is known.
/// Thread safety: any thread.
std::vector<Model::Instance> peersOfRound(const Members &members, const Model::Instance &own,
                                          Model::SteadyTime now, std::uint64_t random);

/// Peers that an instance tells at once when it has taken in news of the store.
constexpr std::size_t peersToldAtOnce = 3;

/// Returns whom \a own tells at once of news: live ones of its region that do not read the store.
/// Whoever reads it tells one of each other failure domain and the rest of the own one; whoever was
/// told passes it on inside its domain, and beyond only if there are too few.
///
/// What goes wrong with peers drawn from the whole region: each fetches the news from who told it,
/// so most fetches cross between failure domains, with the rows of every target for every instance.
/// Thread safety: any thread.
std::vector<Model::Instance> peersToTellAtOnce(const Members &members, const Model::Instance &own,
                                               Model::SteadyTime now, std::uint64_t random);

/// Returns one of the live peers for which \a knowsMore holds, of the own failure domain if there
/// is any there, else of the own region, else of another one; nullptr if there is none.
/// Thread safety: any thread.
const Member *nearestThat(const Members &members, const Model::Instance &own,
                          const std::function<bool(const Member &)> &knowsMore,
                          Model::SteadyTime now, std::uint64_t random);

/// Returns what \a own says that it knows when it asks a peer in \a peerRegion: the peer answers
/// with what is newer. The asker itself is left out. Thread safety: any thread.
std::vector<MemberPulse> pulsesToAskWith(const Members &members, const Model::Instance &own,
                                         const Model::RegionId &peerRegion, Model::SteadyTime now,
                                         std::uint64_t random);

/// Returns what \a own knows better than \a asker, which said that it knows \a known.
/// Thread safety: any thread.
PeerNews newsFor(const Members &members, const Model::Instance &own, const Model::Instance &asker,
                 const std::vector<MemberPulse> &known, Model::SteadyTime now,
                 std::uint64_t random);

} // namespace Policy
