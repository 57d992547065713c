#pragma once

#include <LibModel/LibModel.h>

#include <string_view>

namespace Policy {

/// What a caller is told about its request.
enum class Outcome { Run, NotRun, Unknown };

/// How far an attempt came before it ended.
enum class AttemptStage {
    /// No connection: no byte of the request can have left.
    NotConnected,
    /// At least one byte of the request may have left.
    Sent,
    /// The target said that it refused before starting.
    RefusedByTarget,
    /// A complete answer to this very request.
    Answered,
};

/// Returns "run", "not-run" or "unknown". Thread safety: any thread.
std::string_view toText(Outcome outcome);

/// Returns what may truthfully be said of an attempt that ended at \a stage.
///
/// "Not run" is said only where no byte can have left or the target itself said so; silence after
/// a byte was sent is unknown, whatever the connection's error was. Thread safety: any thread.
Outcome outcomeOf(AttemptStage stage);

/// Credit for attempts beyond the first, earned by requests. Not shared between threads.
struct RetryBudget
{
    double credit_ = 0;
};

/// Attempts beyond the first for each request, on average.
constexpr double retryShare = 0.1;
constexpr double largestRetryCredit = 10;
/// Attempts in all for one request.
constexpr int mostAttempts = 2;

/// How fast credit is earned and how much can be saved up.
struct RetryTerms
{
    double share_ = retryShare;
    double largest_ = largestRetryCredit;
};

/// Earns credit for one arriving request. Thread safety: \a budget belongs to the calling thread.
void earnRetryCredit(RetryBudget &budget, const RetryTerms &terms = {});

/// Sets credit aside for one more attempt of a request whose attempt number \a attempts begins.
///
/// What goes wrong without it: an attempt is cut short so that there is time for another one, the
/// credit is spent on others meanwhile, and the request ends as unknown with its deadline far away.
/// Returns whether the attempt may be cut short. Thread safety: as above.
bool holdRetryCredit(RetryBudget &budget, bool isIdempotent, int attempts);

/// Gives back what holdRetryCredit() set aside; mayRetry() then takes it, if it is needed.
/// Thread safety: as above.
void giveBackRetryCredit(RetryBudget &budget);

/// Tells whether a request that got \a outcome on its attempt number \a attempts may be tried
/// again, and if so takes the credit.
///
/// What goes wrong without the budget: when many targets fail at once, retries multiply the load
/// that is left and keep it from recovering. What goes wrong without the test of the outcome:
/// a non-idempotent request that may have started runs twice. Thread safety: as above.
bool mayRetry(RetryBudget &budget, Outcome outcome, bool isIdempotent, int attempts,
              int attemptLimit = mostAttempts);

} // namespace Policy
