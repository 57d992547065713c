#include "ControlState.h"

#include <algorithm>
#include <set>

namespace Controld {

using Model::Milliseconds;
using Observe::Event;

namespace {

constexpr Milliseconds reportLifetime{1000};
/// A change reaches all peers within this time; gossip rounds stay frequent for this long after
/// one.
constexpr Milliseconds gossipConvergenceTime{4000};
/// A region without any known summary delays a new instance for at most this duration.
constexpr Milliseconds regionDiscoveryTimeout{5000};
/// Silent members are kept this long, so that an old record is not mistaken for a new instance.
constexpr Milliseconds silentMemberRetention{120000};

Model::SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

Model::WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

} // namespace

ControlState::ControlState(const Observe::Settings &settings, Model::Incarnation incarnation)
    : settings_(settings)
{
    Model::Instance &self = gossip_.self_.instance_;
    self.id_ = settings.instance_;
    self.region_ = settings.region_;
    self.domain_ = settings.domain_;
    self.addresses_ = settings.addresses_;
    gossip_.self_.incarnation_ = incarnation;
    gossip_.self_.isStarting_ = true;
    startedAt_ = steadyNow();
}

void ControlState::onStoreRows(const Platform::StoredRows &rows)
{
    const std::lock_guard lock(mutex_);
    if (storeIsDown_)
        Observe::logEvent(Event::StoreBack);
    storeIsDown_ = false;
    const Model::TableVersion before = gossip_.table_.version_;
    Platform::TableMirror next = gossip_.table_;
    if (!Platform::applyRows(next, rows) || (!rows.rows_.empty() && !Platform::buildTable(next))) {
        Observe::logEvent(Event::TableRefused, {{"reason", toText(Model::lastReason())}});
        return;
    }
    gossip_.table_ = std::move(next);
    start_.storeAnswered_ = true;
    start_.storeVersion_ = gossip_.table_.version_;
    if (Policy::mayApply(before, gossip_.table_.version_))
        onTableChanged();
    updateReadiness();
}

void ControlState::onStoreFailure()
{
    const std::lock_guard lock(mutex_);
    if (!storeIsDown_)
        Observe::logEvent(Event::StoreLost, {{"reason", toText(Model::lastReason())}});
    storeIsDown_ = true;
}

void ControlState::onInstances(std::vector<Model::Instance> instances)
{
    const std::lock_guard lock(mutex_);
    if (instances == listed_)
        return;
    listed_ = std::move(instances);
    Observe::logEvent(Event::InstanceListChanged, {{"count", std::to_string(listed_.size())}});
    recordChange();
}

void ControlState::onClientBlocks(const std::string &text)
{
    const std::lock_guard lock(mutex_);
    if (text == clientBlocks_)
        return;
    clientBlocks_ = text;
    ++blocksCount_;
    changed_.notify_all();
}

Platform::Revision ControlState::readRevision() const
{
    const std::lock_guard lock(mutex_);
    return gossip_.table_.readRevision_;
}

void ControlState::advanceHeartbeat()
{
    const std::lock_guard lock(mutex_);
    ++gossip_.self_.heartbeat_;
    expireReports();
    Peers::removeSilentMembers(gossip_.members_, silentMemberRetention, steadyNow());
    refreshSummary();
    updateQuarantines();
    if (steadyNow() - startedAt_ >= Policy::startAloneDelay)
        start_.peersAnswered_ = true;
    updateReadiness();
    updateAllRegionsKnown();
    recordUrgentChange();
}

void ControlState::updateQuarantines()
{
    const auto changes = Policy::judge(gossip_.crashes_, steadyNow());
    for (const auto &fingerprint : changes.quarantined_)
        Observe::logEvent(Event::RequestQuarantined, {{"print", toText(fingerprint)}});
    for (const auto &fingerprint : changes.lifted_)
        Observe::logEvent(Event::QuarantineLifted, {{"print", toText(fingerprint)}});
    recordCrashChanges();
}

/// Sends new crash records and quarantine changes to the subscribers without delay.
void ControlState::recordCrashChanges()
{
    if (std::exchange(gossip_.crashes_.isChanged_, false))
        recordChange();
}

/// Clears the versions of processes that stopped reporting, for example after a crash, so that the
/// instance is not listed as an entry.
void ControlState::expireReports()
{
    if (steadyNow() - entryReportAt_ > reportLifetime) {
        gossip_.self_.entryVersion_ = Model::TableVersion(0);
        gossip_.self_.loads_.clear();
    }
    if (steadyNow() - lookupReportAt_ > reportLifetime)
        gossip_.self_.lookupVersion_ = Model::TableVersion(0);
}

/// Updates the summary of the local region, once the process has had time to learn of every live
/// member.
///
/// Without the wait, a process that has just started publishes a summary that knows no members but
/// is the newest, and other regions briefly assume that this one has no entries. If no peer has a
/// summary of the region, there is no wait: none can be replaced, and other regions wait for one.
void ControlState::refreshSummary()
{
    const bool isNew = steadyNow() - startedAt_ < Peers::memberLifetime;
    if (isNew && (localRegionHasSummary_ || !start_.peersAnswered_))
        return;
    Peers::Members all = gossip_.members_;
    all.members_[gossip_.self_.instance_.id_] = {gossip_.self_, steadyNow()};
    const Model::RegionId &region = gossip_.self_.instance_.region_;
    auto summary = Peers::summarise(all, region, wallNow(), steadyNow());
    if (isNew && summary.contacts_.empty())
        return;
    gossip_.members_.summaries_[region] = std::move(summary);
    gossip_.members_.summaryMadeAt_[region] = steadyNow();
}

cassiacrank::PullRequest ControlState::makePull(bool isSameRegion) const
{
    const std::lock_guard lock(mutex_);
    return Peers::makePull(gossip_, isSameRegion, steadyNow());
}

cassiacrank::PullAnswer ControlState::answerPull(const cassiacrank::PullRequest &request)
{
    const std::lock_guard lock(mutex_);
    auto answer = Peers::answerPull(gossip_, request, steadyNow());
    recordCrashChanges();
    recordUrgentChange();
    return answer;
}

void ControlState::onPullAnswer(const cassiacrank::PullAnswer &answer)
{
    const std::lock_guard lock(mutex_);
    const auto result = Peers::mergePullAnswer(gossip_, answer, steadyNow());
    if (!result.responder_)
        return;
    start_.peersAnswered_ = true;
    localRegionHasSummary_ |= result.localRegionHasSummary_;
    if (result.responder_->domain_ != settings_.domain_ && result.responderIsReady_) {
        auto &version = start_.peerVersions_[result.responder_->domain_];
        version = std::max(version, result.responderVersion_);
    }
    if (result.tableChanged_)
        onTableChanged();
    recordCrashChanges();
    if (result.liveChanged_)
        recordUrgentChange();
    updateReadiness();
    updateAllRegionsKnown();
}

std::vector<PeerCandidate> ControlState::peerCandidates() const
{
    const std::lock_guard lock(mutex_);
    std::vector<PeerCandidate> candidates;
    std::set<Model::Address> seen = {settings_.addresses_.control_};
    const auto add = [&](const Model::InstanceId &id, const Model::Address &address,
                         bool isSameRegion) {
        if (seen.insert(address).second)
            candidates.push_back({id, Observe::dialAddress(settings_, address), isSameRegion});
    };
    for (const auto &[id, member] : gossip_.members_.members_) {
        if (Peers::isAlive(member, steadyNow()))
            add(id, member.record_.instance_.addresses_.control_, true);
    }
    for (const auto &instance : listed_)
        add(instance.id_, instance.addresses_.control_, instance.region_ == settings_.region_);
    for (const auto &[region, summary] : gossip_.members_.summaries_) {
        for (const auto &contact : summary.contacts_)
            add(contact.id_, contact.addresses_.control_, region == settings_.region_);
    }
    // A seed's region is unknown; a request as for the local region only costs some extra bytes.
    for (const auto &seed : settings_.seeds_)
        add(Model::InstanceId(), seed, true);
    return candidates;
}

bool ControlState::isQuiet() const
{
    const std::lock_guard lock(mutex_);
    return steadyNow() - changedAt_ > gossipConvergenceTime;
}

std::size_t ControlState::fleetSize() const
{
    const std::lock_guard lock(mutex_);
    return std::max(listed_.size(), gossip_.members_.members_.size() + 1);
}

void ControlState::onReport(const cassiacrank::ProcessReport &report)
{
    const std::lock_guard lock(mutex_);
    Peers::InstanceRecord &self = gossip_.self_;
    const Model::TableVersion version(report.table_version());
    if (report.role() == "lookup") {
        lookupReportAt_ = steadyNow();
        self.lookupVersion_ = version;
    } else {
        entryReportAt_ = steadyNow();
        self.entryVersion_ = version;
        // As reported by the entry: if it were listed before it is ready, it would refuse callers.
        self.isStarting_ = report.starting();
        // The leaving flag of an instance is permanent for its incarnation, so an entry that
        // restarts after a planned stop needs a new incarnation.
        if (entryIsStopping_ && !report.stopping() && !isLeaving_) {
            self.incarnation_ += Model::Incarnation(1);
            self.instance_.isLeaving_ = false;
        }
        entryIsStopping_ = report.stopping();
        self.loads_.clear();
        for (const auto &load : report.loads())
            self.loads_.push_back(Peers::fromMessage(load));
        self.walked_.clear();
        for (const auto &walked : report.walked())
            self.walked_.push_back(Peers::fromMessage(walked));
    }
    if (report.stopping() && !self.instance_.isLeaving_) {
        self.instance_.isLeaving_ = true;
        ++self.heartbeat_;
    }
    bool isChanged = false;
    for (const auto &mark : report.marks()) {
        isChanged |= Policy::markLeaving(gossip_.members_.marks_, Model::TargetId(mark.target()),
                                         Model::Incarnation(mark.incarnation()));
    }
    Policy::takeIn(gossip_.crashes_, Peers::fromMessage(report.crashes()), steadyNow());
    recordCrashChanges();
    if (isChanged || report.stopping())
        recordChange();
}

void ControlState::beginLeaving()
{
    const std::lock_guard lock(mutex_);
    isLeaving_ = true;
    gossip_.self_.instance_.isLeaving_ = true;
    ++gossip_.self_.heartbeat_;
    recordChange();
}

bool ControlState::isReady() const
{
    const std::lock_guard lock(mutex_);
    return gossip_.self_.isReady_;
}

void ControlState::updateReadiness()
{
    start_.heldVersion_ = gossip_.table_.version_;
    if (gossip_.self_.isReady_ || !Policy::mayServe(start_))
        return;
    gossip_.self_.isReady_ = true;
    Observe::logEvent(Event::Ready, {{"version", std::to_string(start_.heldVersion_.value())}});
    recordChange();
}

/// Allows callers to be sent here once the state of every region in the table is known.
///
/// Without this check, a new instance whose first answer came from another new one knows no other
/// region. Its entry considers those regions failed, may not move their shares faster than the cap,
/// and refuses requests (ShiftLimited) in the middle of a planned replacement.
void ControlState::updateAllRegionsKnown()
{
    if (allRegionsKnown_ || !gossip_.self_.isReady_)
        return;
    const auto now = steadyNow();
    const auto &rows = gossip_.table_.rows_;
    const bool allKnown = std::all_of(rows.begin(), rows.end(), [&](const auto &entry) {
        const auto &[key, row] = entry;
        const bool isOther = key.kind_ == Model::RowKind::Region && !row.deleted_
                             && key.name_ != settings_.region_.value();
        return !isOther || Peers::isKnown(gossip_.members_, Model::RegionId(key.name_), now);
    });
    if (!allKnown && now - startedAt_ < regionDiscoveryTimeout)
        return;
    allRegionsKnown_ = true;
    recordChange();
}

void ControlState::onTableChanged()
{
    gossip_.self_.controlVersion_ = gossip_.table_.version_;
    Observe::logEvent(Event::TableApplied,
                      {{"version", std::to_string(gossip_.table_.version_.value())}});
    recordChange();
}

void ControlState::recordChange()
{
    ++changeCount_;
    changedAt_ = steadyNow();
    changed_.notify_all();
}

void ControlState::recordUrgentChange()
{
    const std::size_t fingerprint = urgentFingerprint();
    if (fingerprint == lastUrgentFingerprint_)
        return;
    lastUrgentFingerprint_ = fingerprint;
    recordChange();
}

void ControlState::onSubscriberConnected()
{
    const std::lock_guard lock(mutex_);
    ++subscribers_;
}

void ControlState::onSubscriberDisconnected()
{
    const std::lock_guard lock(mutex_);
    --subscribers_;
    changed_.notify_all();
}

void ControlState::waitForSubscribersToDisconnect(Milliseconds timeout)
{
    std::unique_lock lock(mutex_);
    changed_.wait_for(lock, timeout, [this] {
        return subscribers_ == 0;
    });
}

void ControlState::close()
{
    const std::lock_guard lock(mutex_);
    isClosed_ = true;
    changed_.notify_all();
}

} // namespace Controld
