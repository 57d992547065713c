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

TargetReport reportIn(const Http::Response &answer)
{
    TargetReport report;
    report.inFlight_ = numberIn(answer[Http::loadHeader.data()], -1);
    const auto incarnation = numberIn(answer[Http::incarnationHeader.data()], 0);
    report.incarnation_ = Model::Incarnation(static_cast<std::uint64_t>(incarnation));
    report.limit_ = limitIn(answer);
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
    if (noteReport(target, reportIn(answer), now))
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
