#pragma once

#include "Knowledge.h"

#include <LibPolicy/LibPolicy.h>

#include <list>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Steering {

/// A request that is in progress at a target.
struct SentRequest
{
    Model::SteadyTime at_;
    /// A sound target answers within this.
    Model::Microseconds latestUsual_{0};
};

/// When the targets' rows were last confirmed to this instance.
struct TargetsNews
{
    /// The store answered a call for them.
    Model::SteadyTime fromStore_ = Model::longAgo;
    /// A peer spoke, and no living peer was known to know newer rows.
    Model::SteadyTime fromPeers_ = Model::longAgo;
};

/// The last request that was sent to a target, and by what knowledge of the targets.
struct LastSend
{
    std::string request_;
    Model::SteadyTime at_ = Model::longAgo;
    Platform::Revision known_;
    TargetsNews news_;
};

/// One run of a target with what this instance has seen of it.
struct TargetState
{
    Model::TargetRecord record_;
    Platform::Revision revision_;
    /// The revision of its registration when it was first seen here.
    Platform::Revision firstRevision_;
    /// Indexes into the table's domains and regions; where the table has none, the target is not
    /// used.
    std::size_t domain_ = 0;
    std::size_t region_ = 0;
    bool hasPlace_ = false;
    /// A number that ranks the target among others, the same on every instance.
    std::uint64_t seed_ = 0;

    std::int64_t ownInFlight_ = 0;
    /// The requests in progress, oldest first.
    std::list<SentRequest> sent_;
    LastSend lastSend_;
    Policy::OthersLoad othersLoad_;
    Policy::SharedLoad sharedLoad_;

    Policy::TargetPace pace_;
    Policy::ColdRamp ramp_;
    Model::SteadyTime coldUntil_;
    Policy::Reachability reachability_;
    /// When it last answered anything.
    Model::SteadyTime answeredAt_ = Model::longAgo;
    Policy::TargetUse use_;
    /// A spare connection is being opened.
    bool isPreparing_ = false;
    /// Its registration can be read; one that somebody else wrote over names no target.
    bool isNamed_ = true;
    /// It said itself that it is another run than the one that was asked for.
    bool isReplaced_ = false;
    /// The one that registered itself at the same address later, if there is one.
    std::shared_ptr<const TargetState> successor_;
    /// It was dropped from the book; requests that have chosen it before hold it still.
    bool isDropped_ = false;
    /// Its registration is gone, and may only have lapsed.
    std::optional<Policy::RemovedRegistration> removed_;
    /// Requests whose connections broke before it was known whether it ended, and when the last one
    /// did.
    std::vector<Policy::RequestPrint> lost_;
    Model::SteadyTime lostAt_ = Model::longAgo;
    /// It is being asked whether it still listens.
    bool isKnockedAt_ = false;
    /// Nothing listens at its address any more.
    bool hasEnded_ = false;
    /// When each object was sent here last.
    std::unordered_map<std::uint64_t, Model::SteadyTime> objects_;

    bool isCold(Model::SteadyTime now) const { return now < coldUntil_; }
    /// Another one registered itself at its address, and none said there that it is not that one.
    bool isSucceeded() const { return successor_ && !successor_->isReplaced_; }
    /// It may get new work, as far as registrations and its own word say.
    bool takesWork() const
    {
        return hasPlace_ && isNamed_ && !record_.isLeaving_ && !isReplaced_ && !isDropped_
               && !isSucceeded();
    }
};

/// The targets of one service, and where the objects of its callers have their homes.
struct ServiceTargets
{
    /// By index of the table's domains.
    std::vector<std::vector<std::shared_ptr<TargetState>>> byDomain_;
    Policy::HomeShares homes_;
};

/// All targets that are known, with what this instance has seen of them.
///
/// Thread safety: none; belongs to one thread.
class TargetBook
{
public:
    TargetBook(const PlatformPort &port, const Knowledge &knowledge, Observe::DecisionLog &log);

    /// Brings the book in line with what is known.
    void update(Model::SteadyTime now, const Policy::StoreEvidence &evidence);

    /// Drops targets whose registration is missing and not expected back any more, and takes in
    /// which ones said that they are replaced. Returns whether any was dropped.
    bool dropMissing(Model::SteadyTime now, const Policy::StoreEvidence &evidence);

    /// Returns the addresses at which another run listens since the last call: what was connected
    /// to the earlier runs leads nowhere.
    std::vector<Model::Address> takeRestarted() { return std::exchange(restarted_, {}); }

    /// Returns the targets of \a service, or nullptr.
    const ServiceTargets *service(const Model::ServiceId &service) const;

    /// Returns what other instances should hear of the targets' loads.
    std::vector<Policy::TargetLoad> loadsToTell(Model::SteadyTime now) const;
    /// Takes in what another instance told; loads of unknown targets are ignored.
    void hearLoads(const std::vector<Policy::TargetLoad> &loads, Model::SteadyTime now);

    /// Returns how long ago registrations were found to be gone, here or at a peer, where that was
    /// lately.
    RemovalAges removalsToTell(Model::SteadyTime now) const;
    /// Takes in what a peer told of that, before what it knows of the targets is taken in.
    void hearRemovals(const RemovalAges &ages, Model::SteadyTime now);

    const std::map<Model::TargetId, std::shared_ptr<TargetState>> &all() const { return targets_; }
    /// A seed for each of the table's domains, the same on every instance.
    const std::vector<std::uint64_t> &domainSeeds() const { return domainSeeds_; }

private:
    void take(const Platform::StoredRow &row, Model::SteadyTime now);
    void noteUnreadable(const Platform::StoredRow &row);
    void logLeave(const TargetState &target, const char *how, Platform::Revision revision,
                  Model::SteadyTime now);
    std::shared_ptr<TargetState> stateFor(const Model::TargetRecord &record);
    void findSuccessors();
    void noteMissing(Model::SteadyTime now, const Policy::StoreEvidence &evidence);
    /// Forgets when registrations went that are back, or went long ago.
    void forgetRemovals(Model::SteadyTime now);
    void findPlace(TargetState &target) const;
    void arrange();
    Policy::HomeShares homesOf(const ServiceTargets &targets) const;

    const PlatformPort &port_;
    const Knowledge &knowledge_;
    Observe::DecisionLog &log_;
    std::map<Model::TargetId, std::shared_ptr<TargetState>> targets_;
    /// Rows that cannot be read, by key, so that each is logged once.
    std::map<std::string, Platform::Revision> unreadable_;
    std::vector<Model::Address> restarted_;
    /// When registrations were first found to be gone, here or at a peer.
    std::map<Model::TargetId, Model::SteadyTime> removals_;
    /// How many targets had said that they are replaced when services were arranged.
    std::size_t replaced_ = 0;
    std::unordered_map<Model::ServiceId, ServiceTargets> services_;
    /// The targets that take work, by the name that they have in TargetLoad.
    std::unordered_map<std::uint32_t, std::shared_ptr<TargetState>> byShortName_;
    std::vector<std::uint64_t> domainSeeds_;
};

} // namespace Steering
