#pragma once

#include <string_view>

namespace Http {

/// Prefix of the internal header fields; callers' fields with this prefix are stripped.
constexpr std::string_view internalPrefix = "Cassiacrank-";

// Between entry and target. docs/target-protocol.md describes them.
constexpr std::string_view requestIdHeader = "Cassiacrank-Request-Id";
constexpr std::string_view deadlineHeader = "Cassiacrank-Deadline-Ms";
constexpr std::string_view loadHeader = "Cassiacrank-Load";
constexpr std::string_view rateLimitHeader = "Cassiacrank-Rate-Limit";
constexpr std::string_view incarnationHeader = "Cassiacrank-Incarnation";
constexpr std::string_view drainingHeader = "Cassiacrank-Draining";
constexpr std::string_view workspaceHeader = "Cassiacrank-Workspace";
constexpr std::string_view notStartedHeader = "Cassiacrank-Not-Started";

// From an entry to an entry of another region.
constexpr std::string_view callerHeader = "Cassiacrank-Caller";
constexpr std::string_view originHeader = "Cassiacrank-Origin";
constexpr std::string_view domainHeader = "Cassiacrank-Domain";

// From an entry to a caller.
constexpr std::string_view outcomeHeader = "Cassiacrank-Outcome";
constexpr std::string_view codeHeader = "Cassiacrank-Code";
constexpr std::string_view retryAfterHeader = "Cassiacrank-Retry-After-Ms";
constexpr std::string_view instanceHeader = "Cassiacrank-Instance";
constexpr std::string_view targetHeader = "Cassiacrank-Target";

// From a caller to an entry. These are public, so they lack the prefix.
constexpr std::string_view callerNameHeader = "Caller";
constexpr std::string_view callerKeyHeader = "Caller-Key";
constexpr std::string_view callerDeadlineHeader = "Request-Timeout-Ms";
constexpr std::string_view idempotencyKeyHeader = "Idempotency-Key";
/// The number of times the caller has sent the request under its key, including this one.
constexpr std::string_view attemptHeader = "Request-Attempt";

} // namespace Http
