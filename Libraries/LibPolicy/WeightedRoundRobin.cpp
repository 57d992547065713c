#include "WeightedRoundRobin.h"

namespace Policy {

std::size_t nextWeightedSplit(WeightedRoundRobin &turns,
                              const std::vector<Model::WeightedSplit> &parts)
{
    if (parts.size() < 2)
        return 0;
    turns.owed_.resize(parts.size(), 0);
    double sum = 0;
    for (const auto &part : parts)
        sum += part.weight_.value();
    std::size_t next = parts.size();
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i].weight_.value() <= 0) {
            turns.owed_[i] = 0;
            continue;
        }
        turns.owed_[i] += parts[i].weight_.value() / sum;
        if (next == parts.size() || turns.owed_[i] > turns.owed_[next])
            next = i;
    }
    turns.owed_[next] -= 1;
    return next;
}

} // namespace Policy
