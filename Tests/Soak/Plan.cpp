#include "Plan.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

namespace Soak {

namespace {

using Model::Milliseconds;

/// One fault starts in so much time on average, so that two or three are there at once.
constexpr Milliseconds pauseBetween{900};
constexpr Milliseconds shortest{300};
constexpr Milliseconds longest{4500};

constexpr std::array<const char *, 14> names
    = {"InstanceKilled", "InstancePaused", "InstanceStopped", "StoreRefuses", "StoreLosesAnswers",
       "StoreForgets",   "StoreWay",       "PeerWays",        "TargetWay",    "TargetMisbehaves",
       "TargetReplaced", "TargetLeaves",   "TableEdited",     "DomainDrained"};

bool concernsInstance(FaultKind kind)
{
    return kind == FaultKind::InstanceKilled || kind == FaultKind::InstancePaused
           || kind == FaultKind::InstanceStopped || kind == FaultKind::StoreWay
           || kind == FaultKind::PeerWays;
}

} // namespace

std::vector<Fault> planOf(std::uint64_t seed, const PlanSize &size)
{
    std::mt19937_64 random(seed);
    const auto draw = [&](long long from, long long to) {
        return std::uniform_int_distribution<long long>(from, to)(random);
    };
    const auto end = size.length_ - calmTime;
    std::vector<Fault> faults;
    for (auto at = settleTime; at < end; at += Milliseconds(draw(0, 2 * pauseBetween.count()))) {
        Fault fault;
        fault.kind_ = static_cast<FaultKind>(draw(0, static_cast<long long>(names.size()) - 1));
        fault.start_ = at;
        fault.end_ = std::min(end, at + Milliseconds(draw(shortest.count(), longest.count())));
        const auto subjects = concernsInstance(fault.kind_) ? size.instances_ : size.targets_;
        fault.subject_ = static_cast<std::size_t>(draw(0, static_cast<long long>(subjects) - 1));
        fault.variant_ = static_cast<std::size_t>(draw(0, 3));
        faults.push_back(fault);
    }
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
