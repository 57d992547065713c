#pragma once

#include "Commands.h"

namespace Tablectl {

/// Prints the requests that each of the asked addresses (admin of instanced, entry_admin of entryd)
/// keeps from targets. Thread safety: none.
Observe::ExitCode listQuarantines(const Options &options);

/// Lifts the quarantine named by the second argument at the first of the asked addresses that has
/// it; the instances tell each other. Thread safety: none.
Observe::ExitCode liftQuarantine(const Options &options);

} // namespace Tablectl
