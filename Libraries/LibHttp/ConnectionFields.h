#pragma once

#include "Types.h"

namespace Http {

/// Removes the hop-by-hop header fields (RFC 9110, section 7.6.1), including those that the
/// message's Connection field names. A forwarded message must not carry them.
///
/// Thread safety: any thread.
void stripConnectionFields(http::fields &message);

} // namespace Http
