#include "ShortageMonitor.h"

#include <cstdio>

namespace Steering {

using Model::Microseconds;
using Model::ResultCode;
using Model::SteadyTime;
using Observe::Event;

namespace {

Policy::ServiceKey keyOf(const Model::ServiceId &service)
{
    return Policy::ServiceKey(static_cast<std::uint32_t>(Policy::seedOf(service.value())));
}

std::string decimalText(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

/// Returns the values of the ranks up to the last one with demand, separated by commas.
std::string textOf(const Policy::ByRank &values, const Policy::ByRank &demand)
{
    std::size_t count = demand.size();
    while (count > 0 && demand[count - 1] <= 0)
        --count;
    std::string text;
    for (std::size_t i = 0; i < count; ++i)
        text += (i > 0 ? "," : "") + decimalText(values[i]);
    return text;
}

} // namespace

ShortageMonitor::ShortageMonitor(const Observe::Settings &settings,
                                 const PlatformState &platformState, const TargetRegistry &registry,
                                 const PlacementEngine &placementEngine, Observe::DecisionLog &log,
                                 bool isOn)
    : settings_(settings)
    , platformState_(platformState)
    , registry_(registry)
    , placementEngine_(placementEngine)
    , log_(log)
    , isOn_(isOn)
{
}

std::optional<Refusal> ShortageMonitor::check(const RequestContext &request, SteadyTime now)
{
    if (!isOn_)
        return std::nullopt;
    Policy::ShortageRequest asked;
    asked.rank_ = Policy::priorityOf(*request.route_, request.workspace_);
    if (request.workspace_)
        asked.workspace_ = request.workspace_->id_;
    asked.expected_ = placementEngine_.meanSlotTimeOf(request.service_);
    asked.left_ = std::chrono::duration_cast<Microseconds>(request.deadline_ - now);
    const auto verdict = Policy::admitDuringShortage(services_[request.service_], asked);
    if (verdict == Policy::ShortageVerdict::Admit)
        return std::nullopt;
    const double draw = std::uniform_real_distribution<double>(0, 1)(random_);
    const bool isLate = verdict == Policy::ShortageVerdict::WouldBeLate;
    return Refusal{isLate ? ResultCode::WouldBeLate : ResultCode::OverCapacity,
                   Policy::refusalRetryDelay(asked.expected_, request.route_->latencyGoal_, draw),
                   asked.expected_};
}

double ShortageMonitor::slotsOf(const Model::ServiceId &service, SteadyTime now) const
{
    const auto *targets = registry_.service(service);
    const auto &table = platformState_.table();
    if (!targets || !table)
        return 0;
    double slots = 0;
    for (std::size_t i = 0; i < targets->byDomain_.size() && i < table->domains().size(); ++i) {
        const auto &domain = table->domains()[i];
        if (domain.region_ != settings_.region_ || platformState_.drained().contains(domain.id_))
            continue;
        for (const auto &target : targets->byDomain_[i]) {
            if (target->takesWork() && !target->isOutOfReach()
                && !Policy::isPausing(target->pause_, now))
                slots += static_cast<double>(target->record_.slots_.value());
        }
    }
    return slots;
}

void ShortageMonitor::update(std::size_t entries, SteadyTime now)
{
    for (auto &[service, shortage] : services_) {
        const Policy::ShortageCapacity capacity{slotsOf(service, now),
                                                placementEngine_.meanSlotTimeOf(service), entries};
        const auto changedAt = shortage.changedAt_;
        if (!Policy::updateShortage(shortage, capacity, now))
            continue;
        const bool isFirst = changedAt == Model::distantPast;
        logChange(service, shortage, capacity,
                  isFirst ? Microseconds(0)
                          : std::chrono::duration_cast<Microseconds>(now - changedAt));
    }
}

void ShortageMonitor::logChange(const Model::ServiceId &service, const Policy::Shortage &shortage,
                                const Policy::ShortageCapacity &capacity,
                                Microseconds previousState)
{
    log_.line(shortage.isShort_ ? Event::ShortageBegan : Event::ShortageEnded)
        .add("service", service.value())
        .add("demand", decimalText(shortage.demand_))
        .add("slots", decimalText(shortage.slots_))
        .add("demand_by_rank", textOf(shortage.demandByRank_, shortage.demandByRank_))
        .add("admitted_by_rank", textOf(shortage.fractions_, shortage.demandByRank_))
        .add("work_ms", capacity.meanWork_)
        .add("peers", static_cast<std::int64_t>(shortage.freshPeers_))
        .add("entries", static_cast<std::int64_t>(capacity.entries_))
        .add("previous_state_ms", previousState);
}

std::optional<std::vector<Policy::DemandItem>> ShortageMonitor::demandToSend(SteadyTime now) const
{
    if (!isOn_)
        return std::nullopt;
    std::vector<Policy::DemandItem> items;
    for (const auto &[service, shortage] : services_)
        Policy::addDemandItems(items, keyOf(service), shortage, now);
    Policy::keepLargestDemand(items);
    return items;
}

void ShortageMonitor::receiveDemand(const std::vector<Policy::DemandItem> &items,
                                    const Model::InstanceId &peer, SteadyTime now)
{
    if (!isOn_)
        return;
    for (auto &[service, shortage] : services_)
        Policy::mergePeerDemand(shortage, keyOf(service), peer, items, now);
}

} // namespace Steering
