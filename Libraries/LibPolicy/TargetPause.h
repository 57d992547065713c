#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <optional>

namespace Policy {

/// The pause that one incarnation of a target has asked this instance for, and the gradual return
/// after it. Not shared between threads.
struct TargetPause
{
    /// No request is sent to the target before this time.
    Model::SteadyTime until_ = Model::distantPast;
    /// The requests that may be in progress at the target after the pause; std::nullopt without a
    /// limit.
    std::optional<std::int64_t> returnWindow_;
};

/// A longer pause counts as this one.
constexpr Model::Milliseconds maxTargetPause{24 * 3600 * 1000};

/// The requests in progress at a target right after its pause: one request shows whether it takes
/// work again.
constexpr std::int64_t initialReturnWindow = 1;
/// The same where a health probe shows it, and requests wait for the probe's answer.
constexpr std::int64_t returnWindowBeforeProbe = 0;

/// Callers who are refused because all targets pause return spread over this time after the end of
/// the first pause.
constexpr Model::Milliseconds pauseReturnSpread{250};

/// A failure domain counts as out while all its targets pause for longer than this. Shares move too
/// slowly to follow a shorter pause.
constexpr Model::Milliseconds maxPauseInUse{2000};

/// Returns whether Retry-After in a target's answer asks the instance for a pause: in a 503, and in
/// a 429 if the target states that it has not run the request. An answer of 429 to a request that
/// ran concerns its caller. Thread safety: any thread.
bool mayAskForPause(unsigned status, bool isNotRun);

/// Records that a target has asked for a pause of \a asked in an answer received \a now.
/// \a returnWindow is the window after the pause.
///
/// A pause is never shortened: answers on several connections overtake one another, and the target
/// expects each pause that it asked for to be kept. Thread safety: \a pause belongs to the calling
/// thread.
void notePause(TargetPause &pause, Model::Microseconds asked, std::int64_t returnWindow,
               Model::SteadyTime now);

/// Records that the target answered a request or a probe and did not turn it away. Each such answer
/// after the pause admits one more request, until \a slots are in progress.
///
/// Without the window, all instances that were told to wait return at the same time with all the
/// requests that they hold, and the target asks for the next pause at once. Thread safety: as
/// above.
void noteAnswerAfterPause(TargetPause &pause, std::int64_t slots, Model::SteadyTime now);

/// Returns whether the target wants no request now. Thread safety: any thread.
bool isPausing(const TargetPause &pause, Model::SteadyTime now);

/// Returns the remaining time of the pause, or zero. Thread safety: any thread.
Model::Microseconds pauseLeft(const TargetPause &pause, Model::SteadyTime now);

/// Returns whether a request may be sent to the target while \a inProgress others of this instance
/// are in progress there. Thread safety: any thread.
bool isPauseOver(const TargetPause &pause, std::int64_t inProgress, Model::SteadyTime now);

/// The pauses of the targets that may run a request.
struct PauseSummary
{
    /// A target does not pause.
    bool anyInUse_ = false;
    /// The shortest remaining pause; std::nullopt if no target pauses.
    std::optional<Model::Microseconds> soonestEnd_;
};

/// Adds a target with this remaining pause to \a summary. Thread safety: \a summary belongs to the
/// calling thread.
void addTo(PauseSummary &summary, Model::Microseconds pauseLeft);

/// Returns when a caller should return whose request no target may run because all of them pause,
/// spread by \a draw (0 to below 1); std::nullopt if a target does not pause.
/// Thread safety: any thread.
std::optional<Model::Milliseconds> retryDelayWhilePausing(const PauseSummary &summary, double draw);

} // namespace Policy
