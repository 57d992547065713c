#include "DomainPicker.h"

#include <algorithm>

namespace Policy {

namespace {

constexpr double negligible = 1e-9;

std::optional<std::size_t> mostOwedDomain(const DomainCredits &credits, const ShareVector &shares)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < shares.shares_.size(); ++i) {
        if (shares.shares_[i] <= negligible)
            continue;
        if (!best || credits.credits_[i] > credits.credits_[*best])
            best = i;
    }
    return best;
}

/// Returns another local failure domain with a free slot that is not too far ahead of its share.
std::optional<std::size_t> substituteDomain(const DomainCredits &credits, const ShareVector &shares,
                                            const std::vector<DomainView> &views,
                                            double maximumDebt)
{
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < views.size(); ++i) {
        const bool canTake
            = views[i].isUsable_ && views[i].hasFreeSlot_ && views[i].isInLocalRegion_;
        if (!canTake || shares.shares_[i] <= negligible)
            continue;
        if (credits.credits_[i] - 1 < -maximumDebt)
            continue;
        if (!best || credits.credits_[i] > credits.credits_[*best])
            best = i;
    }
    return best;
}

/// Bounds the credits, and resets those of failure domains without a share.
void forgetOldCredits(DomainCredits &credits, const ShareVector &shares, double maximumDebt)
{
    for (std::size_t i = 0; i < shares.shares_.size(); ++i) {
        if (shares.shares_[i] <= negligible)
            credits.credits_[i] = 0;
        credits.credits_[i] = std::clamp(credits.credits_[i], -maximumDebt - 1, maximumDebt + 1);
    }
}

} // namespace

DomainChoice chooseDomain(DomainCredits &credits, const ShareVector &shares,
                          const std::vector<DomainView> &views, double maximumDebt)
{
    credits.credits_.resize(shares.shares_.size(), 0.0);
    const bool anyUsable = std::any_of(views.begin(), views.end(), [](const auto &view) {
        return view.isUsable_;
    });
    if (!anyUsable)
        return {DomainVerdict::NoneUsable, 0};

    for (std::size_t i = 0; i < shares.shares_.size(); ++i)
        credits.credits_[i] += shares.shares_[i];
    const auto owed = mostOwedDomain(credits, shares);
    if (!owed)
        return {DomainVerdict::NoneUsable, 0};

    std::size_t chosen = *owed;
    if (!views[chosen].isUsable_) {
        credits.credits_[chosen] -= 1;
        return {DomainVerdict::ShiftLimited, chosen};
    }
    if (views[chosen].isInLocalRegion_ && !views[chosen].hasFreeSlot_)
        chosen = substituteDomain(credits, shares, views, maximumDebt).value_or(chosen);
    credits.credits_[chosen] -= 1;
    forgetOldCredits(credits, shares, maximumDebt);
    return {DomainVerdict::Chosen, chosen};
}

} // namespace Policy
