#pragma once

#include <LibModel/LibModel.h>
#include <LibPolicy/LibPolicy.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace Peers {

/// What one entry, or all entries of a region together, see of a service in a failure domain.
struct DomainLoad
{
    Model::ServiceId service_;
    Model::FailureDomainId domain_;
    /// Slots of the targets that take work.
    Model::Slots slots_;
    Model::Slots inFlight_;
    std::int64_t waiting_ = 0;

    bool operator==(const DomainLoad &) const = default;
};

/// Shares of an entry that stand elsewhere than planned because failure domains went out or came
/// back; an entry that starts afresh takes them over and so does not jump.
struct WalkedShares
{
    Model::ServiceId service_;
    Model::RegionId origin_;
    std::vector<Model::DomainShare> shares_;

    bool operator==(const WalkedShares &) const = default;
};

/// What an instance says of itself. The pair of incarnation and heartbeat orders the records.
struct InstanceRecord
{
    Model::Instance instance_;
    Model::Incarnation incarnation_;
    std::uint64_t heartbeat_ = 0;
    bool isReady_ = false;
    Model::TableVersion controlVersion_;
    Model::TableVersion entryVersion_;
    Model::TableVersion lookupVersion_;
    /// Does not know yet where every other region stands; no caller is sent to it.
    bool isStarting_ = false;
    std::vector<DomainLoad> loads_;
    std::vector<WalkedShares> walked_;
};

/// What other regions need to know of a region: its load and whom to hand requests over to.
struct RegionSummary
{
    Model::RegionId region_;
    Model::WallTime madeAt_;
    std::vector<DomainLoad> loads_;
    std::vector<Model::Instance> contacts_;
    /// Where traffic stands elsewhere than planned, by the region's entries; one for each pair of
    /// service and origin. Empty unless failure domains are out or have just come back.
    std::vector<WalkedShares> walked_;
    /// How old it was when it was sent here.
    Model::Milliseconds age_{0};
};

struct Member
{
    InstanceRecord record_;
    /// When the record last became newer, by the own clock.
    Model::SteadyTime heardAt_;
};

/// The instances of the own region, by what they said of themselves, and summaries of the others.
///
/// What an instance keeps and sends so grows with its region, not with the fleet.
/// Thread safety: none.
struct Members
{
    std::map<Model::InstanceId, Member> members_;
    std::map<Model::RegionId, RegionSummary> summaries_;
    /// When a summary last became newer, by the own clock.
    std::map<Model::RegionId, Model::SteadyTime> summaryHeardAt_;
    Policy::LeavingMarks marks_;
};

/// After this long without a newer record a member counts as dead.
constexpr Model::Milliseconds memberLifetime{3000};
/// After this long a summary says nothing about capacity any more.
constexpr Model::Milliseconds summaryLifetime{5000};
/// Entries that a summary names.
constexpr std::size_t mostContacts = 8;

/// Takes in \a record if it is newer than what is held. Returns whether it was.
///
/// An instance that said it is leaving stays so for that incarnation. Thread safety: none.
bool takeIn(Members &members, const InstanceRecord &record, Model::SteadyTime now);

/// Takes in \a summary if it is newer than what is held. Returns whether it was.
bool takeIn(Members &members, const RegionSummary &summary, Model::SteadyTime now);

/// Forgets members that have been silent for \a silence; dead ones are kept that long so that an
/// old record that still goes round is not taken for a new instance. Thread safety: none.
void forgetSilent(Members &members, Model::Milliseconds silence, Model::SteadyTime now);

/// Tells whether the region's last summary is young enough to say anything about capacity.
bool isFresh(const Members &members, const Model::RegionId &region, Model::SteadyTime now);

/// Tells whether it is known where \a region stands: entries that serve there, or that it has been
/// silent for too long. A region that has just been started and names no entry yet is not known.
bool isKnown(const Members &members, const Model::RegionId &region, Model::SteadyTime now);

/// Tells whether \a member was heard of lately. Thread safety: any thread.
bool isAlive(const Member &member, Model::SteadyTime now);

/// Returns the summary of \a region as its live members make it. Thread safety: none.
RegionSummary summarise(const Members &members, const Model::RegionId &region,
                        Model::WallTime madeAt, Model::SteadyTime now);

} // namespace Peers
