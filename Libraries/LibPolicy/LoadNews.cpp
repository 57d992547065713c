#include "LoadNews.h"

#include <algorithm>

namespace Policy {

void learnLoad(SharedLoad &load, double inProgress, Model::Slots slots, Model::SteadyTime saidAt)
{
    if (saidAt < load.saidAt_)
        return;
    const bool wasSilent = saidAt - load.saidAt_ >= loadNewsLife;
    if (inProgress < static_cast<double>(slots.value())) {
        load.fullSince_.reset();
    } else if (!load.fullSince_ || wasSilent) {
        load.fullSince_ = saidAt;
    }
    load.inProgress_ = inProgress;
    load.saidAt_ = saidAt;
}

bool isLastinglyFull(const SharedLoad &load, Model::SteadyTime now)
{
    const bool isFresh = now - load.saidAt_ < loadNewsLife;
    return isFresh && load.fullSince_ && now - *load.fullSince_ >= lastingFullness;
}

bool isLoadNews(const SharedLoad &load, Model::Slots slots, Model::SteadyTime now)
{
    return now - load.saidAt_ < loadNewsLife
           && load.inProgress_ >= static_cast<double>(slots.value());
}

double othersByNews(const SharedLoad &load, double own, Model::SteadyTime now)
{
    if (now - load.saidAt_ >= loadNewsLife)
        return 0;
    return std::max(0.0, load.inProgress_ - own);
}

void keepLatest(std::vector<TargetLoad> &loads)
{
    if (loads.size() <= mostLoadsTold)
        return;
    const auto end = loads.begin() + static_cast<std::ptrdiff_t>(mostLoadsTold);
    std::nth_element(loads.begin(), end, loads.end(), [](const TargetLoad &a, const TargetLoad &b) {
        return a.age_ < b.age_;
    });
    loads.resize(mostLoadsTold);
}

} // namespace Policy
