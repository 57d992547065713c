#pragma once

#include <LibModel/LibModel.h>

namespace Policy {

/// Returns whether Retry-After in a target's answer asks the instance for a pause: in a 503, and in
/// a 429 if the target states that it has not run the request. An answer of 429 to a request that
/// ran concerns its caller. Thread safety: any thread.
bool mayAskForPause(unsigned status, bool isNotRun);

} // namespace Policy
