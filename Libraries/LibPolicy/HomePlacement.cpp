#include "HomePlacement.h"

#include <algorithm>
#include <cmath>
#include <limits>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Policy {

namespace {

/// The demand still to be placed and the capacity left, as fractions of the whole demand.
struct Remainder
{
    std::vector<double> demand_;
    std::vector<double> room_;
};

Remainder remainderOf(const std::vector<DomainCapacity> &domains, double use)
{
    double slots = 0;
    for (const auto &domain : domains)
        slots += domain.slots_;
    Remainder remainder;
    for (const auto &domain : domains) {
        remainder.demand_.push_back(domain.demand_);
        remainder.room_.push_back(slots > 0 ? domain.slots_ / (slots * use) : 0);
    }
    return remainder;
}

/// Distributes the demand of the domains for which \a isAsked holds over the domains for which
/// \a isOffered holds, in proportion to the capacity left.
template <typename Asked, typename Offered>
void placeByRoom(Remainder &remainder, HomeShares &placed, Asked isAsked, Offered isOffered)
{
    double demand = 0;
    double room = 0;
    for (std::size_t i = 0; i < placed.size(); ++i) {
        demand += isAsked(i) ? remainder.demand_[i] : 0;
        room += isOffered(i) ? remainder.room_[i] : 0;
    }
    if (demand <= 0 || room <= 0)
        return;
    const double filled = std::min(1.0, demand / room);
    const double met = std::min(1.0, room / demand);
    for (std::size_t from = 0; from < placed.size(); ++from) {
        if (!isAsked(from))
            continue;
        for (std::size_t to = 0; to < placed.size(); ++to) {
            if (isOffered(to))
                placed[from][to] += remainder.demand_[from] * met * remainder.room_[to] / room;
        }
    }
    for (std::size_t i = 0; i < placed.size(); ++i) {
        if (isAsked(i))
            remainder.demand_[i] *= 1 - met;
        if (isOffered(i))
            remainder.room_[i] *= 1 - filled;
    }
}

void normalise(std::vector<double> &row, const std::vector<DomainCapacity> &domains)
{
    double sum = 0;
    for (const double share : row)
        sum += share;
    // Callers without planned demand, such as those of a domain without demand, are distributed by
    // slots.
    if (sum <= 0) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            row[i] = domains[i].slots_;
            sum += row[i];
        }
    }
    for (double &share : row)
        share = sum > 0 ? share / sum : 0;
}

} // namespace

HomeShares homeShares(const std::vector<DomainCapacity> &domains, double use)
{
    HomeShares placed(domains.size(), std::vector<double>(domains.size(), 0));
    Remainder remainder = remainderOf(domains, use);
    for (const auto &domain : domains) {
        const auto isInRegion = [&](std::size_t i) {
            return domains[i].region_ == domain.region_;
        };
        placeByRoom(remainder, placed, isInRegion, isInRegion);
    }
    const auto any = [](std::size_t) {
        return true;
    };
    placeByRoom(remainder, placed, any, any);
    for (auto &row : placed)
        normalise(row, domains);
    return placed;
}

std::vector<double> domainDraws(std::uint64_t object, const std::vector<std::uint64_t> &domainSeeds)
{
    std::vector<double> draws;
    draws.reserve(domainSeeds.size());
    for (const std::uint64_t seed : domainSeeds) {
        // The upper 53 bits fit the mantissa of a double; the result lies strictly between 0 and 1.
        const auto mixed = static_cast<double>(ownerScore(object, seed) >> 11U);
        draws.push_back(-std::log((mixed + 0.5) / 9007199254740992.0));
    }
    return draws;
}

std::size_t homeOf(const std::vector<double> &draws, const std::vector<double> &shares)
{
    // Among exponential draws with the shares as rates, each is the smallest with a probability
    // equal to its share.
    std::size_t best = shares.size();
    double bestScore = std::numeric_limits<double>::infinity();
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (shares[i] <= 0 || draws[i] / shares[i] >= bestScore)
            continue;
        bestScore = draws[i] / shares[i];
        best = i;
    }
    return best;
}

std::uint64_t ownerScore(std::uint64_t object, std::uint64_t targetSeed)
{
    return XXH3_64bits_withSeed(&object, sizeof object, targetSeed);
}

std::uint64_t seedOf(std::string_view name)
{
    return XXH3_64bits(name.data(), name.size());
}

} // namespace Policy
