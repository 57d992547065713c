#include "PeerExchange.h"

#include <algorithm>

namespace Steering {

using Http::Task;
using Model::Milliseconds;
using Model::SteadyTime;
using Observe::Event;

namespace {

/// A store reader that is behind waits this long for the store before it requests rows from peers:
/// it may be batching changes or waiting for its first answer.
constexpr Milliseconds readerFetchDelay{700};
/// Concurrent requests for rows to peers.
constexpr std::size_t maxConcurrentFetches = 2;
/// An instance that has been behind for this long, because its peers do not send their newer rows,
/// reads the store itself.
constexpr Milliseconds peerFetchTimeout{1000};
/// Instances that start within this time of each other have started together.
constexpr Milliseconds commonStartTime{3000};
/// Before this many rounds have passed, a newly started instance reads each table once and requests
/// no changes: sixty instances that each consider themselves the only one would make ten calls
/// each. The rounds take 1.6 s, by which a change may be delayed.
constexpr std::uint64_t roundsToSettle = 4;

Http::ServerLimits peerLimits()
{
    Http::ServerLimits limits;
    limits.bodyBytes_ = PeerExchange::maxRequestBytes;
    // A forwarded request has the caller's header fields and a few more.
    limits.headBytes_ = 64 * 1024;
    return limits;
}

} // namespace

PeerExchange::PeerExchange(Http::asio::io_context &context, const Observe::Settings &settings,
                           PlatformState &platformState, Observe::DecisionLog &log)
    : context_(context)
    , settings_(settings)
    , platformState_(platformState)
    , log_(log)
    , server_(context, peerLimits(),
              [this](Http::IncomingRequest request) {
                  return answer(std::move(request));
              })
    , pool_(context)
    , incarnation_(
          static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count()))
{
    refreshLocalMember();
}

bool PeerExchange::start()
{
    if (!server_.listen(settings_.addresses_.control_))
        return false;
    Http::asio::co_spawn(context_, gossipLoop(), Http::asio::detached);
    return true;
}

void PeerExchange::setLeaving()
{
    isLeaving_ = true;
    isReady_ = false;
    refreshLocalMember();
}

void PeerExchange::refreshLocalMember()
{
    const auto now = std::chrono::steady_clock::now();
    Policy::Member &own = members_[settings_.instance_];
    own.instance_.id_ = settings_.instance_;
    own.instance_.region_ = settings_.region_;
    own.instance_.domain_ = settings_.domain_;
    own.instance_.addresses_.entry_ = settings_.addresses_.entry_;
    own.instance_.addresses_.control_ = settings_.addresses_.control_;
    own.instance_.size_ = settings_.size_;
    own.heartbeatAt_ = now;
    Policy::MemberHeartbeat &heartbeatRecord = own.heartbeatRecord_;
    heartbeatRecord.id_ = settings_.instance_;
    heartbeatRecord.incarnation_ = incarnation_;
    ++heartbeatRecord.heartbeat_;
    heartbeatRecord.isReady_ = isReady_;
    heartbeatRecord.isLeaving_ = isLeaving_;
    heartbeatRecord.isPartitioned_ = isPartitioned_;
    heartbeatRecord.usePercent_ = usePercent_;
    const bool isStoreReached = store_.contact_ == Policy::StoreContact::Reached;
    const auto answered = isStoreReached ? now - store_.answeredSince_ : SteadyTime::duration(0);
    heartbeatRecord.store_ = store_.contact_;
    heartbeatRecord.storeAnswered_ = std::chrono::duration_cast<Milliseconds>(answered);
    heartbeatRecord.targetsRead_ = isStoreReached ? store_.targetsRead_ : 0;
    heartbeatRecord.operatorsSeen_
        = platformState_.replica(StoreTable::Operators).lastChange().value();
    heartbeatRecord.targetsSeen_ = platformState_.replica(StoreTable::Targets).lastChange().value();
    heartbeatRecord.regionEntries_
        = static_cast<std::uint32_t>(Policy::entriesIn(members_, settings_.region_, now));
}

Policy::StoreEvidence PeerExchange::storeEvidence() const
{
    const auto now = std::chrono::steady_clock::now();
    return {store_, Policy::standingsOf(members_, settings_.instance_, now)};
}

const Model::Instance &PeerExchange::localInstance() const
{
    return members_.at(settings_.instance_).instance_;
}

bool PeerExchange::hasLivePeer() const
{
    const auto now = std::chrono::steady_clock::now();
    return std::any_of(members_.begin(), members_.end(), [&](const auto &entry) {
        return entry.first != settings_.instance_ && Policy::isAlive(entry.second, now);
    });
}

bool PeerExchange::knowsEarlierInstance() const
{
    const auto now = std::chrono::steady_clock::now();
    // Incarnations are the instances' start times by their own clocks.
    const auto earlier
        = std::chrono::duration_cast<std::chrono::system_clock::duration>(commonStartTime).count();
    return std::any_of(members_.begin(), members_.end(), [&](const auto &entry) {
        const Policy::Member &member = entry.second;
        const auto startedAt = member.heartbeatRecord_.incarnation_.value();
        return Policy::isAlive(member, now)
               && startedAt + static_cast<std::uint64_t>(earlier) < incarnation_.value();
    });
}

bool PeerExchange::hasLiveMemberInEveryRegion() const
{
    const auto now = std::chrono::steady_clock::now();
    return std::all_of(
        settings_.domains_.begin(), settings_.domains_.end(), [&](const auto &domain) {
            return std::any_of(members_.begin(), members_.end(), [&](const auto &entry) {
                const Policy::Member &member = entry.second;
                return member.instance_.region_ == domain.second && Policy::isAlive(member, now);
            });
        });
}

Model::Address PeerExchange::addressToDial(const Model::Address &address) const
{
    return Observe::dialAddress(settings_, address);
}

std::string PeerExchange::localRecord() const
{
    return toText(members_.at(settings_.instance_));
}

void PeerExchange::addRecord(const std::string &record)
{
    const auto now = std::chrono::steady_clock::now();
    auto member = memberFromText(record, now);
    if (!member) {
        log_.line(Event::SnapshotRefused)
            .add("source", "store")
            .add("reason", toText(Model::lastReason()));
        return;
    }
    if (members_.contains(member->instance_.id_))
        return;
    // The store's record does not show whether the instance still runs.
    member->isUnconfirmed_ = true;
    recordMember(std::move(*member));
}

void PeerExchange::recordMember(Policy::Member member)
{
    if (member.instance_.id_ == settings_.instance_)
        return;
    member.isRemote_ = member.instance_.region_ != settings_.region_;
    const auto heardAt = member.heartbeatAt_;
    Policy::mergeMemberRecord(members_, member, heardAt);
}

void PeerExchange::markMembersUnconfirmed()
{
    for (auto &[id, member] : members_) {
        if (id != settings_.instance_)
            member.isUnconfirmed_ = true;
    }
}

Task<void> PeerExchange::gossipLoop()
{
    while (true) {
        refreshLocalMember();
        const auto now = std::chrono::steady_clock::now();
        Policy::forgetSilent(members_, settings_.instance_, now);
        Policy::forgetNonContacts(members_, now);
        for (auto &peer : choosePeers())
            Http::asio::co_spawn(context_, gossipTo(std::move(peer), false), Http::asio::detached);
        logLivenessChanges(now);
        if (behindSince_)
            catchUp(now);
        co_await Http::sleepFor(Policy::gossipRoundInterval);
        ++rounds_;
    }
}

std::vector<Model::Instance> PeerExchange::choosePeers()
{
    const auto now = std::chrono::steady_clock::now();
    auto peers = Policy::peersOfRound(members_, localInstance(), now, random_());
    const bool hasFewPeers = peers.size() < Policy::localPeersInRound;
    if (!hasFewPeers && random_() % Policy::roundsBetweenUnknownSeeds != 0)
        return peers;
    // Seeds may be stale, so those of known members are used only while few instances are known.
    std::vector<Model::Instance> seeds;
    for (const auto &address : settings_.seeds_) {
        if (address == settings_.addresses_.control_
            || (!hasFewPeers && Policy::hasMemberAt(members_, address)))
            continue;
        Model::Instance seed;
        seed.region_ = settings_.region_;
        seed.addresses_.control_ = address;
        seeds.push_back(std::move(seed));
    }
    const std::size_t count = hasFewPeers ? Policy::localPeersInRound : 1;
    std::sample(seeds.begin(), seeds.end(), std::back_inserter(peers), count, random_);
    return peers;
}

void PeerExchange::announce()
{
    const auto &heartbeatRecord = members_.at(settings_.instance_).heartbeatRecord_;
    const auto operators = heartbeatRecord.operatorsSeen_;
    const auto targets = heartbeatRecord.targetsSeen_;
    refreshLocalMember();
    if (heartbeatRecord.operatorsSeen_ == operators && heartbeatRecord.targetsSeen_ == targets)
        return;
    const auto now = std::chrono::steady_clock::now();
    auto chosen = Policy::peersToAnnounceTo(members_, localInstance(), now, random_());
    for (auto &peer : chosen)
        Http::asio::co_spawn(context_, gossipTo(std::move(peer), true), Http::asio::detached);
}

void PeerExchange::recordMessage(const PeerMessage &message, SteadyTime now)
{
    recordMember(message.sender_);
    for (const auto &member : message.update_.fullRecords_)
        recordMember(member);
    for (const auto &heartbeatRecord : message.update_.heartbeatRecords_) {
        if (heartbeatRecord.id_ != settings_.instance_)
            Policy::mergeHeartbeatRecord(members_, heartbeatRecord, now);
    }
    receiveLoads_(message.loads_);
    receiveRemovals_(message.removals_);
    receiveLimits_(message.limits_, message.sender_.instance_.id_.value());
    const auto &sender = message.sender_.instance_;
    if (message.demand_ && sender.region_ == settings_.region_ && sender.id_ != settings_.instance_)
        receiveDemand_(*message.demand_, sender.id_);
    receiveCrashes_(message.crashes_, message.sender_.heartbeatRecord_.isReady_);
    catchUp(now);
    if (!behindSince_)
        upToDateAt_ = now;
}

void PeerExchange::setLoadExchange(
    std::function<std::vector<Policy::TargetLoad>()> provide,
    std::function<void(const std::vector<Policy::TargetLoad> &)> receive)
{
    provideLoads_ = std::move(provide);
    receiveLoads_ = std::move(receive);
}

void PeerExchange::setLimitExchange(
    std::function<std::vector<Policy::TargetLimitReport>()> provide,
    std::function<void(const std::vector<Policy::TargetLimitReport> &, const std::string &)>
        receive)
{
    provideLimits_ = std::move(provide);
    receiveLimits_ = std::move(receive);
}

void PeerExchange::setDemandExchange(
    std::function<std::optional<std::vector<Policy::DemandItem>>()> provide,
    std::function<void(const std::vector<Policy::DemandItem> &, const Model::InstanceId &)> receive)
{
    provideDemand_ = std::move(provide);
    receiveDemand_ = std::move(receive);
}

void PeerExchange::setCrashExchange(std::function<Policy::CrashUpdate()> provide,
                                    std::function<void(const Policy::CrashUpdate &, bool)> receive)
{
    provideCrashes_ = std::move(provide);
    receiveCrashes_ = std::move(receive);
}

void PeerExchange::logLivenessChanges(SteadyTime now)
{
    for (const auto &[id, member] : members_) {
        const bool isAlive = Policy::isAlive(member, now);
        const auto [known, isNew] = knownAlive_.emplace(id, false);
        if (known->second == isAlive || id == settings_.instance_)
            continue;
        known->second = isAlive;
        log_.line(isAlive ? Event::PeerBack : Event::PeerLost)
            .add("instance", id.value())
            .add("region", member.instance_.region_.value())
            .add("silent_ms",
                 std::chrono::duration_cast<Model::Microseconds>(now - member.heartbeatAt_));
    }
    std::erase_if(knownAlive_, [&](const auto &entry) {
        return !members_.contains(entry.first);
    });
}

/// Returns the nearest peer that has newer rows and no request in progress, or nullptr.
const Policy::Member *PeerExchange::peerWithNewerRows(SteadyTime now)
{
    const auto hasNewerRows = [this](const Policy::Member &member) {
        const auto &heartbeatRecord = member.heartbeatRecord_;
        return !pendingFetches_.contains(member.instance_.id_)
               && platformState_.isBehind({Platform::Revision(heartbeatRecord.operatorsSeen_),
                                           Platform::Revision(heartbeatRecord.targetsSeen_)});
    };
    return Policy::nearestPeerWith(members_, localInstance(), hasNewerRows, now, random_());
}

void PeerExchange::setStoreCalls(std::function<bool(StoreTable, SteadyTime)> hasWaitedSince,
                                 StoreCallRestart restartWaitingCall)
{
    hasWaitedSince_ = std::move(hasWaitedSince);
    restartWaitingCall_ = std::move(restartWaitingCall);
}

void PeerExchange::setRemovalExchange(std::function<RemovalAges()> provide,
                                      std::function<void(const RemovalAges &)> receive)
{
    provideRemovals_ = std::move(provide);
    receiveRemovals_ = std::move(receive);
}

void PeerExchange::fetchIfBehind()
{
    if (behindSince_)
        catchUp(std::chrono::steady_clock::now());
}

/// Tells whether the waiting call to the store should have returned the newer rows of \a peer.
bool PeerExchange::isCallHanging(StoreTable table, const Policy::Member &peer, SteadyTime now) const
{
    const auto &heartbeatRecord = peer.heartbeatRecord_;
    const auto seen = table == StoreTable::Operators ? heartbeatRecord.operatorsSeen_
                                                     : heartbeatRecord.targetsSeen_;
    return Platform::Revision(seen) > platformState_.replica(table).knownRevision()
           && hasWaitedSince_(table, now - Policy::readerCallTimeout);
}

/// Allows a second concurrent request if the first peer does not answer: that peer may have stopped
/// after it announced newer rows. While rows arrive, a second request would only take half of the
/// link from the first.
bool PeerExchange::mayFetch(SteadyTime now) const
{
    if (pendingFetches_.empty())
        return now >= nextFetchAt_;
    const auto silentSince = now - Policy::rowFetchTimeout;
    const bool isReceiving
        = std::any_of(pendingFetches_.begin(), pendingFetches_.end(), [&](const auto &fetch) {
              return fetch.second->hasReceivedSince(silentSince);
          });
    return pendingFetches_.size() < maxConcurrentFetches && lastFetchAt_ <= silentSince
           && !isReceiving;
}

/// Requests the rows that a peer has and this instance is missing, if there are any.
void PeerExchange::catchUp(SteadyTime now)
{
    const Policy::Member *peer = peerWithNewerRows(now);
    if (!peer && !pendingFetches_.empty())
        return;
    if (!peer) {
        behindSince_.reset();
        return;
    }
    if (!behindSince_)
        behindSince_ = now;
    const bool isReader = store_.contact_ == Policy::StoreContact::Reached;
    const auto behindFor = now - *behindSince_;
    bool isDue = !isReader || behindFor >= readerFetchDelay;
    if (isReader && behindFor >= Policy::readerCallTimeout) {
        for (const auto table : {StoreTable::Operators, StoreTable::Targets}) {
            if (!isCallHanging(table, *peer, now))
                continue;
            restartWaitingCall_(table, peer->instance_.id_,
                                std::chrono::duration_cast<Model::Microseconds>(behindFor));
            isDue = true;
        }
    }
    if (isDue && mayFetch(now))
        Http::asio::co_spawn(context_, fetchState(), Http::asio::detached);
}

Policy::ReaderRank PeerExchange::readerRank() const
{
    const auto now = std::chrono::steady_clock::now();
    if (behindSince_ && now - *behindSince_ > peerFetchTimeout)
        return Policy::ReaderRank::Active;
    // In a fleet that starts together, no instance knows the number of members yet.
    if (rounds_ < roundsToSettle)
        return Policy::ReaderRank::None;
    return Policy::readerRank(members_, localInstance(), now);
}

} // namespace Steering
