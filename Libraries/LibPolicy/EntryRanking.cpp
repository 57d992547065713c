#include "EntryRanking.h"

#include <algorithm>
#include <tuple>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Policy {

namespace {

/// In order of preference; leaving entries are used only in the caller's own region.
enum class Rank { SameDomain, SameRegion, LeavingInRegion, OtherRegion };

Rank rankOf(const LookupQuery &query, const Model::Instance &instance)
{
    if (instance.region_ != query.origin_)
        return Rank::OtherRegion;
    if (instance.isLeaving_)
        return Rank::LeavingInRegion;
    const bool isNear = query.nearDomain_.isEmpty() || instance.domain_ == query.nearDomain_;
    return isNear ? Rank::SameDomain : Rank::SameRegion;
}

/// Returns whether the caller's own region has a live entry that is not leaving.
bool hasStayingEntry(const LookupQuery &query, const std::vector<EntryCandidate> &candidates)
{
    return std::any_of(candidates.begin(), candidates.end(), [&](const auto &candidate) {
        return candidate.isAlive_ && !candidate.instance_.isLeaving_
               && candidate.instance_.region_ == query.origin_;
    });
}

} // namespace

std::vector<Model::Instance> entriesOfRegion(const LookupQuery &query,
                                             const std::vector<EntryCandidate> &candidates)
{
    const bool hasLocal = hasStayingEntry(query, candidates);
    std::vector<Model::Instance> entries;
    for (const auto &candidate : candidates) {
        const auto &instance = candidate.instance_;
        if (!candidate.isAlive_ || instance.isLeaving_)
            continue;
        if (!hasLocal || instance.region_ == query.origin_)
            entries.push_back(instance);
    }
    return entries;
}

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
        Rank rank_;
        std::uint64_t score_;
        const Model::Instance *instance_;
    };
    const bool needsLeaving = !hasStayingEntry(query, candidates);
    std::vector<Ranked> ranked;
    for (const auto &candidate : candidates) {
        const Model::Instance &instance = candidate.instance_;
        const bool isLastResort = needsLeaving && instance.region_ == query.origin_;
        if (!candidate.isAlive_ || (instance.isLeaving_ && !isLastResort))
            continue;
        ranked.push_back({rankOf(query, candidate.instance_),
                          rendezvousScore(query.caller_.value(), candidate.instance_.id_.value()),
                          &candidate.instance_});
    }
    std::sort(ranked.begin(), ranked.end(), [](const Ranked &a, const Ranked &b) {
        return std::tie(a.rank_, b.score_) < std::tie(b.rank_, a.score_);
    });
    const auto firstRemote = std::find_if(ranked.begin(), ranked.end(), [](const Ranked &item) {
        return item.rank_ == Rank::OtherRegion;
    });
    // An unreachable entry costs only a refused connection, so callers of a failed region reach a
    // live entry at once, long before the look-ups detect the failure.
    const bool wouldBeLeftOut = firstRemote != ranked.end()
                                && static_cast<std::size_t>(firstRemote - ranked.begin()) >= most;
    if (wouldBeLeftOut && most > 1)
        std::iter_swap(firstRemote, ranked.begin() + static_cast<std::ptrdiff_t>(most - 1));
    ranked.resize(std::min(most, ranked.size()));
    std::vector<Model::Instance> entries;
    for (const auto &item : ranked)
        entries.push_back(*item.instance_);
    return entries;
}

} // namespace Policy
