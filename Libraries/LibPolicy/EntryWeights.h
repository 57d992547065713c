#pragma once

#include <LibModel/LibModel.h>

#include <optional>
#include <vector>

namespace Policy {

/// An entry among which callers of a region may choose.
struct SizedEntry
{
    Model::InstanceSize size_;
    /// The used part of its tightest resource, from 0 to 1; std::nullopt if it is not known.
    std::optional<double> use_;
};

/// An entry counts as wide if its link has at least this part of the bandwidth of the widest one.
constexpr double wideFraction = 0.5;
/// Wide entries alone are listed up to this use of their tightest resource. Above it, bursts of
/// half of the usual load would fill them.
constexpr double wideUseLimit = 0.6;
/// At this use of the wide entries the others are listed like them.
constexpr double wideUseFull = 0.9;
/// With fewer wide entries than this, all entries are listed: callers need another entry when one
/// fails.
constexpr std::size_t minWideEntries = 2;
/// The largest change of a weight in a second.
constexpr double weightChangePerSecond = 0.1;

/// The probability with which a look-up lists the entries that are not wide. Not shared between
/// threads.
struct NarrowWeight
{
    double weight_ = 0;
    Model::SteadyTime updatedAt_ = Model::distantPast;
};

/// Returns for each entry whether it is wide. All are if the sizes do not differ or one is not
/// known. Thread safety: any thread.
std::vector<bool> wideEntries(const std::vector<SizedEntry> &entries);

/// Updates the weight for the entries that a look-up can list now. Thread safety: \a weight belongs
/// to the calling thread.
void updateNarrowWeight(NarrowWeight &weight, const std::vector<SizedEntry> &entries,
                        const std::vector<bool> &isWide, Model::SteadyTime now);

/// Returns the indexes of the entries that an answer lists. Callers draw one of them with equal
/// chance. \a draws has a number from 0 to below 1 for each entry.
///
/// Without it, callers of routes with large answers wait for narrow links most of the time while
/// wide ones idle. Many instances with few requests each also know little of each target: each of
/// them loses a request of its own at each target that has fallen silent. Thread safety: any
/// thread.
std::vector<std::size_t> entriesToList(const std::vector<bool> &isWide, const NarrowWeight &weight,
                                       const std::vector<double> &draws);

} // namespace Policy
