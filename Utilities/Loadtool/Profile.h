#pragma once

#include <LibModel/LibModel.h>

#include <optional>
#include <string>
#include <vector>

namespace Loadtool {

/// A group of callers with the same behavior.
struct Stream
{
    std::string name_;
    Model::ServiceId service_;
    /// A caller's name is this prefix followed by a number.
    std::string callerPrefix_;
    int callers_ = 1;
    Model::RequestsPerSecond rate_;
    bool isPost_ = false;
    bool hasKey_ = false;
    /// Maximum retries, with the same key, after an unknown outcome.
    int maxRetries_ = 0;
    Model::RegionId origin_;
    /// Source IP address of the callers; if empty, the kernel chooses it.
    std::string source_;
    Model::Milliseconds timeout_{2000};
    std::size_t bodyBytes_ = 0;
    /// Start and end of the stream, relative to the start of the run.
    Model::Milliseconds from_{0};
    Model::Milliseconds until_{0};
    /// One-way delay between the callers and the entries.
    Model::Milliseconds delay_{0};
};

/// Parses streams from an INI text, one section "stream NAME" each; docs/loadtool.md lists the
/// keys.
///
/// Returns std::nullopt, with SettingsBadValue, SettingsUnknownKey or SettingsUnreadable as the
/// last reason, for a malformed text. Thread safety: any thread.
std::optional<std::vector<Stream>> streamsFromText(const std::string &text,
                                                   Model::Milliseconds duration);

} // namespace Loadtool
