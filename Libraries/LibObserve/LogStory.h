#pragma once

#include <LibModel/LibModel.h>

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Observe {

/// One line of a decision log that was read back.
struct LogLine
{
    /// Where it was read: the name of an instance's file.
    std::string source_;
    /// The instance's wall clock when it was written.
    Model::Milliseconds at_{0};
    std::string name_;
    std::map<std::string, std::string> fields_;
    std::string text_;
};

/// Reads a line that DecisionLog wrote; nothing, with MalformedText as the last reason, if it is
/// anything else. Thread safety: any thread.
std::optional<LogLine> logLineFromText(const std::string &source, const std::string &text);

/// How far each source's clock is ahead of that of the first one. Every instance logs what a target
/// or an operator changed, each with its revision, within a second; the median of what two of them
/// differ there is what their clocks differ. Zero where they have no line in common.
/// Thread safety: any thread.
std::map<std::string, Model::Milliseconds> clockOffsets(const std::vector<LogLine> &lines);

/// Lines so near to a request's own lines belong to its story.
constexpr Model::Milliseconds storyMargin{3000};

/// Returns what is known of the request with \a id, in the order of time with the clocks put right:
/// its own lines; what any instance believed about the targets that it met; and, of the instance
/// that took it, its life, its dependencies, changes of its table, and lines that were left out.
/// Empty if no line names the request. Thread safety: any thread.
std::vector<LogLine> storyOf(const std::string &id, std::vector<LogLine> lines);

} // namespace Observe
