#pragma once

#include "Types.h"

namespace Http {

/// Removes the fields of a message's head that hold for one connection only (RFC 9110, section
/// 7.6.1), those that its Connection field names included. What is forwarded must not carry them.
///
/// Thread safety: any thread.
void stripConnectionFields(Request &message);
void stripConnectionFields(Response &message);

} // namespace Http
