#pragma once

#include "TargetState.h"

#include <LibHttp/LibHttp.h>

namespace Entryd {

/// Updates \a target from the report that an answer carries, and logs state changes.
///
/// Thread safety: any thread.
void noteTargetAnswer(TargetState &target, const Http::Response &answer);

/// Records that no answer arrived. \a isCertain is set when no connection could be established.
///
/// Thread safety: any thread.
void noteTargetLost(TargetState &target, bool isCertain);

/// Returns the integer at the start of \a text, or \a fallback. Thread safety: any thread.
std::int64_t numberIn(Http::beast::string_view text, std::int64_t fallback);

} // namespace Entryd
