#pragma once

#include "Outcome.h"
#include "WorkDistribution.h"

namespace Policy {

/// The times that decide when a second target is tried, all measured from the first byte of the
/// first try.
struct SecondTryTimes
{
    /// Usual time until the answer at the first target.
    Model::Microseconds usual_{0};
    /// Usual time of the route's requests at a target that has loaded their object.
    Model::Microseconds warm_{0};
    /// Expected time until the answer at a second target.
    Model::Microseconds second_{0};
    /// The time left until the goal; negative once it has passed.
    Model::Microseconds goalLeft_{0};
};

/// Returns how long to wait for the first target before a second one is tried: the 0.95 quantile of
/// the route's work, but no later than a second target can still answer within the goal, and no
/// earlier than the usual warm time. If the goal can no longer be met, or the quantile is not known
/// yet, the tail of the work decides.
///
/// The first bound serves the requests of which 3% take seven times as long as usual. Without the
/// second, the second try of a route with a narrow goal starts too late to be of use. Without the
/// tail, a request at a target that has fallen silent is held until its timeout. Thread safety: any
/// thread.
Model::Microseconds secondTryDelay(const SecondTryTimes &times,
                                   const WorkDistribution &distribution);

/// What decides whether a second try is made.
struct SecondTryFacts
{
    bool isIdempotent_ = false;
    /// Attempts that have begun, and the route's limit.
    int attempts_ = 1;
    int attemptLimit_ = attemptsPerRequest;
    /// The second target has a free slot by its reports.
    bool hasFreeSlot_ = false;
    /// The part of the service's slots that is in use.
    double slotUse_ = 1;
    /// The first try follows an earlier attempt, or the request is itself a second try.
    bool isSecondTry_ = false;
    /// The crash guard withholds the request, or admits it as the only one of its kind.
    bool isHeldByCrashGuard_ = false;
    bool hasCallerLeft_ = false;
    /// The instance has room for the answer of one more attempt.
    bool mayHoldAnswer_ = true;
    /// A peer forwarded the request; the peer holds the credit.
    bool isForwarded_ = false;
};

/// Slot use from which no second try is made. Above it, callers' first tries need the free slots:
/// each second try that waits for one delays a request that could be served.
constexpr double maxUseForSecondTry = 0.8;

/// Returns whether a second try may be made, regardless of the credit. Thread safety: any thread.
bool isSecondTryAllowed(const SecondTryFacts &facts);

/// Returns whether a second try is made, and if so takes the credit from \a budget. Thread safety:
/// \a budget belongs to the calling thread.
bool takeSecondTry(RetryBudget &budget, const SecondTryFacts &facts);

} // namespace Policy
