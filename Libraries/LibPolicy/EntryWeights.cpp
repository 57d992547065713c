#include "EntryWeights.h"

#include <algorithm>

namespace Policy {

std::vector<bool> wideEntries(const std::vector<SizedEntry> &entries)
{
    double widest = 0;
    bool areKnown = true;
    for (const auto &entry : entries) {
        widest = std::max(widest, entry.size_.link_.value());
        areKnown = areKnown && entry.size_.isKnown();
    }
    std::vector<bool> isWide;
    for (const auto &entry : entries)
        isWide.push_back(!areKnown || entry.size_.link_.value() >= widest * wideFraction);
    return isWide;
}

namespace {

/// The weight of the other entries by the mean use of the wide ones.
double weightForUse(double use)
{
    return std::clamp((use - wideUseLimit) / (wideUseFull - wideUseLimit), 0.0, 1.0);
}

} // namespace

void updateNarrowWeight(NarrowWeight &weight, const std::vector<SizedEntry> &entries,
                        const std::vector<bool> &isWide, Model::SteadyTime now)
{
    std::size_t wide = 0;
    double use = 0;
    for (std::size_t i = 0; i < entries.size(); ++i) {
        if (!isWide[i])
            continue;
        ++wide;
        use += entries[i].use_.value_or(0);
    }
    const bool isFirst = weight.updatedAt_ == Model::distantPast;
    const double elapsed = Model::inSeconds(now - weight.updatedAt_);
    weight.updatedAt_ = now;
    if (wide < minWideEntries) {
        weight.weight_ = 1;
        return;
    }
    const double wanted = weightForUse(use / static_cast<double>(wide));
    const double most = isFirst ? 1 : weightChangePerSecond * elapsed;
    weight.weight_ += std::clamp(wanted - weight.weight_, -most, most);
}

std::vector<std::size_t> entriesToList(const std::vector<bool> &isWide, const NarrowWeight &weight,
                                       const std::vector<double> &draws)
{
    std::vector<std::size_t> listed;
    for (std::size_t i = 0; i < isWide.size(); ++i) {
        if (isWide[i] || draws[i] < weight.weight_)
            listed.push_back(i);
    }
    return listed;
}

} // namespace Policy
