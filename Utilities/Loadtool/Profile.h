#pragma once

#include <LibModel/LibModel.h>

#include <optional>
#include <string>
#include <vector>

namespace Loadtool {

/// Callers that behave alike.
struct Stream
{
    std::string name_;
    Model::ServiceId service_;
    /// The callers' names are this with a number behind it.
    std::string callerPrefix_;
    int callers_ = 1;
    Model::RequestsPerSecond rate_;
    bool isPost_ = false;
    bool hasKey_ = false;
    /// Times that an unknown outcome is tried again with the same key.
    int repeats_ = 0;
    Model::RegionId origin_;
    /// The IP number from which the callers connect; empty leaves it open.
    std::string source_;
    Model::Milliseconds timeout_{2000};
    std::size_t bodyBytes_ = 0;
    /// When the stream begins and ends, from the start of the run.
    Model::Milliseconds from_{0};
    Model::Milliseconds until_{0};
    /// One-way delay between the callers and the entries.
    Model::Milliseconds delay_{0};
};

/// Reads streams from an INI text, one section "stream NAME" each; docs/loadtool.md lists the keys.
///
/// Returns nothing, with SettingsBadValue, SettingsUnknownKey or SettingsUnreadable as the last
/// reason, for a text that breaks the form. Thread safety: any thread.
std::optional<std::vector<Stream>> streamsFromText(const std::string &text,
                                                   Model::Milliseconds duration);

} // namespace Loadtool
