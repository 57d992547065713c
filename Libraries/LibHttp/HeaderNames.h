#pragma once

#include <string_view>

namespace Http {

/// Header fields that begin with this are ours: what a caller sends under such a name is stripped.
constexpr std::string_view internalPrefix = "Cassiacrank-";

// Entry to target, and back. docs/target-protocol.md describes them.
constexpr std::string_view requestIdHeader = "Cassiacrank-Request-Id";
constexpr std::string_view deadlineHeader = "Cassiacrank-Deadline-Ms";
constexpr std::string_view loadHeader = "Cassiacrank-Load";
constexpr std::string_view incarnationHeader = "Cassiacrank-Incarnation";
constexpr std::string_view drainingHeader = "Cassiacrank-Draining";
constexpr std::string_view notStartedHeader = "Cassiacrank-Not-Started";

// Entry to entry of another region.
constexpr std::string_view callerHeader = "Cassiacrank-Caller";
constexpr std::string_view originHeader = "Cassiacrank-Origin";
constexpr std::string_view domainHeader = "Cassiacrank-Domain";

// Entry to caller.
constexpr std::string_view outcomeHeader = "Cassiacrank-Outcome";
constexpr std::string_view codeHeader = "Cassiacrank-Code";
constexpr std::string_view comeBackHeader = "Cassiacrank-Retry-After-Ms";
constexpr std::string_view instanceHeader = "Cassiacrank-Instance";
constexpr std::string_view targetHeader = "Cassiacrank-Target";

// Caller to entry. These are the callers' own, so they lack the prefix.
constexpr std::string_view callerNameHeader = "Caller";
constexpr std::string_view callerDeadlineHeader = "Request-Timeout-Ms";
constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
/// How many times the caller has sent the request under its key, this time included.
constexpr std::string_view attemptHeader = "Request-Attempt";

} // namespace Http
