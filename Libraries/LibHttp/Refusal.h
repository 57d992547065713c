#pragma once

#include "Types.h"

#include <string>

namespace Http {

/// Returns an error answer whose JSON body states \a reason; the status is statusOf() its code.
///
/// Thread safety: any thread.
Response refusal(const Model::Reason &reason, unsigned httpVersion);

/// Returns an answer with \a body of content type \a type. Thread safety: any thread.
Response textAnswer(http::status status, std::string type, std::string body, unsigned httpVersion);

/// Returns the HTTP status that represents \a code. Thread safety: any thread.
http::status statusOf(Model::ResultCode code);

} // namespace Http
