#pragma once

#include "PlatformState.h"

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
    /// A healthy target answers within this time.
    Model::Microseconds maxUsualLatency_{0};
};

/// When the targets' rows were last confirmed to this instance.
struct TargetsFreshness
{
    /// The store answered a call for them.
    Model::SteadyTime storeConfirmedAt_ = Model::distantPast;
    /// A peer sent an update, and no live peer was known to have a newer revision.
    Model::SteadyTime peersConfirmedAt_ = Model::distantPast;
};

/// The last request that was sent to a target, and the revision and freshness of the target rows at
/// that time.
struct LastSend
{
    std::string request_;
    Model::SteadyTime at_ = Model::distantPast;
    Platform::Revision knownRevision_;
    TargetsFreshness freshness_;
};

/// One incarnation of a target, with the local observations of it.
struct TargetState
{
    Model::TargetRecord record_;
    Platform::Revision revision_;
    /// The revision of its registration when it was first seen here.
    Platform::Revision firstRevision_;
    /// Indexes into the table's domains and regions; a target whose domain the table lacks is not
    /// used.
    std::size_t domain_ = 0;
    std::size_t region_ = 0;
    bool hasKnownDomain_ = false;
    /// Seed of the target's rank among others; the same on every instance.
    std::uint64_t seed_ = 0;

    std::int64_t ownInFlight_ = 0;
    /// The requests in progress, oldest first.
    std::list<SentRequest> sentRequests_;
    Policy::TargetBytes bytes_;
    LastSend lastSend_;
    Policy::PeerReportedLoad othersLoad_;
    Policy::SharedLoad sharedLoad_;

    Policy::TargetPace pace_;
    /// In place of pace_ where targets report their pace.
    Policy::RecentWork recentWork_;
    Policy::TargetPaceReport paceReport_;
    Policy::RejectionStreak rejections_;
    Policy::OwnerOverflow overflow_;
    Policy::SlowStart slowStart_;
    Policy::TargetLimit limit_;
    Policy::TargetPause pause_;
    Model::SteadyTime coldUntil_;
    Policy::Reachability reachability_;
    /// Its failure domain has become out of reach since its registration was first seen.
    bool isInLostDomain_ = false;
    /// A connection was opened since it last did not answer; a request may probe whether it
    /// answers.
    bool acceptsConnections_ = false;
    /// When it last answered any request.
    Model::SteadyTime lastAnswerAt_ = Model::distantPast;
    Policy::TargetUse use_;
    /// A connection is being opened in advance or as a probe.
    bool isConnecting_ = false;
    /// Its registration can be read; one that another writer has overwritten names no target.
    bool isRegistrationReadable_ = true;
    /// It answered that it is another incarnation than the expected one.
    bool isReplaced_ = false;
    /// The target that later registered at the same address; null if there is none.
    std::shared_ptr<const TargetState> successor_;
    /// It was removed from the registry; requests that chose it earlier may still hold it.
    bool isDropped_ = false;
    /// Set if its registration was removed, which may be only an expiry.
    std::optional<Policy::RemovedRegistration> removedRegistration_;
    /// Requests whose connections broke before it was known whether the target ended, and when the
    /// last one broke.
    std::vector<Policy::RequestFingerprint> lostRequests_;
    Model::SteadyTime lastLossAt_ = Model::distantPast;
    /// A probe of whether it still listens is in progress.
    bool isListenProbePending_ = false;
    /// No process listens at its address any more.
    bool hasEnded_ = false;
    /// When each object was last sent here.
    std::unordered_map<std::uint64_t, Model::SteadyTime> objects_;

    /// A request would probably not reach it.
    bool isOutOfReach() const { return isInLostDomain_ && !acceptsConnections_; }
    bool isCold(Model::SteadyTime now) const { return now < coldUntil_; }
    /// Another target registered at its address, and has not answered that it is a different one.
    bool isSucceeded() const { return successor_ && !successor_->isReplaced_; }
    /// Returns whether registrations and its own answers permit sending it new requests.
    bool takesWork() const
    {
        return hasKnownDomain_ && isRegistrationReadable_ && !record_.isLeaving_ && !isReplaced_
               && !isDropped_ && !isSucceeded();
    }
};

/// What a target has asked for in its answers. It holds for its incarnation, also while its
/// registration is missing.
struct TargetTerms
{
    /// Identifies the incarnation.
    Model::TargetRecord record_;
    Policy::TargetLimit limit_;
    Policy::TargetPause pause_;
    /// The revision of its last registration.
    Platform::Revision revision_;
    Model::SteadyTime droppedAt_;
};

/// Records the limit that a target named in an answer to a request that was sent at \a sentAt, or
/// that \a by, a peer, reported; std::nullopt for an answer without one. Logs when a limit begins
/// or ends. Thread safety: \a target belongs to the calling thread.
void recordLimit(TargetState &target, std::optional<Model::RequestsPerSecond> rate,
                 Model::SteadyTime sentAt, Model::SteadyTime reportedAt, const std::string &by,
                 Observe::DecisionLog &log);

/// The targets of one service, and the shares of the failure domains as home domains of its
/// callers' objects.
struct ServiceTargets
{
    /// By index of the table's domains.
    std::vector<std::vector<std::shared_ptr<TargetState>>> byDomain_;
    Policy::HomeShares homes_;
};

/// All known targets, with the local observations of them.
///
/// Thread safety: none; belongs to one thread.
class TargetRegistry
{
public:
    TargetRegistry(const PlatformPort &port, const PlatformState &knowledge,
                   Observe::DecisionLog &log);

    /// Updates the registry from the platform state.
    void update(Model::SteadyTime now, const Policy::StoreEvidence &evidence);

    /// Drops targets whose missing registration is no longer expected to return, and applies which
    /// targets answered that they leave or are replaced. Returns whether any target was dropped.
    bool dropMissing(Model::SteadyTime now, const Policy::StoreEvidence &evidence);

    /// Records that \a target has announced its leave, as \a how tells. Holds for the incarnation,
    /// whatever its registration says, and while it is missing.
    void noteLeave(TargetState &target, const char *how, Model::SteadyTime now);
    /// The same for the target \a id, if it is known.
    void noteLeave(const Model::TargetId &id, const char *how, Model::SteadyTime now);

    /// Returns the addresses at which another incarnation has started to listen since the last
    /// call. Connections to the earlier incarnations are dead.
    std::vector<Model::Address> takeRestarted() { return std::exchange(restarted_, {}); }

    /// Returns the targets of \a service, or nullptr.
    const ServiceTargets *service(const Model::ServiceId &service) const;
    const std::unordered_map<Model::ServiceId, ServiceTargets> &services() const
    {
        return services_;
    }

    /// Returns the target loads to send to other instances.
    std::vector<Policy::TargetLoad> loadsToSend(Model::SteadyTime now) const;
    /// Records the loads that another instance sent; loads of unknown targets are ignored.
    void receiveLoads(const std::vector<Policy::TargetLoad> &loads, Model::SteadyTime now);

    /// Returns how long ago registrations were found to be removed, locally or at a peer. Covers
    /// recent removals only.
    RemovalAges removalsToSend(Model::SteadyTime now) const;
    /// Records the removal ages that a peer sent. They also shorten grace periods that have begun
    /// here, and apply to removals that this instance has not read yet.
    void receiveRemovals(const RemovalAges &ages, Model::SteadyTime now);

    /// Returns the reports on targets' rate limits to send to other instances.
    std::vector<Policy::TargetLimitReport> limitsToSend(Model::SteadyTime now) const;
    /// Records the reports that another instance sent; those on unknown targets are ignored.
    void receiveLimits(const std::vector<Policy::TargetLimitReport> &reports,
                       const std::string &peer, Model::SteadyTime now);
    /// Updates this instance's part of each limit, and forgets old limits. Called every tick.
    void updateLimits(const Model::Instance &own, const Policy::Members &members,
                      Model::SteadyTime now);

    const std::map<Model::TargetId, std::shared_ptr<TargetState>> &all() const { return targets_; }
    /// A seed for each of the table's domains, the same on every instance.
    const std::vector<std::uint64_t> &domainSeeds() const { return domainSeeds_; }

private:
    void applyRow(const Platform::StoredRow &row, Model::SteadyTime now);
    void noteUnreadable(const Platform::StoredRow &row);
    void logLeave(const TargetState &target, const char *how, Platform::Revision revision,
                  Model::SteadyTime now);
    std::shared_ptr<TargetState> stateFor(const Model::TargetRecord &record,
                                          Platform::Revision revision);
    void findSuccessors();
    void noteMissing(Model::SteadyTime now, const Policy::StoreEvidence &evidence);
    /// Drops a target, and keeps what it has asked for, if anything.
    void drop(TargetState &target, Model::SteadyTime now);
    /// Forgets old removal times and the terms of targets that were dropped long ago.
    void forgetRemovals(Model::SteadyTime now);
    void resolveDomain(TargetState &target) const;
    void rebuildServices();
    Policy::HomeShares homesOf(const ServiceTargets &targets) const;

    const PlatformPort &port_;
    const PlatformState &platformState_;
    Observe::DecisionLog &log_;
    std::map<Model::TargetId, std::shared_ptr<TargetState>> targets_;
    /// Rows that cannot be read, by key, so that each is logged once.
    std::map<std::string, Platform::Revision> unreadable_;
    std::vector<Model::Address> restarted_;
    /// When registrations were first found to be removed, locally or at a peer.
    std::map<Model::TargetId, Model::SteadyTime> removals_;
    /// The terms of dropped targets, whose registrations may return.
    std::map<Model::TargetId, TargetTerms> droppedTerms_;
    /// Number of replaced and leaving targets when services_ was last rebuilt.
    std::size_t outOfUseCount_ = 0;
    std::unordered_map<Model::ServiceId, ServiceTargets> services_;
    /// The targets that take work, by their short name in TargetLoad.
    std::unordered_map<std::uint32_t, std::shared_ptr<TargetState>> byShortName_;
    std::vector<std::uint64_t> domainSeeds_;
};

} // namespace Steering
