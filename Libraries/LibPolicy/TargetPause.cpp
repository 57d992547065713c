#include "TargetPause.h"

#include <algorithm>

namespace Policy {

using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;

namespace {

constexpr unsigned tooManyRequests = 429;
constexpr unsigned serviceUnavailable = 503;

} // namespace

bool mayAskForPause(unsigned status, bool isNotRun)
{
    return status == serviceUnavailable || (status == tooManyRequests && isNotRun);
}

void notePause(TargetPause &pause, Microseconds asked, std::int64_t returnWindow, SteadyTime now)
{
    if (asked <= Microseconds(0))
        return;
    pause.until_ = std::max(pause.until_, now + std::min<Microseconds>(asked, maxTargetPause));
    pause.returnWindow_ = returnWindow;
}

void noteAnswerAfterPause(TargetPause &pause, std::int64_t slots, SteadyTime now)
{
    if (!pause.returnWindow_ || isPausing(pause, now))
        return;
    if (++*pause.returnWindow_ >= slots)
        pause.returnWindow_.reset();
}

bool isPausing(const TargetPause &pause, SteadyTime now)
{
    return now < pause.until_;
}

Microseconds pauseLeft(const TargetPause &pause, SteadyTime now)
{
    return std::max(Microseconds(0), std::chrono::ceil<Microseconds>(pause.until_ - now));
}

bool isPauseOver(const TargetPause &pause, std::int64_t inProgress, SteadyTime now)
{
    return !isPausing(pause, now) && (!pause.returnWindow_ || inProgress < *pause.returnWindow_);
}

void addTo(PauseSummary &summary, Microseconds pauseLeft)
{
    if (pauseLeft == Microseconds(0)) {
        summary.anyInUse_ = true;
        return;
    }
    summary.soonestEnd_ = std::min(pauseLeft, summary.soonestEnd_.value_or(pauseLeft));
}

std::optional<Milliseconds> retryDelayWhilePausing(const PauseSummary &summary, double draw)
{
    if (summary.anyInUse_ || !summary.soonestEnd_)
        return std::nullopt;
    const auto spread = static_cast<double>(pauseReturnSpread.count()) * draw;
    return std::chrono::ceil<Milliseconds>(*summary.soonestEnd_)
           + Milliseconds(static_cast<long long>(spread));
}

} // namespace Policy
