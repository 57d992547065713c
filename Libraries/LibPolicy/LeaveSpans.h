#pragma once

#include "RegistrationLapse.h"

#include <string_view>
#include <vector>

namespace Policy {

/// The spans of time on the way of a target's leave, from the store's acknowledgement to the last
/// byte that an instance sends there. Whoever waits on that way takes its limit from here, so that
/// what adds up is what the sums below add up.

/// After news, further news of the targets are gathered for this long: a release brings a change
/// every few hundred milliseconds, and each call is paid for.
constexpr Model::Milliseconds gatherTargets{500};
/// The same for an instance that reads the store in reserve: it tells its region where the first
/// reader is gone or its call hangs.
constexpr Model::Milliseconds gatherInReserve{1500};
/// The store's answer to a call that has something to tell, between the regions farthest apart.
constexpr Model::Milliseconds storeAnswer{200};
/// A new connection to it, and that answer.
constexpr Model::Milliseconds storeAnswerOnNewConnection{300};
/// An instance asks peers what they know once in this time.
constexpr Model::Milliseconds peerRound{400};
/// Rounds after which an instance of a small fleet has asked a living peer of its region, though
/// the peers of one round may all have stopped.
constexpr int roundsInSmallFleet = 2;
/// Announcements that bring news from a reader to the last instance of its region, one after
/// another, and the time that one of them and the fetch of the rows take.
constexpr int announcementHops = 4;
constexpr Model::Milliseconds announcementHop{100};
/// An instance that reads the store, and hears of newer rows while its own call waits, takes the
/// call for dead after this.
constexpr Model::Milliseconds readerPatience{200};
/// A peer that does not tell its rows within this is no longer the only one that is asked.
constexpr Model::Milliseconds fetchPatience{300};
/// What a peer of the same region takes to tell its rows.
constexpr Model::Milliseconds fetchAnswer{200};
/// How often an instance looks for targets that may not be used any longer, and for requests that
/// are still being sent to them.
constexpr Model::Milliseconds tickPeriod{100};
/// The longest that a request may still be sent to a target whose leave is known.
constexpr Model::Milliseconds sendPatience{200};

/// A span of the way, by its name. Each way below is returned from its first span to its last.
/// Thread safety: any thread.
struct LeaveSpan
{
    std::string_view name_;
    Model::Milliseconds longest_{0};
};

/// In a fleet in which each instance reads the store, and the call of this one waits as it should.
std::vector<LeaveSpan> wayByOwnCall();

/// In such a fleet, where the own call hangs: a peer tells that there is news, and the store is
/// asked anew.
std::vector<LeaveSpan> wayByNewCall();

/// Where several targets leave without a word: they are used for a grace, which begins when any
/// instance first reads that they are gone; late news does not prolong it.
std::vector<LeaveSpan> wayOfUnannouncedLeaves();

/// In a larger fleet, at an instance that leaves the store to others, where the first reader of its
/// region is gone and so is the peer that it asks first.
std::vector<LeaveSpan> wayByPeers();

/// The three daemons: an entry learns of a leave from the target itself, whatever the store says.
constexpr Model::Milliseconds probePause{500};
constexpr Model::Milliseconds probeTimeout{400};
/// Probes in a row that may be lost while the target still answers.
constexpr int probesLost = 2;

/// From the target's own word that it leaves to the last byte that an entry sends there.
std::vector<LeaveSpan> wayByProbes();

/// Returns the longest that all of \a way can take. Thread safety: any thread.
Model::Milliseconds sumOf(const std::vector<LeaveSpan> &way);

/// Within these a leave must be in force: in a small fleet and at the daemons, and in a larger one.
constexpr Model::Milliseconds leaveBound{2500};
constexpr Model::Milliseconds leaveBoundInLargeFleet{3000};

} // namespace Policy
