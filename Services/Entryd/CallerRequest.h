#pragma once

#include "EntrySnapshot.h"

#include <LibHttp/LibHttp.h>
#include <optional>
#include <string>

namespace Entryd {

/// A parsed and validated caller's request.
struct CallerRequest
{
    Http::Request message_;
    Model::RequestId id_;
    Model::CallerId caller_;
    Model::CallerClass class_;
    /// The caller's workspace; empty if the table has no workspaces.
    Model::WorkspaceId workspace_;
    Model::ServiceId service_;
    std::size_t serviceIndex_ = 0;
    /// Index into Table::regions().
    std::size_t origin_ = 0;
    /// Set for a request forwarded by another region's entry: the failure domain it chose.
    std::optional<std::size_t> fixedDomain_;
    /// How often it was forwarded inside the local region.
    int forwardingTries_ = 0;
    Model::SteadyTime arrivedAt_;
    Model::SteadyTime deadline_;
    /// The remaining time to wait for slots, over all attempts.
    Model::Microseconds queueTimeLeft_{0};
    bool isIdempotent_ = false;
    /// Empty if the caller sent no idempotency key.
    std::string claimKey_;
    std::uint64_t requestHash_ = 0;
    /// Computed on first use.
    std::optional<std::uint32_t> cachedFingerprintPrefix_;
    std::optional<Policy::RequestFingerprint> cachedFingerprint_;
    /// The request holds the entry's single probe slot for requests suspected of crashing targets.
    bool isSerializedProbe_ = false;
};

/// Parses a request received on the caller port. Removes the headers that have the internal prefix.
///
/// Returns std::nullopt, with a code from 101 to 199 as the last reason, if the request is invalid.
/// Thread safety: any thread.
std::optional<CallerRequest> readCallerRequest(const EntrySnapshot &snapshot,
                                               Http::IncomingRequest incoming, Model::RequestId id);

/// Parses a request received on the port for other entries and trusts its internal headers.
///
/// Reports errors like readCallerRequest(). Thread safety: any thread.
std::optional<CallerRequest> readForwardedRequest(const EntrySnapshot &snapshot,
                                                  Http::IncomingRequest incoming);

/// Returns the message to send to a target for \a request: without hop-by-hop headers, with the
/// internal headers set. Thread safety: any thread.
Http::Request messageForTarget(const CallerRequest &request, Model::SteadyTime now);

/// Returns the message to send to an entry of another region. Thread safety: any thread.
Http::Request messageForEntry(const CallerRequest &request, const Model::Table &table,
                              std::size_t domain, Model::SteadyTime now);

/// Returns whether \a answer carries the request id of \a request. Thread safety: any thread.
bool isAnswerTo(const Http::RequestHead &request, const Http::Response &answer);

/// Removes hop-by-hop and internal headers from an answer. Thread safety: any thread.
void stripAnswer(Http::Response &answer);

} // namespace Entryd
