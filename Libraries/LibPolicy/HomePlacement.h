#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace Policy {

/// What one failure domain offers a service, and what part of the service's callers are near it.
struct DomainCapacity
{
    /// Index into a list of regions; domains with one number lie together.
    std::size_t region_ = 0;
    double slots_ = 0;
    /// Part of all callers that connect here; the parts of all domains sum to one.
    double demand_ = 0;
};

/// The use of all slots together for which homes are planned.
///
/// Near one, every region is as full as the others, whatever the demand. Below, poor regions keep
/// more of their callers' objects and are overrun at each peak; above one, what has no room is
/// spread without regard to slots.
constexpr double plannedUse = 0.95;

/// For the callers near each failure domain, the part of the objects that has its home in each
/// failure domain. Every row sums to one, or is all zero if there are no slots at all.
using HomeShares = std::vector<std::vector<double>>;

/// Keeps callers' objects in their own region as far as its slots go, one home for all of its
/// domains, and spreads the rest by the slots that other regions have to spare.
///
/// What goes wrong without it: a region with a third of the callers and a fourteenth of the slots
/// is overrun while the others idle; or, if objects are spread over all slots, two thirds of all
/// answers cross between regions. With a home in each domain of a region, every object is loaded
/// twice as often, and each load is a late answer. A pure function of slots and demand, so that
/// all entries agree without a message. Thread safety: any thread.
HomeShares homeShares(const std::vector<DomainCapacity> &domains, double use = plannedUse);

/// Returns how far \a object is from each failure domain: one exponential draw of rate one for each
/// of \a domainSeeds, which hold a number for each domain that is the same on every instance.
/// Thread safety: any thread.
std::vector<double> domainDraws(std::uint64_t object,
                                const std::vector<std::uint64_t> &domainSeeds);

/// Returns the index of the failure domain in which an object with \a draws has its home, for
/// callers whose domain has the row \a shares, or shares.size() if all shares are zero.
///
/// By weighted rendezvous: when shares change, only the objects whose part changed move.
/// Thread safety: any thread.
std::size_t homeOf(const std::vector<double> &draws, const std::vector<double> &shares);

/// Returns a number that ranks a target among others for \a object: the highest owns it. The same
/// on every instance. \a targetSeed comes from seedOf() of the target's id.
/// Thread safety: any thread.
std::uint64_t ownerScore(std::uint64_t object, std::uint64_t targetSeed);

/// Returns a well-mixed number for a name, the same on every instance. Thread safety: any thread.
std::uint64_t seedOf(std::string_view name);

} // namespace Policy
