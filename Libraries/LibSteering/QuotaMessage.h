#pragma once

#include <LibPolicy/LibPolicy.h>

#include <optional>
#include <string>

namespace Steering {

/// Encode a report and its answer as MessagePack. Thread safety: any thread.
std::string toBytes(const Policy::QuotaReport &report);
std::string toBytes(const Policy::QuotaAnswer &answer);

/// Decode what toBytes() has written. Each returns std::nullopt, with PeerMessageUnreadable as the
/// last reason, for anything else. Thread safety: any thread.
std::optional<Policy::QuotaReport> quotaReportFromBytes(const std::string &bytes);
std::optional<Policy::QuotaAnswer> quotaAnswerFromBytes(const std::string &bytes);

} // namespace Steering
