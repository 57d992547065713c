#include "RequestTrace.h"

#include <algorithm>
#include <charconv>
#include <set>

namespace Observe {

using Model::Milliseconds;

namespace {

/// Events of an instance that may explain the outcome of a request there.
const std::set<std::string> &instanceEvents()
{
    static const std::set<std::string> names
        = {"Started",      "Ready",        "StopRequested",    "Stopped",     "StoreLost",
           "StoreBack",    "HistoryLost",  "ClockGap",         "PeerLost",    "TableApplied",
           "TableRefused", "StoreReading", "SettingsReloaded", "LinesLeftOut"};
    return names;
}

/// Returns the value that begins at \a at, up to the next space or in quotes, and moves \a at past
/// it.
std::string valueAt(const std::string &text, std::size_t &at)
{
    std::string value;
    const bool isQuoted = at < text.size() && text[at] == '"';
    at += isQuoted ? 1 : 0;
    const char end = isQuoted ? '"' : ' ';
    for (; at < text.size() && text[at] != end; ++at) {
        if (isQuoted && text[at] == '\\' && at + 1 < text.size())
            ++at;
        value += text[at];
    }
    at += isQuoted ? 1 : 0;
    return value;
}

std::string fieldOf(const LogLine &line, const std::string &name)
{
    const auto found = line.fields_.find(name);
    return found == line.fields_.end() ? "" : found->second;
}

/// Returns the key of the change that a line reports, the same in the logs of all instances; empty
/// for other lines.
std::string changeKeyOf(const LogLine &line)
{
    const std::string revision = fieldOf(line, "revision");
    if (!revision.empty())
        return fieldOf(line, "target") + "@" + revision;
    return line.name_ == "TableApplied" ? "table@" + fieldOf(line, "position") : "";
}

} // namespace

std::optional<LogLine> logLineFromText(const std::string &source, const std::string &text)
{
    LogLine line;
    line.source_ = source;
    line.text_ = text;
    std::size_t at = 0;
    while (at < text.size()) {
        const auto equals = text.find('=', at);
        if (equals == std::string::npos)
            break;
        const std::string name = text.substr(at, equals - at);
        at = equals + 1;
        line.fields_[name] = valueAt(text, at);
        at = std::min(text.size(), at + 1);
    }
    long long milliseconds = 0;
    const std::string time = fieldOf(line, "t");
    const auto [end, error] = std::from_chars(time.data(), time.data() + time.size(), milliseconds);
    line.name_ = fieldOf(line, "name");
    if (error != std::errc() || end != time.data() + time.size() || line.name_.empty())
        return Model::fail(Model::ResultCode::MalformedText, "not a line of a decision log");
    line.at_ = Milliseconds(milliseconds);
    return line;
}

std::map<std::string, Milliseconds> clockOffsets(const std::vector<LogLine> &lines)
{
    std::map<std::string, Milliseconds> offsets;
    if (lines.empty())
        return offsets;
    const std::string &reference = lines.front().source_;
    std::map<std::string, Milliseconds> seenAt;
    for (const auto &line : lines) {
        if (line.source_ == reference && !changeKeyOf(line).empty())
            seenAt.emplace(changeKeyOf(line), line.at_);
    }
    std::map<std::string, std::vector<Milliseconds>> differences;
    for (const auto &line : lines) {
        offsets.emplace(line.source_, Milliseconds(0));
        const auto seen = seenAt.find(changeKeyOf(line));
        if (line.source_ != reference && seen != seenAt.end())
            differences[line.source_].push_back(line.at_ - seen->second);
    }
    for (auto &[source, values] : differences) {
        const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
        std::nth_element(values.begin(), middle, values.end());
        offsets[source] = *middle;
    }
    return offsets;
}

std::vector<LogLine> requestTraceOf(const std::string &id, std::vector<LogLine> lines)
{
    const auto offsets = clockOffsets(lines);
    for (auto &line : lines)
        line.at_ -= offsets.at(line.source_);
    std::set<std::string> targets;
    std::set<std::string> sources;
    auto first = Milliseconds::max();
    auto last = Milliseconds::min();
    for (const auto &line : lines) {
        if (fieldOf(line, "id") != id)
            continue;
        sources.insert(line.source_);
        if (!fieldOf(line, "target").empty())
            targets.insert(fieldOf(line, "target"));
        first = std::min(first, line.at_);
        last = std::max(last, line.at_);
    }
    if (sources.empty())
        return {};
    const auto belongs = [&](const LogLine &line) {
        if (fieldOf(line, "id") == id)
            return true;
        if (line.at_ < first - traceMargin || line.at_ > last + traceMargin)
            return false;
        const bool isOfTarget
            = fieldOf(line, "id").empty() && targets.contains(fieldOf(line, "target"));
        return isOfTarget
               || (sources.contains(line.source_) && instanceEvents().contains(line.name_));
    };
    std::vector<LogLine> trace;
    std::copy_if(lines.begin(), lines.end(), std::back_inserter(trace), belongs);
    std::stable_sort(trace.begin(), trace.end(), [](const LogLine &a, const LogLine &b) {
        return a.at_ < b.at_;
    });
    return trace;
}

} // namespace Observe
