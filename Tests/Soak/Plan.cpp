#include "Plan.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace Soak {

namespace {

using Model::Milliseconds;

/// Mean time between fault starts; two or three faults are active at once.
constexpr Milliseconds meanFaultInterval{900};
constexpr Milliseconds minFaultTime{300};
constexpr Milliseconds maxFaultTime{4500};

/// Duration of a poison request's repetition, and the maximum number of them in a run.
constexpr Milliseconds minPoisonTime{8000};
constexpr Milliseconds maxPoisonTime{12000};
constexpr std::size_t maxPoisonRequests = 3;

/// Number of kinds drawn for every plan; poison requests are drawn separately.
constexpr std::size_t drawnKinds = 14;

constexpr std::array<const char *, 20> names = {"InstanceKilled",
                                                "InstancePaused",
                                                "InstanceStopped",
                                                "StoreRefuses",
                                                "StoreLosesAnswers",
                                                "StoreForgets",
                                                "StoreWay",
                                                "PeerWays",
                                                "TargetWay",
                                                "TargetMisbehaves",
                                                "TargetReplaced",
                                                "TargetLeaves",
                                                "TableEdited",
                                                "DomainDrained",
                                                "RequestEndsTargets",
                                                "TargetPauses",
                                                "TargetAnnouncesLeave",
                                                "RegistrationsLapse",
                                                "StoreCopied",
                                                "StoreReturns"};

bool concernsInstance(FaultKind kind)
{
    return kind == FaultKind::InstanceKilled || kind == FaultKind::InstancePaused
           || kind == FaultKind::InstanceStopped || kind == FaultKind::StoreWay
           || kind == FaultKind::PeerWays;
}

void addEndingRequests(std::vector<Fault> &faults, std::uint64_t seed, const PlanSize &size)
{
    std::mt19937_64 random(~seed);
    const auto draw = [&](Milliseconds from, Milliseconds to) {
        return Milliseconds(
            std::uniform_int_distribution<long long>(from.count(), to.count())(random));
    };
    const auto end = size.length_ - calmTime - leaveTime;
    const std::size_t count = 1 + random() % maxPoisonRequests;
    for (std::size_t i = 0; i < count; ++i) {
        Fault fault;
        fault.kind_ = FaultKind::RequestEndsTargets;
        fault.start_ = draw(settleTime, std::max(settleTime, end - minPoisonTime));
        fault.end_ = std::min(end, fault.start_ + draw(minPoisonTime, maxPoisonTime));
        fault.subject_ = i;
        faults.push_back(fault);
    }
}

/// Mean time between targets that begin to pause or announce their leaves in answers.
constexpr Milliseconds termInterval{2500};
constexpr Milliseconds minTermTime{1500};
constexpr Milliseconds maxTermTime{6000};

/// Adds what targets ask for in their answers, beside the other faults of the plan.
void addTerms(std::vector<Fault> &faults, std::uint64_t seed, const PlanSize &size)
{
    std::mt19937_64 random(seed * 3 + 2);
    const auto draw = [&](long long from, long long to) {
        return std::uniform_int_distribution<long long>(from, to)(random);
    };
    const auto end = size.length_ - calmTime;
    for (auto at = settleTime; at < end; at += Milliseconds(draw(0, 2 * termInterval.count()))) {
        Fault fault;
        const long long kind = draw(0, 4);
        fault.kind_ = kind < 2   ? FaultKind::TargetPauses
                      : kind < 4 ? FaultKind::TargetAnnouncesLeave
                                 : FaultKind::RegistrationsLapse;
        fault.start_ = at;
        fault.end_
            = std::min(end, at + Milliseconds(draw(minTermTime.count(), maxTermTime.count())));
        fault.subject_
            = static_cast<std::size_t>(draw(0, static_cast<long long>(size.targets_) - 1));
        fault.variant_ = static_cast<std::size_t>(draw(0, 3));
        faults.push_back(fault);
    }
}

/// Mean time between returns of the store, the greatest age of its copy, and the time until what it
/// has lost is written again.
constexpr Milliseconds returnInterval{8000};
constexpr Milliseconds maxCopyAge{4000};
constexpr Milliseconds minRewriteTime{200};
constexpr Milliseconds maxRewriteTime{1500};

/// Adds returns of the store from a copy, before the leaves that need an undisturbed store.
void addReturns(std::vector<Fault> &faults, std::uint64_t seed, const PlanSize &size)
{
    std::mt19937_64 random(seed * 5 + 3);
    const auto draw = [&](Milliseconds from, Milliseconds to) {
        return Milliseconds(
            std::uniform_int_distribution<long long>(from.count(), to.count())(random));
    };
    const auto end = size.length_ - calmTime - leaveTime;
    auto at = settleTime;
    while (true) {
        const auto copiedAt = at + draw(Milliseconds(0), 2 * returnInterval);
        const auto returnsAt = copiedAt + draw(Milliseconds(0), maxCopyAge);
        at = returnsAt + draw(minRewriteTime, maxRewriteTime);
        if (at >= end)
            return;
        faults.push_back({FaultKind::StoreCopied, copiedAt, copiedAt, 0, 0});
        faults.push_back({FaultKind::StoreReturns, returnsAt, at, 0, 0});
    }
}

/// Time from the start of the leaves until the store has been calm for long enough to bind.
constexpr Milliseconds storeSettleTime{4200};
constexpr Milliseconds leaveInterval{1500};
constexpr std::size_t leaves = 3;
/// One instance is down for longer than look-ups may return it.
constexpr Milliseconds downStart{300};
constexpr Milliseconds downEnd{11500};
constexpr Milliseconds editStart{5000};
/// All targets shed load briefly, so that callers receive not-run refusals.
constexpr Milliseconds shedStart{14000};
constexpr Milliseconds shedEnd{14600};

/// Faults of instances and targets that leave the store undisturbed.
constexpr std::array<FaultKind, 8> besideLeaves
    = {FaultKind::InstanceKilled, FaultKind::InstancePaused,  FaultKind::InstanceStopped,
       FaultKind::StoreWay,       FaultKind::PeerWays,        FaultKind::TargetWay,
       FaultKind::TargetReplaced, FaultKind::TargetMisbehaves};

void addLeaves(std::vector<Fault> &faults, std::uint64_t seed, const PlanSize &size)
{
    std::mt19937_64 random(seed * 2 + 1);
    const auto draw = [&](long long from, long long to) {
        return std::uniform_int_distribution<long long>(from, to)(random);
    };
    const auto drawBelow = [&](std::size_t count) {
        return static_cast<std::size_t>(draw(0, static_cast<long long>(count) - 1));
    };
    const auto start = size.length_ - calmTime - leaveTime;
    const auto end = size.length_ - calmTime;
    const auto add = [&](FaultKind kind, Milliseconds from, Milliseconds to, std::size_t subject,
                         std::size_t variant) {
        faults.push_back({kind, from, std::min(end, to), subject, variant});
    };
    // One instance and the connections to all leaving targets stay undisturbed, so that every run
    // has something to check.
    const std::size_t spared = drawBelow(size.instances_);
    const auto drawInstance = [&] {
        return (spared + 1 + drawBelow(size.instances_ - 1)) % size.instances_;
    };
    add(FaultKind::InstanceKilled, start + downStart, start + downEnd, drawInstance(), 0);
    add(FaultKind::TableEdited, start + editStart, start + editStart, 0, 0);
    if (size.hasPoisonRequests_)
        add(FaultKind::RequestEndsTargets, start + downStart, end, maxPoisonRequests, 0);
    for (std::size_t target = 0; target < size.targets_; ++target)
        add(FaultKind::TargetMisbehaves, start + shedStart, start + shedEnd, target, 0);
    const bool isTogether = draw(0, 2) == 0;
    const std::size_t first = drawBelow(size.targets_);
    auto at = start + storeSettleTime + Milliseconds(draw(0, 300));
    for (std::size_t i = 0; i < leaves; ++i) {
        const std::size_t variant = isTogether ? 0 : static_cast<std::size_t>(draw(0, 3));
        add(FaultKind::TargetLeaves, at, end, (first + i) % size.targets_, variant);
        if (!isTogether)
            at += Milliseconds(draw(0, leaveInterval.count()));
    }
    for (auto time = start; time < end;
         time += Milliseconds(draw(0, 2 * meanFaultInterval.count()))) {
        const FaultKind kind = besideLeaves[drawBelow(besideLeaves.size())];
        const auto until = time + Milliseconds(draw(minFaultTime.count(), maxFaultTime.count()));
        const std::size_t subject
            = concernsInstance(kind)
                  ? drawInstance()
                  : (first + leaves + drawBelow(size.targets_ - leaves)) % size.targets_;
        add(kind, time, until, subject, static_cast<std::size_t>(draw(0, 3)));
    }
}

} // namespace

std::vector<Fault> planOf(std::uint64_t seed, const PlanSize &size)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](long long from, long long to) {
        return std::uniform_int_distribution<long long>(from, to)(random);
    };
    const auto end = size.length_ - calmTime - leaveTime;
    std::vector<Fault> faults;
    for (auto at = settleTime; at < end;
         at += Milliseconds(draw(0, 2 * meanFaultInterval.count()))) {
        Fault fault;
        fault.kind_ = static_cast<FaultKind>(draw(0, static_cast<long long>(drawnKinds) - 1));
        fault.start_ = at;
        fault.end_
            = std::min(end, at + Milliseconds(draw(minFaultTime.count(), maxFaultTime.count())));
        const auto subjects = concernsInstance(fault.kind_) ? size.instances_ : size.targets_;
        fault.subject_ = static_cast<std::size_t>(draw(0, static_cast<long long>(subjects) - 1));
        fault.variant_ = static_cast<std::size_t>(draw(0, 3));
        faults.push_back(fault);
    }
    if (size.hasPoisonRequests_)
        addEndingRequests(faults, seed, size);
    addLeaves(faults, seed, size);
    addTerms(faults, seed, size);
    addReturns(faults, seed, size);
    return faults;
}

std::string toText(const Fault &fault)
{
    char text[96];
    std::snprintf(text, sizeof text, "%.1f-%.1f s %s %zu/%zu", Model::inSeconds(fault.start_),
                  Model::inSeconds(fault.end_), names[static_cast<std::size_t>(fault.kind_)],
                  fault.subject_, fault.variant_);
    return text;
}

} // namespace Soak
