#pragma once

#include "Types.h"

#include <optional>
#include <string>

namespace Http {

/// One request of a tool that has nothing else to do meanwhile.
struct SimpleRequest
{
    Model::Address address_;
    http::verb method_ = http::verb::get;
    std::string target_ = "/";
    std::string body_;
    /// Further fields of the head; a Host among them replaces the address.
    std::vector<std::pair<std::string, std::string>> fields_;
    Model::Milliseconds timeout_{2000};
};

/// Sends \a request on a new connection and waits for the answer.
///
/// Returns nothing if no answer came in time; the last reason is PlatformUnreachable if no byte can
/// have left, else CommitOutcomeUnknown. Thread safety: any thread; blocks it.
std::optional<Response> sendAndWait(const SimpleRequest &request);

} // namespace Http
