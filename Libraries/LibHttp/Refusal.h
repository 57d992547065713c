#pragma once

#include "Types.h"

#include <string>

namespace Http {

/// Returns an answer with a JSON body that gives \a reason; the status follows from the code.
///
/// Thread safety: any thread.
Response refusal(const Model::Reason &reason, unsigned httpVersion);

/// Returns a plain answer. Thread safety: any thread.
Response textAnswer(http::status status, std::string type, std::string body, unsigned httpVersion);

/// Returns the HTTP status under which \a code is shown. Thread safety: any thread.
http::status statusOf(Model::ResultCode code);

} // namespace Http
