#pragma once

#include <LibModel/LibModel.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Observe {

/// A parsed line of a decision log.
struct LogLine
{
    /// The instance, by the name of the file that the line was read from.
    std::string source_;
    /// The instance's wall clock when the line was written.
    Model::Milliseconds at_{0};
    std::string name_;
    std::map<std::string, std::string> fields_;
    std::string text_;
};

/// Parses a line that DecisionLog wrote. Returns std::nullopt, with MalformedText as the last
/// reason, for any other text. Thread safety: any thread.
std::optional<LogLine> logLineFromText(const std::string &source, const std::string &text);

/// Returns by how much each source's clock is ahead of the clock of the first source. Every
/// instance logs each change by a target or an operator within a second, with its revision; the
/// median time difference of such lines is the clock offset. The offset is zero if a source has no
/// such line in common with the first one. Thread safety: any thread.
std::map<std::string, Model::Milliseconds> clockOffsets(const std::vector<LogLine> &lines);

/// Lines within this time of a request's own lines can belong to its trace.
constexpr Model::Milliseconds traceMargin{3000};

/// Returns the trace of the request with \a id in the order of time, corrected for clock offsets:
/// its own lines; lines of any instance about the targets that it was sent to; and, of the
/// instances that logged it, lines about start and stop, dependencies, changes of the table and
/// suppressed lines. Empty if no line names the request. Thread safety: any thread.
std::vector<LogLine> requestTraceOf(const std::string &id, std::vector<LogLine> lines);

} // namespace Observe
