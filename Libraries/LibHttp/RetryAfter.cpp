#include "RetryAfter.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <ctime>
#include <string>

namespace Http {

using Model::Microseconds;
using Model::WallTime;

namespace {

/// Parses the date format that RFC 9110 requires senders to use, such as
/// "Sun, 06 Nov 1994 08:49:37 GMT".
std::optional<WallTime> dateFrom(const std::string &text)
{
    std::tm fields{};
    const char *const end = strptime(text.c_str(), "%a, %d %b %Y %H:%M:%S GMT", &fields);
    if (!end || *end != '\0')
        return std::nullopt;
    const auto date = std::chrono::system_clock::from_time_t(timegm(&fields));
    return std::chrono::time_point_cast<WallTime::duration>(date);
}

std::optional<Microseconds> secondsFrom(const std::string &text)
{
    double seconds = 0;
    const char *const last = text.data() + text.size();
    const auto [end, error] = std::from_chars(text.data(), last, seconds);
    if (error != std::errc() || end != last || !std::isfinite(seconds) || std::signbit(seconds))
        return std::nullopt;
    const double most = Model::inSeconds(maxRetryAfter);
    return Microseconds(static_cast<long long>(std::ceil(std::min(seconds, most) * 1e6)));
}

std::optional<Microseconds> waitFrom(const std::string &text, const Response &answer, WallTime now)
{
    if (const auto seconds = secondsFrom(text))
        return seconds;
    const auto date = dateFrom(text);
    if (!date)
        return std::nullopt;
    const auto sentAt = dateFrom(std::string(answer[http::field::date])).value_or(now);
    return std::clamp<Microseconds>(*date - sentAt, Microseconds(0), maxRetryAfter);
}

} // namespace

std::optional<Microseconds> retryAfterIn(const Response &answer, WallTime now)
{
    const auto [first, last] = answer.equal_range(http::field::retry_after);
    if (first == last)
        return Microseconds(0);
    std::optional<Microseconds> longest;
    for (auto field = first; field != last; ++field) {
        if (const auto wait = waitFrom(std::string(field->value()), answer, now))
            longest = std::max(*wait, longest.value_or(*wait));
    }
    if (!longest) {
        const std::string text(first->value());
        return Model::fail(Model::ResultCode::BadValue, "Retry-After: '" + text + "'");
    }
    return longest;
}

} // namespace Http
