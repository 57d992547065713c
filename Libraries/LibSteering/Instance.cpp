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

/// How often spare connections are looked after: they get too old within a second.
constexpr Milliseconds sparesPause{500};

/// A clock that counts standstills gets ahead by more than this only while the process stood still.
constexpr Microseconds standstill{300000};

/// How long callers may keep an answer of a look-up.
constexpr Milliseconds lookupLife{1500};
/// A fresh instance waits this long for its peers before it names entries alone.
constexpr Milliseconds peerPatience{1500};
constexpr std::size_t mostEntriesNamed = 64;

/// How often an instance looks whether it has to find others through the store: a round of asking
/// seeds and its answers fit into it.
constexpr Milliseconds introductionPause{500};
/// Until then everybody that starts with the others takes itself for a reader.
constexpr Milliseconds settlingTime{3000};
/// Between two reads of the instances' records while nobody is known, and while some region is
/// silent: regions may lose each other for an hour and find each other by these.
constexpr Milliseconds pauseWhileAlone{2000};
constexpr Milliseconds pauseWhileApart{30000};

/// How long a fresh instance waits to hear which requests are in quarantine, where neither the
/// store nor a ready peer tells; and the pause between two attempts to read or write it.
constexpr Milliseconds quarantinePatience{1500};
constexpr Milliseconds quarantinePause{300};

/// A stop takes these steps; together with the longest request they stay inside the time after
/// which a stopped process is killed.
constexpr Milliseconds spreadTime{1700};
constexpr Milliseconds acceptTime{800};
constexpr Milliseconds stopStep{20};
/// What is left of the platform's patience when the process ends at the latest.
constexpr Milliseconds stopReserve{400};

Microseconds gapBetweenClocks()
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

Model::WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}

constexpr std::string_view quarantinesPath = "/quarantines";

} // namespace

Instance::Instance(const Observe::Settings &settings, std::string settingsPath)
    : settings_(settings)
    , settingsPath_(std::move(settingsPath))
    , signals_(context_, SIGTERM, SIGINT, SIGHUP)
    , storePool_(context_)
    , log_(STDOUT_FILENO)
{
    store_.address_ = Observe::dialAddress(settings_, settings_.platform_);
    store_.timeout_ = settings_.platformTimeout_;
    store_.pool_ = &storePool_;
}

Instance::~Instance() = default;

void Instance::usePlatform(PlatformPort port)
{
    port_ = std::move(port);
    parts_ = std::make_unique<Parts>(*this);
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
    clockGap_ = gapBetweenClocks();
    log_.line(Event::Started)
        .add("instance", settings_.instance_.value())
        .add("domain", settings_.domain_.value())
        .add("region", settings_.region_.value());
    parts_->peers_.setKnowledgeChanged([this] {
        knowledgeChanged();
    });
    parts_->peers_.setLoadNews(
        [this] {
            return parts_->book_.loadsToTell(steadyNow());
        },
        [this](const auto &loads) {
            parts_->book_.hearLoads(loads, steadyNow());
        });
    parts_->peers_.setCrashNews(
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
        [this](StoreTable table) {
            parts_->follower_.askAnew(table);
        });
    parts_->peers_.setRemovalNews(
        [this] {
            return parts_->book_.removalsToTell(steadyNow());
        },
        [this](const RemovalAges &ages) {
            parts_->book_.hearRemovals(ages, steadyNow());
        });
    parts_->dispatcher_.setTargetsNews([this] {
        return TargetsNews{parts_->follower_.confirmedAt(StoreTable::Targets),
                           parts_->peers_.informedAt()};
    });
    parts_->follower_.start();
    awaitSignal();
    Observe::takeStopSignals();
    Http::asio::co_spawn(context_, tickLoop(), Http::asio::detached);
    Http::asio::co_spawn(context_, introduce(), Http::asio::detached);
    Http::asio::co_spawn(context_, keepQuarantines(), Http::asio::detached);
    return true;
}

void Instance::run()
{
    context_.run();
    // A second stop signal must not end the process while the first one's handler is taken down.
    Observe::blockStopSignals();
    log_.line(Event::Stopped)
        .add("in_progress", static_cast<std::int64_t>(parts_->dispatcher_.inProgress()));
    log_.flush();
}

void Instance::awaitSignal()
{
    signals_.async_wait([this](const Http::ErrorCode &error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP) {
            reload();
        } else if (!isStopping_) {
            isStopping_ = true;
            Http::asio::co_spawn(context_, stopGently(), Http::asio::detached);
        }
        awaitSignal();
    });
}

/// Finds other instances through the store where the seeds do not lead to any, and makes this one
/// known there if it is one of those that read the store: they are enough to be found by.
Task<void> Instance::introduce()
{
    auto readAt = startedAt_;
    while (!isStopping_) {
        co_await Http::sleepFor(introductionPause);
        const auto now = steadyNow();
        const bool isAlone = !parts_->peers_.knowsAnyone();
        const bool isReader = parts_->follower_.contact() == Policy::StoreContact::Reached;
        const bool isSettled = now - startedAt_ > settlingTime;
        if (!isIntroduced_ && isReader && (isAlone || isSettled)) {
            isIntroduced_ = co_await writeOwnRecord();
        }
        const auto pause = isAlone ? pauseWhileAlone : pauseWhileApart;
        const bool isDue = now - readAt > pause || (isAlone && readAt == startedAt_);
        if (isDue && (isAlone || !parts_->peers_.knowsEveryRegion())) {
            readAt = now;
            co_await readRecords();
        }
    }
}

Task<bool> Instance::writeOwnRecord()
{
    const bool isWritten
        = co_await port_.writeInstance_(settings_.instance_.value(), parts_->peers_.ownRecord());
    if (!isWritten)
        logInstancesLost();
    co_return isWritten;
}

Task<void> Instance::readRecords()
{
    const auto records = co_await port_.readInstances_();
    if (!records) {
        logInstancesLost();
        co_return;
    }
    for (const auto &record : *records)
        parts_->peers_.addRecord(record);
}

void Instance::logInstancesLost()
{
    log_.line(Event::StoreLost)
        .add("table", "instances")
        .add("reason", toText(Model::lastReason()));
}

/// Learns which requests are in quarantine when it starts, from the store or from a ready peer, and
/// writes what changes.
///
/// What goes wrong without the store: all instances are killed at the same time, none knows what
/// ended targets before, and targets end under it again.
Task<void> Instance::keepQuarantines()
{
    while (!parts_->guard_.isInformed()) {
        const auto records = co_await port_.readQuarantines_();
        if (records) {
            parts_->guard_.takeRecords(*records, steadyNow(), wallNow());
            break;
        }
        log_.line(Event::QuarantinesUnread).add("reason", toText(Model::lastReason()));
        if (steadyNow() - startedAt_ > quarantinePatience)
            parts_->guard_.setInformed();
        co_await Http::sleepFor(quarantinePause);
    }
    while (!isStopping_) {
        co_await Http::sleepFor(quarantinePause);
        co_await writeQuarantines();
    }
}

Task<void> Instance::writeQuarantines()
{
    const auto records = parts_->guard_.takeUnwritten(steadyNow(), wallNow());
    for (const auto &record : records) {
        const bool isWritten = co_await port_.writeQuarantine_(toText(record.print_), record.text_);
        if (isWritten)
            continue;
        log_.line(Event::QuarantinesUnread).add("reason", toText(Model::lastReason()));
        parts_->guard_.writeAgain(record.print_);
    }
}

Task<void> Instance::tickLoop()
{
    while (true) {
        co_await Http::sleepFor(Policy::tickPeriod);
        const auto now = steadyNow();
        checkClocks();
        parts_->peers_.setStoreStanding(parts_->follower_.standing());
        parts_->peers_.lookForNews();
        parts_->book_.dropMissing(now, parts_->peers_.storeEvidence());
        parts_->dispatcher_.sweepAbandoned();
        parts_->guard_.judge(now);
        if (now - sparesSeenAt_ >= sparesPause) {
            sparesSeenAt_ = now;
            parts_->dispatcher_.refreshSpares(parts_->book_);
        }
        countEntries();
        updateReadiness();
        log_.flush();
    }
}

void Instance::checkClocks()
{
    const auto gap = gapBetweenClocks();
    if (gap - clockGap_ > standstill) {
        log_.line(Event::ClockGap).add("stood_still_ms", gap - clockGap_);
        parts_->peers_.forgetAges();
        parts_->dispatcher_.dropAllIdleConnections(parts_->book_);
        storePool_.dropIdle(store_.address_);
    }
    clockGap_ = gap;
}

void Instance::countEntries()
{
    const auto &table = parts_->knowledge_.table();
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
    parts_->placer_.setEntries(std::move(entries));
    parts_->dispatcher_.setInstances(all);
}

void Instance::knowledgeChanged()
{
    auto &knowledge = parts_->knowledge_;
    if (tableSeen_ != knowledge.tableChanges()) {
        tableSeen_ = knowledge.tableChanges();
        parts_->placer_.tableChanged();
        parts_->entry_.setLimits(entryLimits(knowledge.table()->callerLimits()));
    }
    parts_->peers_.setStoreStanding(parts_->follower_.standing());
    parts_->book_.update(steadyNow(), parts_->peers_.storeEvidence());
    parts_->dispatcher_.dropIdleConnections(parts_->book_.takeRestarted());
    countEntries();
    updateReadiness();
    parts_->peers_.announce();
}

void Instance::updateReadiness()
{
    const bool isReady = !isStopping_ && parts_->knowledge_.table()
                         && parts_->knowledge_.mirror(StoreTable::Targets).isKnown()
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
    log_.line(Event::SettingsReloaded)
        .add("seeds", hasNewSeeds ? "changed" : "same")
        .add("needs_restart", needsRestart ? "yes" : "no");
}

Task<Http::Response> Instance::answerLookup(Http::IncomingRequest request)
{
    const unsigned version = request.message_.version();
    const auto query = port_.readLookup_(request.message_);
    if (!query)
        co_return Http::refusal(Model::lastReason(), version);
    const auto now = steadyNow();
    const bool hasHeard = parts_->peers_.hasAsked() || now - startedAt_ > peerPatience;
    std::vector<Policy::EntryCandidate> candidates;
    for (const auto &[id, member] : parts_->peers_.members()) {
        candidates.push_back(
            {member.instance_, member.pulse_.isReady_ && Policy::isAlive(member, now) && hasHeard});
        candidates.back().instance_.isLeaving_ = member.pulse_.isLeaving_;
    }
    auto entries = Policy::entriesOfRegion(*query, candidates);
    if (entries.empty())
        co_return Http::refusal({Model::ResultCode::NotReady, ""}, version);
    if (entries.size() > mostEntriesNamed)
        entries.resize(mostEntriesNamed);
    co_return port_.lookupAnswer_(entries, std::min(lookupLife, port_.terms_.longestLookupLife_));
}

Task<Http::Response> Instance::answerReady(Http::IncomingRequest request)
{
    const unsigned version = request.message_.version();
    if (!port_.asksReadiness_(request.message_)) {
        co_return Http::textAnswer(http::status::not_found, "text/plain", "", version);
    }
    const auto status = isReady_ ? http::status::ok : http::status::service_unavailable;
    co_return Http::textAnswer(status, "text/plain", isReady_ ? "ready\n" : "not ready\n", version);
}

Task<Http::Response> Instance::answerAdmin(Http::IncomingRequest request)
{
    const unsigned version = request.message_.version();
    if (request.message_.target().starts_with(
            Http::beast::string_view(quarantinesPath.data(), quarantinesPath.size())))
        co_return answerQuarantines(request.message_);
    if (request.message_.target() != "/metrics") {
        co_return Http::textAnswer(http::status::not_found, "text/plain",
                                   "known here: /metrics /quarantines\n", version);
    }
    co_return Http::textAnswer(http::status::ok, "text/plain; version=0.0.4", metricsText(),
                               version);
}

/// GET lists them; DELETE of /quarantines/PRINT lifts one, here and, through the peers, everywhere.
Http::Response Instance::answerQuarantines(const Http::Request &request)
{
    const auto now = steadyNow();
    const std::string target(request.target());
    if (target == quarantinesPath && request.method() == http::verb::get) {
        return Http::textAnswer(http::status::ok, "application/json", parts_->guard_.listText(now),
                                request.version());
    }
    if (request.method() != http::verb::delete_ || target.size() <= quarantinesPath.size())
        return Http::refusal({Model::ResultCode::MalformedRequest, ""}, request.version());
    const auto print
        = Policy::printFromText(std::string_view(target).substr(quarantinesPath.size() + 1));
    if (!print || !parts_->guard_.lift(*print, now))
        return Http::refusal(Model::lastReason(), request.version());
    return Http::textAnswer(http::status::ok, "application/json", parts_->guard_.listText(now),
                            request.version());
}

Task<void> Instance::stopGently()
{
    const auto endAt = steadyNow() + port_.terms_.stopGrace_ - stopReserve;
    log_.line(Event::StopRequested)
        .add("in_progress", static_cast<std::int64_t>(parts_->dispatcher_.inProgress()));
    // First nobody is sent here any more; who comes all the same is still served.
    updateReadiness();
    parts_->peers_.setLeaving();
    parts_->entry_.beginLeaving();
    if (isIntroduced_) {
        Http::asio::co_spawn(
            context_,
            [](const PlatformPort &port, std::string id) -> Task<void> {
                co_await port.writeInstance_(std::move(id), std::nullopt);
            }(port_, settings_.instance_.value()),
            Http::asio::detached);
    }
    co_await Http::sleepFor(spreadTime);
    parts_->entry_.closeIdle();
    co_await Http::sleepFor(acceptTime);
    parts_->entry_.stopAccepting();
    while (steadyNow() < endAt) {
        parts_->entry_.closeIdle();
        if (parts_->entry_.openSessions() == 0)
            break;
        co_await Http::sleepFor(stopStep);
    }
    context_.stop();
}

} // namespace Steering
