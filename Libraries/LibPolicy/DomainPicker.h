#pragma once

#include "Shares.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace Policy {

/// The requests that each failure domain is owed (positive) or received in excess (negative).
///
/// One object per service, origin and thread; not shared between threads.
struct DomainCredits
{
    std::vector<double> credits_;
};

/// The state of one failure domain at the time of a choice.
struct DomainView
{
    bool isUsable_ = false;
    /// A slot is probably free.
    bool hasFreeSlot_ = false;
    /// It lies in this entry's region, whose free slots are known.
    bool isInLocalRegion_ = false;
};

enum class DomainVerdict { Chosen, ShiftLimited, NoneUsable };

struct DomainChoice
{
    DomainVerdict verdict_ = DomainVerdict::NoneUsable;
    std::size_t domain_ = 0;
};

/// The number of requests by which a failure domain may exceed its share, so that no slot stays
/// idle while a request waits. While the shares shift, the deviation must be small compared to the
/// cap; while they are stable, later requests compensate for it and it is no shift.
/// docs/design/capacity.md has the figures.
constexpr double maxDebtWhileShifting = 2.0;
constexpr double maxDebtWhileStable = 16.0;

/// Chooses the failure domain of the next request so that the counts follow \a shares with the
/// least deviation, and records the choice in \a credits.
///
/// With random choices instead, the counts of a short window scatter around the shares, and noise
/// alone exceeds the cap on shifts. A request that falls to a failure domain that cannot serve is
/// ShiftLimited: sending it elsewhere would move traffic faster than the cap.
/// Precondition: \a shares and \a views have one element per failure domain.
/// Thread safety: \a credits belongs to the calling thread.
DomainChoice chooseDomain(DomainCredits &credits, const ShareVector &shares,
                          const std::vector<DomainView> &views, double maximumDebt);

} // namespace Policy
