#pragma once

#include <LibModel/LibModel.h>

#include <string_view>

namespace Policy {

/// The outcome of a request as reported to its caller.
enum class Outcome { Run, NotRun, Unknown };

/// How far an attempt got before it ended.
enum class AttemptStage {
    /// No connection: no byte of the request can have been sent.
    NotConnected,
    /// At least one byte of the request may have been sent.
    Sent,
    /// The target reported that it refused the request before starting it.
    RefusedByTarget,
    /// A complete answer to this very request was received.
    Answered,
};

/// Returns "run", "not-run" or "unknown". Thread safety: any thread.
std::string_view toText(Outcome outcome);

/// Returns what is certain about an attempt that ended at \a stage.
///
/// "Not run" requires that no byte can have been sent or that the target itself reported it. After
/// a byte was sent, a missing answer means unknown, whatever the connection's error. Thread safety:
/// any thread.
Outcome outcomeOf(AttemptStage stage);

/// Credit for attempts beyond the first, earned by requests. Not shared between threads.
struct RetryBudget
{
    double credit_ = 0;
};

/// Attempts beyond the first per request, on average.
constexpr double retryShare = 0.1;
constexpr double maxRetryCredit = 10;
/// Total attempts per request.
constexpr int attemptsPerRequest = 2;

/// The rate at which credit is earned, and its maximum.
struct RetryTerms
{
    double share_ = retryShare;
    double maxCredit_ = maxRetryCredit;
};

/// Earns credit for one arriving request. Thread safety: \a budget belongs to the calling thread.
void earnRetryCredit(RetryBudget &budget, const RetryTerms &terms = {});

/// Reserves credit for one more attempt of a request whose attempt number \a attempts begins.
/// Returns whether the attempt may be cut short.
///
/// Without the reservation, an attempt is cut short to leave time for another one, other requests
/// spend the credit meanwhile, and the request ends as unknown long before its deadline. Thread
/// safety: as above.
bool reserveRetryCredit(RetryBudget &budget, bool isIdempotent, int attempts);

/// Returns the credit that reserveRetryCredit() reserved; mayRetry() then takes it if needed.
/// Thread safety: as above.
void releaseRetryCredit(RetryBudget &budget);

/// Returns whether a request that got \a outcome on its attempt number \a attempts may be retried,
/// and if so takes the credit.
///
/// Without the budget, retries multiply the remaining load when many targets fail at once and
/// prevent recovery. Without the check of the outcome, a non-idempotent request that may have
/// started runs twice. Thread safety: as above.
bool mayRetry(RetryBudget &budget, Outcome outcome, bool isIdempotent, int attempts,
              int attemptLimit = attemptsPerRequest);

} // namespace Policy
