#pragma once

#include "RegistrationExpiry.h"

#include <string_view>
#include <vector>

namespace Policy {

/// The time limits between the store's acknowledgement of a target's leave and the arrival of the
/// last byte that an instance sends to the target. Code that waits in between takes its limit from
/// here, so that the sums below are the actual bounds.

/// After a change to the targets, further changes are batched for this duration: a release causes
/// a change every few hundred milliseconds, and each call is billed.
constexpr Model::Milliseconds targetBatchDelay{400};
/// The same for a standby reader of the store, which updates its region when the active reader has
/// failed or its call hangs.
constexpr Model::Milliseconds standbyBatchDelay{1200};
/// The store's answer to a call for which it has changes, between the regions farthest apart.
constexpr Model::Milliseconds storeAnswer{200};
/// Connection setup and that answer.
constexpr Model::Milliseconds storeAnswerOnNewConnection{300};
/// The interval between an instance's gossip rounds.
constexpr Model::Milliseconds gossipRoundInterval{400};
/// Rounds after which an instance of a small fleet has reached a live peer of its region, even if
/// the peers of one round have all stopped.
constexpr int gossipRoundsInSmallFleet = 2;
/// The number of successive announcements that carry a change from a reader to the last instance of
/// its region, and the time that one of them and the fetch of the rows take.
constexpr int announcementHops = 4;
constexpr Model::Milliseconds announcementHop{100};
/// A store reader that learns of newer rows while its own call waits considers the call failed
/// after this time.
constexpr Model::Milliseconds readerCallTimeout{100};
/// When a peer has not sent its rows within this time, another peer is asked too.
constexpr Model::Milliseconds rowFetchTimeout{300};
/// The time that a peer of the same region takes to send its rows.
constexpr Model::Milliseconds fetchAnswer{200};
/// The interval at which an instance checks for targets that may no longer be used, and for
/// requests that are still being sent to them.
constexpr Model::Milliseconds tickPeriod{100};
/// The longest time that a request may still be sent to a target whose leave is known.
constexpr Model::Milliseconds sendToLeavingTimeout{100};
/// The way of a request to a target in the region farthest away.
constexpr Model::Milliseconds wayToTarget{100};
/// The time that a process may wait for the next period if its processor share is a quota.
constexpr Model::Milliseconds processorWait{100};

/// A named step of a path. Each path below is returned from its first step to its last.
/// Thread safety: any thread.
struct LeaveSpan
{
    std::string_view name_;
    Model::Milliseconds limit_{0};
};

/// In a fleet in which each instance reads the store, and the local call waits as intended.
std::vector<LeaveSpan> leavePathByLocalCall();

/// In such a fleet, where the local call hangs: a peer announces a change, and the store is called
/// again.
std::vector<LeaveSpan> leavePathByNewCall();

/// Where several targets leave unannounced: they are used for a grace period, which begins when any
/// instance first reads their removal; a late update does not prolong it.
std::vector<LeaveSpan> leavePathWithoutAnnouncement();

/// In a larger fleet, at an instance that does not read the store, where the active reader of its
/// region has failed and so has the peer that it asks first.
std::vector<LeaveSpan> leavePathByPeers();

/// Where the target announces its leave in an answer that the instance passes on: nothing else is
/// needed, neither the store nor a peer.
std::vector<LeaveSpan> leavePathByAnswer();

/// The three daemons: an entry learns of a leave from the target itself, regardless of the store.
constexpr Model::Milliseconds targetProbeInterval{500};
constexpr Model::Milliseconds probeTimeout{400};
/// Consecutive probes that may be lost while the target still answers.
constexpr int maxLostProbes = 2;

/// From the target's announcement that it leaves to the last byte that an entry sends there.
std::vector<LeaveSpan> leavePathByProbes();

/// Returns the sum of the limits of \a path. Thread safety: any thread.
Model::Milliseconds totalLimit(const std::vector<LeaveSpan> &path);

/// A leave must be in force within these times: in a small fleet and at the daemons; in a larger
/// fleet.
constexpr Model::Milliseconds leaveBound{2500};
constexpr Model::Milliseconds leaveBoundInLargeFleet{3000};

} // namespace Policy
