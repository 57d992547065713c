#pragma once

#include "Commands.h"

namespace Tablectl {

/// Prints the requests that each of the given addresses (admin of instanced, entry_admin of entryd)
/// holds in quarantine. Thread safety: none.
Observe::ExitCode listQuarantines(const Options &options);

/// Releases the quarantine named by the second argument at the first of the given addresses that
/// holds it; the instances propagate the release to each other. Thread safety: none.
Observe::ExitCode releaseQuarantine(const Options &options);

} // namespace Tablectl
