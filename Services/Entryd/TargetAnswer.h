#pragma once

#include "TargetState.h"

#include <LibHttp/LibHttp.h>

namespace Entryd {

/// Takes what an answer says about its target into \a target, and logs what is new.
///
/// Thread safety: any thread.
void noteTargetAnswer(TargetState &target, const Http::Response &answer);

/// Takes in that no answer came. \a isCertain is set when no connection could be made at all.
///
/// Thread safety: any thread.
void noteTargetLost(TargetState &target, bool isCertain);

/// Returns the whole number at the beginning of \a text, or \a fallback. Thread safety: any thread.
std::int64_t numberIn(Http::beast::string_view text, std::int64_t fallback);

} // namespace Entryd
