#pragma once

#include <LibPolicy/LibPolicy.h>

#include <string>

namespace Tablectl {

/// Returns, line by line, how a request of \a caller for \a service from \a origin is treated at
/// \a at by the table alone: its class, where the traffic goes and why, and what would be refused.
///
/// Returns nothing, with UnknownService or BadLookupQuery as the last reason, for names that the
/// table does not have. Thread safety: any thread.
std::optional<std::string> explain(const Model::Table &table, const Model::ServiceId &service,
                                   const Model::CallerId &caller, const Model::RegionId &origin,
                                   Model::WallTime at);

/// Returns the scheduled and running drains with their progress, a line for each service and
/// failure domain. Thread safety: any thread.
std::string drainsText(const Model::Table &table, Model::WallTime now);

} // namespace Tablectl
