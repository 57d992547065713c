#include "TargetAnswer.h"

#include <LibObserve/LibObserve.h>

#include <charconv>
#include <cmath>

namespace Entryd {

using Observe::Event;

namespace {

std::optional<Model::RequestsPerSecond> limitIn(const Http::Response &answer)
{
    const auto text = answer[Http::rateLimitHeader.data()];
    double rate = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), rate);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(rate)
        || rate < 0)
        return std::nullopt;
    return Model::RequestsPerSecond(rate);
}

/// Returns the pause that \a answer asks this entry for, or zero.
Model::Microseconds pauseAskedIn(const TargetState &target, const Http::Response &answer)
{
    const bool isNotStarted = answer.count(Http::notStartedHeader.data()) > 0;
    if (!Policy::mayAskForPause(answer.result_int(), isNotStarted))
        return Model::Microseconds(0);
    const auto now = std::chrono::system_clock::now();
    const auto asked
        = Http::retryAfterIn(answer, std::chrono::time_point_cast<Model::Milliseconds>(now));
    const std::string &id = target.target_.id_.value();
    if (!asked) {
        Observe::logEvent(Event::TargetPauseUnreadable,
                          {{"target", id}, {"reason", toText(Model::lastReason())}});
        return Model::Microseconds(0);
    }
    if (*asked > Model::Microseconds(0)) {
        const auto askedMs = std::chrono::duration_cast<Model::Milliseconds>(*asked);
        Observe::logEvent(Event::TargetPauses, {{"target", id},
                                                {"status", std::to_string(answer.result_int())},
                                                {"asked_ms", std::to_string(askedMs.count())}});
    }
    return *asked;
}

TargetReport reportIn(const TargetState &target, const Http::Response &answer)
{
    TargetReport report;
    report.inFlight_ = numberIn(answer[Http::loadHeader.data()], -1);
    const auto incarnation = numberIn(answer[Http::incarnationHeader.data()], 0);
    report.incarnation_ = Model::Incarnation(static_cast<std::uint64_t>(incarnation));
    report.limit_ = limitIn(answer);
    report.isRefusal_ = answer.count(Http::notStartedHeader.data()) > 0;
    report.pause_ = pauseAskedIn(target, answer);
    report.isDraining_ = answer.count(Http::drainingHeader.data()) > 0;
    return report;
}

} // namespace

std::int64_t numberIn(Http::beast::string_view text, std::int64_t fallback)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    return error == std::errc() ? value : fallback;
}

void noteTargetAnswer(TargetState &target, const Http::Response &answer)
{
    const auto now = std::chrono::steady_clock::now();
    if (noteReport(target, reportIn(target, answer), now))
        logLeaving(target, "itself", now);
    if (noteAlive(target, now))
        Observe::logEvent(Event::TargetBack, {{"target", target.target_.id_.value()}});
}

void noteTargetLost(TargetState &target, bool isCertain)
{
    if (noteFailure(target, isCertain))
        Observe::logEvent(Event::TargetSuspect, {{"target", target.target_.id_.value()}});
}

} // namespace Entryd
