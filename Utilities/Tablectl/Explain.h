#pragma once

#include <LibPolicy/LibPolicy.h>

#include <string>

namespace Tablectl {

/// Describes how the table alone treats a request of \a caller for \a service from \a origin at
/// time \a at: its class, where its traffic goes and why, and which requests are refused.
///
/// Returns std::nullopt, with UnknownService or BadLookupQuery as the last reason, if the table
/// does not contain \a service or \a origin. Thread safety: any thread.
std::optional<std::string> explain(const Model::Table &table, const Model::ServiceId &service,
                                   const Model::CallerId &caller, const Model::RegionId &origin,
                                   Model::WallTime at);

/// Returns the scheduled and running drains with their progress, one line per service and failure
/// domain. Thread safety: any thread.
std::string drainsText(const Model::Table &table, Model::WallTime now);

} // namespace Tablectl
