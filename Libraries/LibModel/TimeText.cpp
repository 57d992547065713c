#include "TimeText.h"

#include "ResultCode.h"

#include <cstdio>
#include <ctime>

namespace Model {

std::optional<WallTime> timeFromText(const std::string &text)
{
    std::tm parts = {};
    const char *rest = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    if (!rest)
        return fail(ResultCode::BadValue, "'" + text + "' is not a UTC time");

    int milliseconds = 0;
    int consumed = 0;
    if (*rest == '.' && std::sscanf(rest, ".%3d%n", &milliseconds, &consumed) == 1)
        rest += consumed;
    if (std::string_view(rest) != "Z")
        return fail(ResultCode::BadValue, "'" + text + "' does not end in Z");

    const std::time_t seconds = timegm(&parts);
    return WallTime(std::chrono::seconds(seconds)) + Milliseconds(milliseconds);
}

std::string toText(WallTime time)
{
    const auto sinceEpoch = time.time_since_epoch();
    const auto seconds = std::chrono::floor<std::chrono::seconds>(sinceEpoch);
    const std::time_t whole = seconds.count();
    std::tm parts = {};
    gmtime_r(&whole, &parts);

    char date[32];
    std::strftime(date, sizeof date, "%Y-%m-%dT%H:%M:%S", &parts);
    char text[48];
    const long long rest = (sinceEpoch - seconds).count();
    std::snprintf(text, sizeof text, "%s.%03lldZ", date, rest);
    return text;
}

} // namespace Model
