#pragma once

#include "EntrySnapshot.h"

#include <LibHttp/LibHttp.h>
#include <optional>
#include <string>

namespace Entryd {

/// A caller's request as the entry understands it.
struct CallerRequest
{
    Http::Request message_;
    Model::RequestId id_;
    Model::CallerId caller_;
    Model::CallerClass class_;
    Model::ServiceId service_;
    std::size_t serviceIndex_ = 0;
    /// Index into Table::regions().
    std::size_t origin_ = 0;
    /// Set for a request that another region's entry handed over: the failure domain it chose.
    std::optional<std::size_t> fixedDomain_;
    Model::SteadyTime arrivedAt_;
    Model::SteadyTime deadline_;
    /// How much longer the request may wait for slots, over all of its attempts.
    Model::Microseconds queueTimeLeft_{0};
    bool isIdempotent_ = false;
    /// Empty if the caller gave no idempotency key.
    std::string claimKey_;
    std::uint64_t requestHash_ = 0;
    /// Made when they are first needed.
    std::optional<std::uint32_t> head_;
    std::optional<Policy::RequestPrint> print_;
    /// It holds the entry's one place for requests under which targets ended.
    bool isOnTrial_ = false;
};

/// Reads a request from the port for callers. Headers that begin with our own prefix are stripped.
///
/// Returns nothing, with a code from 101 to 199 as the last reason, if it cannot be understood.
/// Thread safety: any thread.
std::optional<CallerRequest> readCallerRequest(const EntrySnapshot &snapshot,
                                               Http::IncomingRequest incoming, Model::RequestId id);

/// Reads a request from the port for other entries, whose internal headers are believed.
///
/// Errors as for readCallerRequest(). Thread safety: any thread.
std::optional<CallerRequest> readHandedOver(const EntrySnapshot &snapshot,
                                            Http::IncomingRequest incoming);

/// Returns what is sent to a target for \a request: without headers that concern one connection
/// only, with our own ones set. Thread safety: any thread.
Http::Request messageForTarget(const CallerRequest &request, Model::SteadyTime now);

/// Returns what is sent to another region's entry. Thread safety: any thread.
Http::Request messageForEntry(const CallerRequest &request, const Model::Table &table,
                              std::size_t domain, Model::SteadyTime now);

/// Tells whether \a answer says that it belongs to \a request. Thread safety: any thread.
bool isAnswerTo(const Http::Request &request, const Http::Response &answer);

/// Removes from an answer what concerns one connection only or is our own. Thread safety: any
/// thread.
void stripAnswer(Http::Response &answer);

} // namespace Entryd
