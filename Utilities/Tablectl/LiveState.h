#pragma once

#include <LibModel/LibModel.h>

#include <string>
#include <vector>

namespace Tablectl {

/// Asks an instance's control process and returns what an operator needs of its answer: readiness,
/// the versions in use (STALE below \a inStore), members it takes for dead, regions it hears
/// nothing of, leaving targets and shares on their way. One line, and one for each such thing.
///
/// Thread safety: any thread. Waits up to 1 s.
std::string instanceText(const Model::Instance &instance, Model::TableVersion inStore);

/// Returns where a request would go now, by the first instance of \a origin that answers: the
/// entries that a look-up names, the shares in force if they differ from the plan, the regions that
/// are out and the targets that leave.
///
/// Thread safety: any thread. Waits up to 1 s for each instance that does not answer.
std::string nowText(const std::vector<Model::Instance> &instances, const Model::ServiceId &service,
                    const Model::CallerId &caller, const Model::RegionId &origin);

} // namespace Tablectl
