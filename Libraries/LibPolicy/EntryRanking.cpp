#include "EntryRanking.h"

#include <algorithm>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Policy {

namespace {

/// 0 for the same failure domain, 1 for the same region, 2 for elsewhere.
int distance(const LookupQuery &query, const Model::Instance &instance)
{
    if (instance.region_ != query.origin_)
        return 2;
    const bool isNear = query.nearDomain_.isEmpty() || instance.domain_ == query.nearDomain_;
    return isNear ? 0 : 1;
}

} // namespace

std::uint64_t rendezvousScore(const std::string &first, const std::string &second)
{
    const XXH64_hash_t seed = XXH3_64bits(first.data(), first.size());
    return XXH3_64bits_withSeed(second.data(), second.size(), seed);
}

std::vector<Model::Instance> rankEntries(const LookupQuery &query,
                                         const std::vector<EntryCandidate> &candidates,
                                         std::size_t most)
{
    struct Ranked
    {
        int distance_;
        std::uint64_t score_;
        const Model::Instance *instance_;
    };
    std::vector<Ranked> ranked;
    for (const auto &candidate : candidates) {
        if (!candidate.isAlive_ || candidate.instance_.isLeaving_)
            continue;
        ranked.push_back({distance(query, candidate.instance_),
                          rendezvousScore(query.caller_.value(), candidate.instance_.id_.value()),
                          &candidate.instance_});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.distance_, b.score_) < std::tie(b.distance_, a.score_);
    });
    std::vector<Model::Instance> entries;
    for (const auto &item : ranked) {
        if (entries.size() == most)
            break;
        entries.push_back(*item.instance_);
    }
    return entries;
}

} // namespace Policy
