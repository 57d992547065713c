#include "SoakSite.h"

#include <array>

namespace Soak {

using Model::Milliseconds;
using Model::SteadyTime;
using PlatformStandIns::TargetFaults;

namespace {

constexpr Milliseconds restartDelay{400};

/// The pauses that targets ask for, by the variant of the fault; the last one is asked for by all
/// targets.
constexpr std::array<const char *, 4> pauses = {"0.7", "2", "3.5", "1.2"};
constexpr std::size_t pauseOfAll = 3;

} // namespace

TargetFaults withPoison(TargetFaults faults)
{
    faults.crashPathPrefix_ = poisonPathPrefix;
    faults.restartDelay_ = restartDelay;
    return faults;
}

std::optional<std::size_t> SoakSite::numberOf(const Model::Address &entry) const
{
    for (std::size_t i = 0; i < fleet_.instances_.size(); ++i) {
        if (fleet_.instances_[i]->entry() == entry)
            return i;
    }
    return std::nullopt;
}

std::optional<SteadyTime> SoakSite::processCalmSince(const Model::Address &entry) const
{
    const auto number = numberOf(entry);
    if (!number)
        return std::nullopt;
    const auto found = processes_.find(*number);
    return found == processes_.end() ? Model::distantPast : found->second.calmSince();
}

void SoakSite::beginTerms(const Fault &fault)
{
    if (fault.kind_ == FaultKind::TargetAnnouncesLeave)
        return fleet_.targets_[fault.subject_]->setFaults(withPoison({.announcesLeave_ = true}));
    const std::size_t variant = fault.variant_ % pauses.size();
    for (std::size_t i = 0; i < fleet_.targets_.size(); ++i) {
        const bool isOne = i == fault.subject_;
        if (fault.kind_ == FaultKind::TargetPauses && (isOne || variant == pauseOfAll)) {
            fleet_.targets_[i]->setFaults(
                withPoison({.isShedding_ = true, .retryAfter_ = pauses[variant]}));
        } else if (fault.kind_ == FaultKind::RegistrationsLapse && !isOne) {
            fleet_.store_.remove("servers", fleet_.targets_[i]->id());
        }
    }
}

void SoakSite::endTerms(const Fault &fault)
{
    if (fault.kind_ == FaultKind::TargetAnnouncesLeave) {
        fleet_.targets_[fault.subject_]->setFaults(withPoison({}));
        return replaceTarget(fault.subject_);
    }
    for (std::size_t i = 0; i < fleet_.targets_.size(); ++i) {
        const bool isOne = i == fault.subject_;
        const bool paused = isOne || fault.variant_ % pauses.size() == pauseOfAll;
        if (fault.kind_ == FaultKind::TargetPauses && paused) {
            fleet_.targets_[i]->setFaults(withPoison({}));
        } else if (fault.kind_ == FaultKind::RegistrationsLapse && !isOne
                   && !leavingTargets_.contains(i)) {
            registerTarget(i, "ready");
        }
    }
}

} // namespace Soak
