#pragma once

#include "Types.h"

#include <optional>
#include <string>

namespace Http {

/// A request for sendAndWait().
struct SimpleRequest
{
    Model::Address address_;
    http::verb method_ = http::verb::get;
    std::string target_ = "/";
    std::string body_;
    /// Additional header fields; a Host among them replaces the address.
    std::vector<std::pair<std::string, std::string>> fields_;
    Model::Milliseconds timeout_{2000};
};

/// Sends \a request on a new connection and blocks until the answer has arrived.
///
/// Returns std::nullopt if no answer arrives in time; the last reason is PlatformUnreachable if no
/// byte can have been sent, else CommitOutcomeUnknown. Thread safety: any thread; blocks it.
std::optional<Response> sendAndWait(const SimpleRequest &request);

} // namespace Http
