#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Policy {

/// The capacity of a service in one failure domain, and the share of its callers that connect
/// there.
struct DomainCapacity
{
    /// Index of the region; domains of one region have the same index.
    std::size_t region_ = 0;
    double slots_ = 0;
    /// Share of all callers that connect to this domain; the shares of all domains sum to one.
    double demand_ = 0;
};

/// Planned utilisation of all slots together.
///
/// Near one, all regions are equally full, whatever the demand. Below one, regions with few slots
/// keep more of their callers' objects and are overloaded at each peak. Above one, the excess is
/// spread without regard to slots.
constexpr double plannedUse = 0.95;

/// For the callers of each failure domain (row), the share of objects whose home is in each failure
/// domain (column). Each row sums to one, or is all zero if there are no slots at all.
using HomeShares = std::vector<std::vector<double>>;

/// Places callers' objects in the local region as far as its slots allow, with one home for all
/// domains of the region, and spreads the rest over the spare slots of other regions.
///
/// Without it, a region with a third of the callers and a fourteenth of the slots is overloaded
/// while the others idle. If objects were spread over all slots instead, two thirds of all answers
/// would cross regions. With one home per domain, every object would be loaded twice as often, and
/// each load is a late answer. Pure function of slots and demand, so that all entries agree without
/// a message. Thread safety: any thread.
HomeShares homeShares(const std::vector<DomainCapacity> &domains, double use = plannedUse);

/// Returns the distance of \a object from each failure domain: an exponential draw of rate one for
/// each of \a domainSeeds. The seed of a domain is the same on every instance. Thread safety: any
/// thread.
std::vector<double> domainDraws(std::uint64_t object,
                                const std::vector<std::uint64_t> &domainSeeds);

/// Returns the index of the home domain of an object with \a draws, for callers of the domain with
/// the row \a shares, or shares.size() if all shares are zero.
///
/// Weighted rendezvous hashing: when shares change, only the objects of the changed shares move.
/// Thread safety: any thread.
std::size_t homeOf(const std::vector<double> &draws, const std::vector<double> &shares);

/// Returns the rendezvous score of a target for \a object; the target with the highest score owns
/// it. The same on every instance. \a targetSeed is seedOf() of the target's id. Thread safety: any
/// thread.
std::uint64_t ownerScore(std::uint64_t object, std::uint64_t targetSeed);

/// Returns a hash of a name, the same on every instance. Thread safety: any thread.
std::uint64_t seedOf(std::string_view name);

} // namespace Policy
