#include "Outcome.h"

#include <algorithm>

namespace Policy {

std::string_view toText(Outcome outcome)
{
    switch (outcome) {
    case Outcome::Run:
        return "run";
    case Outcome::NotRun:
        return "not-run";
    case Outcome::Unknown:
        break;
    }
    return "unknown";
}

Outcome outcomeOf(AttemptStage stage)
{
    switch (stage) {
    case AttemptStage::NotConnected:
    case AttemptStage::RefusedByTarget:
        return Outcome::NotRun;
    case AttemptStage::Answered:
        return Outcome::Run;
    case AttemptStage::Sent:
        break;
    }
    return Outcome::Unknown;
}

void earnRetryCredit(RetryBudget &budget, const RetryTerms &terms)
{
    budget.credit_ = std::min(terms.maxCredit_, budget.credit_ + terms.share_);
}

bool reserveRetryCredit(RetryBudget &budget, bool isIdempotent, int attempts)
{
    if (!isIdempotent || attempts >= attemptsPerRequest || budget.credit_ < 1)
        return false;
    budget.credit_ -= 1;
    return true;
}

void releaseRetryCredit(RetryBudget &budget)
{
    // No upper bound: the credit is spent before any other is earned or reserved.
    budget.credit_ += 1;
}

bool mayRetry(RetryBudget &budget, Outcome outcome, bool isIdempotent, int attempts,
              int attemptLimit)
{
    if (outcome == Outcome::Run || attempts >= attemptLimit)
        return false;
    if (outcome == Outcome::Unknown && !isIdempotent)
        return false;
    if (budget.credit_ < 1)
        return false;
    budget.credit_ -= 1;
    return true;
}

} // namespace Policy
