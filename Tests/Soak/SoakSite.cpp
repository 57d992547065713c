#include "SoakSite.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>

namespace Soak {

using Model::Milliseconds;
using Model::SteadyTime;
using nlohmann::json;
using PlatformStandIns::StoreFaults;
using PlatformStandIns::TargetFaults;

namespace {

constexpr std::array<const char *, 4> wayModes = {"freeze", "black-hole", "cut", "lose-answers"};
constexpr std::array<const char *, 4> domains = {"r-a", "s-a", "r-b", "s-b"};
/// Host numbers in the fleet's network that no instance uses.
constexpr int proxyHost = 250;
constexpr int waysHost = 240;
constexpr int storePort = 9000;
constexpr int targetPort = 9200;
constexpr int peerPort = 10000;
/// One-way delay between instances, which allows answers to be reordered.
constexpr int peerDelayUs = 2000;
constexpr int targetDelayUs = 1000;
/// The platform's timeout for stopping a process, with some slack for this program.
constexpr Milliseconds stopTimeout{6500};
/// A started process is initialized within this time.
constexpr Milliseconds startTimeout{2000};

std::uint16_t port(int base, std::size_t number)
{
    return static_cast<std::uint16_t>(base + static_cast<int>(number));
}

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

std::optional<SteadyTime> SoakSite::Disturbance::calmSince() const
{
    if (count_ > 0)
        return std::nullopt;
    return endedAt_;
}

SoakSite::SoakSite(const PlanSize &size)
    : size_(size)
    , proxyControl_{fleet_.host(proxyHost), 7900}
{
}

Model::Address SoakSite::storeWay(std::size_t instance) const
{
    return {fleet_.host(waysHost), port(storePort, instance)};
}

Model::Address SoakSite::targetWay(std::size_t target) const
{
    return {fleet_.host(waysHost), port(targetPort, target)};
}

/// Returns the settings by which an instance dials a separate proxy port for each peer.
std::string SoakSite::peerSettings(std::size_t instance) const
{
    std::string text = "[dial]\n";
    for (std::size_t other = 0; other < size_.instances_; ++other) {
        const Model::Address way{fleet_.host(waysHost),
                                 port(peerPort, instance * size_.instances_ + other)};
        text += fleet_.host(static_cast<int>(other) + 2) + ":8146 = " + toText(way) + "\n";
    }
    return text;
}

void SoakSite::writeWays()
{
    std::ofstream file(fleet_.directory() + "/ways");
    for (std::size_t i = 0; i < size_.instances_; ++i) {
        file << toText(storeWay(i)) << " " << toText(fleet_.store_.address()) << " 0 store-" << i
             << "\n";
        for (std::size_t other = 0; other < size_.instances_; ++other) {
            const Model::Address way{fleet_.host(waysHost),
                                     port(peerPort, i * size_.instances_ + other)};
            file << toText(way) << " " << fleet_.host(static_cast<int>(other) + 2) << ":8146 "
                 << peerDelayUs << " peers-" << i << "\n";
        }
    }
    for (std::size_t i = 0; i < size_.targets_; ++i) {
        file << toText(targetWay(i)) << " " << toText(fleet_.targets_[i]->address()) << " "
             << targetDelayUs << " target-" << i << "\n";
    }
}

bool SoakSite::start()
{
    fleet_.configure(version_);
    for (std::size_t i = 0; i < size_.targets_; ++i) {
        fleet_.targets_.push_back(std::make_unique<PlatformStandIns::Target>(
            "127.0.0.1", "t" + std::to_string(++lastIncarnation_)));
        fleet_.targets_.back()->setFaults(withPoison({}));
        fleet_.targets_.back()->setRestartCallback([this, i](const std::string &earlier) {
            registerTarget(i, "ready");
            fleet_.store_.remove("servers", earlier);
        });
        registerTarget(i, "ready");
    }
    writeWays();
    const std::string bin = std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
    proxy_ = std::make_unique<Harness::Process>(
        "proxy",
        std::vector<std::string>{bin + "/FaultProxy", "--address=" + toText(proxyControl_),
                                 "--ways=" + fleet_.directory() + "/ways"},
        fleet_.directory() + "/proxy.log");
    proxy_->start();
    for (std::size_t i = 0; i < size_.instances_; ++i)
        fleet_.startOne(storeWay(i), peerSettings(i));
    return fleet_.waitUntilServing();
}

std::vector<Model::Address> SoakSite::lookups() const
{
    std::vector<Model::Address> addresses;
    for (const auto &instance : fleet_.instances_)
        addresses.push_back(instance->lookup());
    return addresses;
}

void SoakSite::switchWays(const std::string &group, const std::string &mode)
{
    Http::SimpleRequest request;
    request.address_ = proxyControl_;
    request.method_ = Http::http::verb::post;
    request.target_ = "/standin/switch";
    request.body_ = json{{"group", group}, {"mode", mode}}.dump();
    if (!Http::sendAndWait(request))
        errors_.push_back("fault proxy did not answer the switch request");
}

void SoakSite::registerTarget(std::size_t number, const std::string &state)
{
    const auto &target = *fleet_.targets_[number];
    json entry = json::parse(target.registration("s", domains[number % domains.size()], state));
    entry["address"] = toText(targetWay(number));
    fleet_.store_.put("servers", target.id(), entry.dump());
}

void SoakSite::setStoreFaults(const StoreFaults &faults, int change)
{
    fleet_.store_.setFaults(faults);
    disturb(store_, change);
}

void SoakSite::disturb(Disturbance &disturbance, int change)
{
    disturbance.count_ += change;
    disturbance.endedAt_ = steadyNow();
}

void SoakSite::disturb(std::size_t instance, int change)
{
    disturb(instances_[instance], change);
}

void SoakSite::disturbProcess(std::size_t instance, int change)
{
    disturb(processes_[instance], change);
    disturb(instance, change);
}

std::optional<SteadyTime> SoakSite::targetWayCalmSince(std::size_t target) const
{
    const auto found = targetWays_.find(target);
    return found == targetWays_.end() ? Model::distantPast : found->second.calmSince();
}

std::optional<SteadyTime> SoakSite::calmSince(const Model::Address &entry) const
{
    const auto number = numberOf(entry);
    if (!number)
        return std::nullopt;
    const auto found = instances_.find(*number);
    return found == instances_.end() ? Model::distantPast : found->second.calmSince();
}

std::optional<SteadyTime> SoakSite::storeCalmSince() const
{
    return store_.calmSince();
}

std::optional<SteadyTime> SoakSite::downSince(const std::string &entry) const
{
    const auto found = downSince_.find(entry);
    if (found == downSince_.end())
        return std::nullopt;
    return found->second;
}

bool SoakSite::isAnyDownFor(Milliseconds duration, SteadyTime at) const
{
    return std::any_of(downSince_.begin(), downSince_.end(), [&](const auto &entry) {
        return at > entry.second + duration;
    });
}

/// Starts a planned stop: the process must exit by itself, in time and with status 0.
void SoakSite::stopInstance(std::size_t number)
{
    auto &instance = *fleet_.instances_[number];
    const auto stop = stops_.find(number);
    if (stop != stops_.end())
        stop->second.mustStart_ = false;
    if (!instance.process_->isRunning() || stop != stops_.end())
        return;
    Harness::waitUntil(startTimeout, [&] {
        return instance.process_->handlesSignal(SIGTERM);
    });
    instance.process_->signal(SIGTERM);
    stops_[number] = {steadyNow(), false};
}

/// Tells whether a stop is over. A process that is paused meanwhile may exit with an error, and the
/// time limit does not apply while the host schedules processes late.
bool SoakSite::hasStopped(std::size_t number, const Stop &stop)
{
    auto &instance = *fleet_.instances_[number];
    const auto code = instance.process_->wait(Milliseconds(0));
    const bool isPaused = pauseCount_[number] > 0;
    const bool isLate = steadyNow() - stop.requestedAt_ > stopTimeout;
    if (!code && !isPaused && !isLate)
        return false;
    const bool isJudged = !isPaused && (code || !callers_ || callers_->isOnTime());
    if (isJudged && code.value_or(-1) != 0) {
        errors_.push_back(instance.name_
                          + " did not exit cleanly; status: " + std::to_string(code.value_or(-1)));
    }
    instance.process_->kill();
    return true;
}

void SoakSite::watchStops()
{
    for (auto stop = stops_.begin(); stop != stops_.end();) {
        const std::size_t number = stop->first;
        if (!hasStopped(number, stop->second)) {
            ++stop;
            continue;
        }
        const bool mustStart = stop->second.mustStart_;
        stop = stops_.erase(stop);
        if (mustStart)
            startInstance(number);
    }
}

void SoakSite::startInstance(std::size_t number)
{
    const auto stop = stops_.find(number);
    if (stop != stops_.end()) {
        stop->second.mustStart_ = true;
        return;
    }
    auto &instance = *fleet_.instances_[number];
    downSince_.erase(toText(instance.entry()));
    pauseCount_[number] = 0;
    disturbProcess(number, 0);
    instance.process_->start();
}

void SoakSite::replaceTarget(std::size_t number)
{
    auto &target = *fleet_.targets_[number];
    const std::string before = target.id();
    target.become("t" + std::to_string(++lastIncarnation_));
    registerTarget(number, "ready");
    fleet_.store_.remove("servers", before);
}

void SoakSite::leaveTarget(std::size_t number, bool isAnnounced)
{
    if (isAnnounced) {
        registerTarget(number, "draining");
    } else {
        fleet_.store_.remove("servers", fleet_.targets_[number]->id());
    }
    leftAt_[fleet_.targets_[number]->id()] = steadyNow();
}

std::map<std::string, std::vector<SteadyTime>> SoakSite::crashTimes()
{
    std::map<std::string, std::vector<SteadyTime>> all;
    for (const auto &target : fleet_.targets_) {
        for (const auto &end : target->ends())
            all[end.path_].push_back(end.at_);
    }
    for (auto &[path, times] : all)
        std::sort(times.begin(), times.end());
    return all;
}

void SoakSite::begin(const Fault &fault)
{
    const auto subject = fault.subject_;
    const std::string number = std::to_string(subject);
    const char *mode = wayModes[fault.variant_ % wayModes.size()];
    using enum FaultKind;
    switch (fault.kind_) {
    case InstanceKilled:
    case InstanceStopped: {
        disturbProcess(subject, 1);
        auto &instance = *fleet_.instances_[subject];
        if (downCount_[subject]++ > 0)
            return;
        if (fault.kind_ == InstanceKilled) {
            instance.process_->kill();
            stops_.erase(subject);
        }
        stopInstance(subject);
        downSince_[toText(instance.entry())] = steadyNow();
        return;
    }
    case InstancePaused:
        disturbProcess(subject, 1);
        ++pauseCount_[subject];
        fleet_.instances_[subject]->process_->signal(SIGSTOP);
        return;
    case StoreRefuses:
        return setStoreFaults({.isRefusing_ = true}, 1);
    case StoreLosesAnswers:
        return setStoreFaults({.losesAnswers_ = true}, 1);
    case StoreForgets:
        return setStoreFaults({.hasDiscardedHistory_ = true}, 1);
    case StoreCopied:
        return fleet_.store_.save();
    case StoreReturns:
        fleet_.store_.returnFromCopy();
        return disturb(store_, 1);
    case StoreWay:
        disturb(subject, 1);
        return switchWays("store-" + number, mode);
    case PeerWays:
        disturb(subject, 1);
        return switchWays("peers-" + number, mode);
    case TargetWay:
        disturb(targetWays_[subject], 1);
        return switchWays("target-" + number, mode);
    case TargetMisbehaves: {
        TargetFaults faults;
        faults.isShedding_ = fault.variant_ == 0;
        faults.losesAnswers_ = fault.variant_ == 1;
        faults.isTruncating_ = fault.variant_ == 2;
        faults.isForeign_ = fault.variant_ == 3;
        return fleet_.targets_[subject]->setFaults(withPoison(faults));
    }
    case TargetReplaced:
        if (!leavingTargets_.contains(subject))
            replaceTarget(subject);
        return;
    case TargetLeaves:
        if (leavingTargets_.insert(subject).second)
            leaveTarget(subject, fault.variant_ % 3 != 0);
        return;
    case TableEdited:
        newestRoute_ = "added" + std::to_string(++version_);
        fleet_.configure(version_, newestRoute_);
        editedAt_ = steadyNow();
        return;
    case DomainDrained: {
        const std::string domain = domains[subject % domains.size()];
        if (++drains_[domain] == 1)
            fleet_.store_.put("op", "evacuate/" + domain, "{}");
        return;
    }
    case RequestEndsTargets:
        return callers_->beginPoison(poisonPathPrefix + number);
    case TargetPauses:
    case TargetAnnouncesLeave:
    case RegistrationsLapse:
        return beginTerms(fault);
    }
}

void SoakSite::end(const Fault &fault)
{
    const auto subject = fault.subject_;
    const std::string number = std::to_string(subject);
    using enum FaultKind;
    switch (fault.kind_) {
    case InstanceKilled:
    case InstanceStopped:
        if (--downCount_[subject] == 0)
            startInstance(subject);
        return disturbProcess(subject, -1);
    case InstancePaused:
        if (--pauseCount_[subject] <= 0)
            fleet_.instances_[subject]->process_->signal(SIGCONT);
        return disturbProcess(subject, -1);
    case StoreRefuses:
    case StoreLosesAnswers:
    case StoreForgets:
        return setStoreFaults({}, -1);
    case StoreReturns:
        fleet_.store_.writeAgain();
        return disturb(store_, -1);
    case StoreWay:
        switchWays("store-" + number, "pass");
        return disturb(subject, -1);
    case PeerWays:
        switchWays("peers-" + number, "pass");
        return disturb(subject, -1);
    case TargetWay:
        switchWays("target-" + number, "pass");
        return disturb(targetWays_[subject], -1);
    case TargetMisbehaves:
        return fleet_.targets_[subject]->setFaults(withPoison({}));
    case TargetLeaves:
        if (leavingTargets_.erase(subject) > 0)
            replaceTarget(subject);
        return;
    case DomainDrained: {
        const std::string domain = domains[subject % domains.size()];
        if (--drains_[domain] == 0)
            fleet_.store_.remove("op", "evacuate/" + domain);
        return;
    }
    case RequestEndsTargets:
        return callers_->endPoison(poisonPathPrefix + number);
    case TargetPauses:
    case TargetAnnouncesLeave:
    case RegistrationsLapse:
        return endTerms(fault);
    case TargetReplaced:
    case TableEdited:
    case StoreCopied:
        return;
    }
}

} // namespace Soak
