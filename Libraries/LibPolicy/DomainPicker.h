#pragma once

#include "Shares.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Policy {

/// What one failure domain owes (positive) or was given too much (negative), in requests.
///
/// One object for each service and origin on each thread; not shared between threads.
struct DomainCredits
{
    std::vector<double> credits_;
};

/// What the chooser knows of one failure domain at this moment.
struct DomainView
{
    /// It can serve at all.
    bool isUsable_ = false;
    /// A slot is likely free at once.
    bool hasFreeSlot_ = false;
    /// Whether its region is that of this entry, where its free slots are known.
    bool isNear_ = false;
};

enum class DomainVerdict { Chosen, ShiftLimited, NoneUsable };

struct DomainChoice
{
    DomainVerdict verdict_ = DomainVerdict::NoneUsable;
    std::size_t domain_ = 0;
};

/// Requests by which a failure domain may run ahead of its share, so that a free slot is not left
/// idle beside a waiting request. While the shares move, the deviation must be small beside the
/// cap; while they stand, it is paid back by later requests and is no shift.
/// docs/design/capacity.md has the figures.
constexpr double debtWhileMoving = 2.0;
constexpr double debtWhileStanding = 16.0;

/// Chooses the failure domain of the next request so that the counts follow \a shares with the
/// least deviation, and records the choice in \a credits.
///
/// What goes wrong without it: with random choices the counts of a short window scatter around the
/// shares, and the cap on shifts is broken by noise alone. A request that falls to a failure domain
/// that cannot serve is ShiftLimited: sending it elsewhere would move traffic faster than the cap.
/// Precondition: \a shares and \a views have one element for each failure domain.
/// Thread safety: \a credits belongs to the calling thread.
DomainChoice chooseDomain(DomainCredits &credits, const ShareVector &shares,
                          const std::vector<DomainView> &views, double maximumDebt);

} // namespace Policy
