#pragma once

#include <LibModel/LibModel.h>

#include <string>
#include <vector>

namespace Tablectl {

/// Requests the status of an instance's control process and summarizes it: readiness, the table
/// versions in use (STALE if older than \a storeVersion), members considered failed, regions
/// without recent updates, leaving targets and shares that are shifting. One line, and one for each
/// of these.
///
/// Thread safety: any thread. Waits up to 1 s.
std::string instanceStatusText(const Model::Instance &instance, Model::TableVersion storeVersion);

/// Returns where a request goes now, according to the first instance of \a origin that answers: the
/// entries that a look-up returns, the shares in force if they differ from the plan, the
/// unavailable regions and the leaving targets.
///
/// Thread safety: any thread. Waits up to 1 s for each instance that does not answer.
std::string liveRouteText(const std::vector<Model::Instance> &instances,
                          const Model::ServiceId &service, const Model::CallerId &caller,
                          const Model::RegionId &origin);

} // namespace Tablectl
