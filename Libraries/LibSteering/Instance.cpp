#include "InstanceParts.h"

#include <ctime>
#include <unistd.h>

namespace Steering {

using Http::Task;
using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;
using Observe::Event;
namespace http = Http::http;

namespace {

/// Interval between refreshes of idle connections, which get too old within a second.
constexpr Milliseconds idleRefreshInterval{500};

/// CLOCK_BOOTTIME gets ahead of CLOCK_MONOTONIC by more than this only while the process is
/// suspended.
constexpr Microseconds suspendThreshold{300000};

/// Durations of the steps of a graceful stop: spreading the leaving state to peers and callers,
/// then still accepting connections. Together with the longest request they stay below the time
/// after which the platform kills the process.
constexpr Milliseconds leavingSpreadTime{1700};
constexpr Milliseconds leavingAcceptTime{800};
constexpr Milliseconds stopPollInterval{20};
/// The process exits at least this long before the platform would kill it.
constexpr Milliseconds stopMargin{400};

Microseconds clockGap()
{
    timespec boot{};
    timespec steady{};
    clock_gettime(CLOCK_BOOTTIME, &boot);
    clock_gettime(CLOCK_MONOTONIC, &steady);
    return Microseconds((boot.tv_sec - steady.tv_sec) * 1000000LL
                        + (boot.tv_nsec - steady.tv_nsec) / 1000);
}

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

Instance::Instance(const Observe::Settings &settings, std::string settingsPath)
    : settings_(settings)
    , settingsPath_(std::move(settingsPath))
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
    , storePool_(context_)
    , log_(STDOUT_FILENO)
    , resources_(settings_.size_)
{
    store_.address_ = Observe::dialAddress(settings_, settings_.platform_);
    store_.timeout_ = settings_.platformTimeout_;
    store_.pool_ = &storePool_;
}

Instance::~Instance() = default;

void Instance::usePlatform(PlatformPort port)
{
    port_ = std::move(port);
    applyTerms(settings_.platformTerms_);
    parts_ = std::make_unique<Parts>(*this);
    boundHeldBytes();
}

void Instance::applyTerms(const std::string &text)
{
    port_.terms_ = port_.parseTerms_(text);
    const auto &terms = port_.terms_;
    std::string defaulted;
    for (const auto &name : terms.defaulted_)
        defaulted += (defaulted.empty() ? "" : ",") + name;
    log_.line(terms.defaulted_.empty() ? Event::TermsApplied : Event::TermsDefaulted)
        .add("stop_grace_ms", terms.stopGrace_.count())
        .add("max_lookup_ttl_ms", terms.maxLookupTtl_.count())
        .add("retry_share", std::to_string(terms.retryShare_))
        .add("retry_extra", std::to_string(terms.retryExtra_))
        .add("region_shift_cap", std::to_string(terms.regionShiftCap_.value()))
        .add("defaulted", defaulted);
}

/// Bounds what the callers' server and the dispatcher hold, as far as the instance's size is known.
void Instance::boundHeldBytes()
{
    const auto bytes = Policy::heldBytesLimit(settings_.size_);
    const auto connections = Policy::connectionLimit(settings_.size_);
    parts_->dispatcher_.setHeldBytes(bytes, [this] {
        return parts_->entry_.heldBytes() + parts_->peers_.heldBytes();
    });
    Http::ServerBounds bounds;
    if (bytes) {
        bounds.mayHold_ = [this](std::size_t more) {
            return Policy::mayHold(parts_->dispatcher_.heldBytes(),
                                   Policy::Bytes(static_cast<std::int64_t>(more)));
        };
    }
    if (connections) {
        bounds.mayOpen_ = [this, connections] {
            return Policy::verdictOnConnection(openDescriptors(), connections)
                   == Model::ResultCode::Ok;
        };
    }
    bounds.onRefused_ = [this](Model::ResultCode code) {
        parts_->dispatcher_.noteRefusedUnread(code);
    };
    bounds.waitingAnswerBytes_ = static_cast<std::size_t>(Policy::maxUnreadAnswers.value());
    bounds.lingeringRefusals_ = Policy::lingeringRefusals(settings_.size_);
    parts_->entry_.setBounds(std::move(bounds));
}

std::size_t Instance::openDescriptors() const
{
    return parts_->entry_.openSessions() + parts_->dispatcher_.openConnections();
}

bool Instance::start()
{
    const bool isListening = parts_->entry_.listen(settings_.addresses_.entry_)
                             && parts_->lookup_.listen(settings_.addresses_.lookup_)
                             && parts_->ready_.listen(settings_.ready_)
                             && parts_->admin_.listen(settings_.admin_) && parts_->peers_.start();
    if (!isListening) {
        log_.line(Event::ListenFailed).add("reason", toText(Model::lastReason()));
        log_.flush();
        return false;
    }
    startedAt_ = steadyNow();
    clockGap_ = clockGap();
    log_.line(Event::Started)
        .add("instance", settings_.instance_.value())
        .add("domain", settings_.domain_.value())
        .add("region", settings_.region_.value());
    parts_->peers_.setStateChangedCallback([this] {
        platformStateChanged();
    });
    parts_->peers_.setLoadExchange(
        [this] {
            return parts_->targetRegistry_.loadsToSend(steadyNow());
        },
        [this](const auto &loads) {
            parts_->targetRegistry_.receiveLoads(loads, steadyNow());
        });
    parts_->peers_.setLimitExchange(
        [this] {
            return parts_->targetRegistry_.limitsToSend(steadyNow());
        },
        [this](const auto &reports, const std::string &peer) {
            parts_->targetRegistry_.receiveLimits(reports, peer, steadyNow());
        });
    parts_->peers_.setDemandExchange(
        [this] {
            return parts_->shortage_.demandToSend(steadyNow());
        },
        [this](const auto &items, const Model::InstanceId &peer) {
            parts_->shortage_.receiveDemand(items, peer, steadyNow());
        });
    parts_->peers_.setCrashExchange(
        [this] {
            return parts_->guard_.news(steadyNow());
        },
        [this](const auto &news, bool isPeerReady) {
            parts_->guard_.hear(news, isPeerReady, steadyNow());
        });
    parts_->peers_.setStoreCalls(
        [this](StoreTable table, SteadyTime time) {
            return parts_->follower_.hasWaitedSince(table, time);
        },
        [this](StoreTable table, const Model::InstanceId &peer, Microseconds behindFor) {
            parts_->follower_.restartWaitingCall(table, peer, behindFor);
        });
    parts_->peers_.setRemovalExchange(
        [this] {
            return parts_->targetRegistry_.removalsToSend(steadyNow());
        },
        [this](const RemovalAges &ages) {
            parts_->targetRegistry_.receiveRemovals(ages, steadyNow());
        });
    parts_->dispatcher_.setTargetsFreshness([this] {
        return TargetsFreshness{parts_->follower_.confirmedAt(StoreTable::Targets),
                                parts_->peers_.upToDateAt()};
    });
    parts_->quotas_.start();
    parts_->follower_.start();
    waitForSignal();
    Observe::unblockStopSignals();
    Http::asio::co_spawn(context_, tickLoop(), Http::asio::detached);
    Http::asio::co_spawn(context_, discoverInstances(), Http::asio::detached);
    Http::asio::co_spawn(context_, syncQuarantines(), Http::asio::detached);
    return true;
}

void Instance::run()
{
    context_.run();
    // A second stop signal must not kill the process while the first one's handler is removed.
    Observe::blockStopSignals();
    log_.line(Event::Stopped)
        .add("in_progress", static_cast<std::int64_t>(parts_->dispatcher_.inProgress()));
    log_.flush();
}

void Instance::waitForSignal()
{
    signals_.async_wait([this](const Http::ErrorCode &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            reload();
        } else if (!isStopping_) {
            isStopping_ = true;
            Http::asio::co_spawn(context_, stopGracefully(), Http::asio::detached);
        }
        waitForSignal();
    });
}

Task<void> Instance::tickLoop()
{
    while (true) {
        co_await Http::sleepFor(Policy::tickPeriod);
        const auto now = steadyNow();
        detectSuspend();
        parts_->peers_.setStoreStanding(parts_->follower_.standing());
        parts_->peers_.fetchIfBehind();
        parts_->targetRegistry_.dropMissing(now, parts_->peers_.storeEvidence());
        parts_->targetRegistry_.updateLimits(parts_->peers_.localInstance(),
                                             parts_->peers_.members(), now);
        parts_->dispatcher_.sweepAbandoned();
        parts_->dispatcher_.probeReach();
        parts_->peers_.setPartitioned(parts_->reach_.isPartitioned(now));
        parts_->guard_.judge(now);
        parts_->shortage_.update(
            Policy::entriesIn(parts_->peers_.members(), settings_.region_, now), now);
        if (now - idleRefreshedAt_ >= idleRefreshInterval) {
            idleRefreshedAt_ = now;
            parts_->dispatcher_.refreshIdleConnections(parts_->targetRegistry_);
        }
        updateEntryCounts();
        updateReadiness();
        if (resources_.isDue(now))
            measureResources();
        log_.flush();
    }
}

void Instance::measureResources()
{
    ResourceCount count = countOwnResources();
    count.descriptors_ = openDescriptors();
    count.linkBytes_ = parts_->dispatcher_.counters().relayedBytes_;
    resources_.sample(count, steadyNow());
    constexpr double percent = 100;
    constexpr double maxPercent = 255;
    const double use = std::min(tightestUse(resources_.use()) * percent, maxPercent);
    if (settings_.size_.isKnown())
        parts_->peers_.setUse(static_cast<std::uint8_t>(use));
}

void Instance::detectSuspend()
{
    const auto gap = clockGap();
    if (gap - clockGap_ > suspendThreshold) {
        log_.line(Event::ClockGap).add("stood_still_ms", gap - clockGap_);
        parts_->peers_.markMembersUnconfirmed();
        parts_->dispatcher_.dropAllIdleConnections(parts_->targetRegistry_);
        storePool_.dropIdle(store_.address_);
    }
    clockGap_ = gap;
}

void Instance::updateEntryCounts()
{
    const auto &table = parts_->platformState_.table();
    if (!table)
        return;
    const auto now = steadyNow();
    const auto &members = parts_->peers_.members();
    std::vector<std::size_t> entries;
    for (const auto &region : table->regions())
        entries.push_back(Policy::entriesIn(members, region.id_, now));
    std::size_t all = 0;
    for (const std::size_t count : entries)
        all += count;
    parts_->placementEngine_.setEntries(std::move(entries));
    parts_->dispatcher_.setInstances(all);
    parts_->quotas_.setInstances(all);
}

void Instance::platformStateChanged()
{
    auto &platformState = parts_->platformState_;
    if (seenTableChanges_ != platformState.tableChanges()) {
        seenTableChanges_ = platformState.tableChanges();
        parts_->placementEngine_.tableChanged();
        parts_->quotas_.tableChanged();
        parts_->entry_.setLimits(entryLimits(platformState.table()->callerLimits()));
    }
    noteStoreEra();
    parts_->peers_.setStoreStanding(parts_->follower_.standing());
    parts_->targetRegistry_.update(steadyNow(), parts_->peers_.storeEvidence());
    parts_->dispatcher_.dropIdleConnections(parts_->targetRegistry_.takeRestarted());
    updateEntryCounts();
    updateReadiness();
    parts_->peers_.announce();
}

/// Writes this instance's rows again once the store has returned from a copy that may lack them.
/// All instances know the quarantines, so the store readers' writes suffice.
void Instance::noteStoreEra()
{
    const auto era = parts_->platformState_.storeEra();
    const auto earlier = std::exchange(storeEra_, era);
    if (!earlier || era <= *earlier)
        return;
    isRecordStored_ = false;
    if (parts_->follower_.contact() == Policy::StoreContact::Reached)
        parts_->guard_.requeueAllWrites();
}

void Instance::updateReadiness()
{
    const bool isReady = !isStopping_ && parts_->platformState_.table()
                         && parts_->platformState_.replica(StoreTable::Targets).isKnown()
                         && parts_->guard_.isInformed();
    if (isReady == isReady_)
        return;
    isReady_ = isReady;
    parts_->peers_.setReady(isReady);
    if (isReady)
        log_.line(Event::Ready);
}

void Instance::reload()
{
    const auto check = Observe::settingsFromFile(settingsPath_, Observe::SettingUse::OneProcess);
    if (!check.settings_) {
        for (const auto &mistake : check.mistakes_)
            log_.line(Event::SettingsReloadRefused).add("mistake", mistake);
        return;
    }
    const auto &fresh = *check.settings_;
    const bool needsRestart
        = fresh.addresses_ != settings_.addresses_ || fresh.instance_ != settings_.instance_
          || fresh.platform_ != settings_.platform_ || fresh.domains_ != settings_.domains_;
    const bool hasNewSeeds = fresh.seeds_ != settings_.seeds_;
    settings_.seeds_ = fresh.seeds_;
    if (fresh.platformTerms_ != settings_.platformTerms_) {
        settings_.platformTerms_ = fresh.platformTerms_;
        applyTerms(fresh.platformTerms_);
        parts_->platformState_.termsChanged();
        platformStateChanged();
    }
    log_.line(Event::SettingsReloaded)
        .add("seeds", hasNewSeeds ? "changed" : "same")
        .add("needs_restart", needsRestart ? "yes" : "no");
}

Task<void> Instance::stopGracefully()
{
    const auto endAt = steadyNow() + port_.terms_.stopGrace_ - stopMargin;
    log_.line(Event::StopRequested)
        .add("in_progress", static_cast<std::int64_t>(parts_->dispatcher_.inProgress()));
    // Callers are no longer directed here; requests that still arrive are served.
    updateReadiness();
    parts_->peers_.setLeaving();
    parts_->entry_.beginLeaving();
    if (isRecordStored_) {
        Http::asio::co_spawn(
            context_,
            [](const PlatformPort &port, std::string id) -> Task<void> {
                co_await port.writeInstance_(std::move(id), std::nullopt);
            }(port_, settings_.instance_.value()),
            Http::asio::detached);
    }
    co_await Http::sleepFor(leavingSpreadTime);
    parts_->entry_.closeIdle();
    co_await Http::sleepFor(leavingAcceptTime);
    parts_->entry_.stopAccepting();
    // Callers are directed elsewhere by now; what still arrives began to be sent before.
    parts_->dispatcher_.setExitTime(endAt);
    while (steadyNow() < endAt) {
        parts_->entry_.closeIdle();
        // Peers may have forwarded some of the requests in progress.
        if (parts_->entry_.openSessions() == 0 && parts_->dispatcher_.inProgress() == 0)
            break;
        co_await Http::sleepFor(stopPollInterval);
    }
    context_.stop();
}

} // namespace Steering
