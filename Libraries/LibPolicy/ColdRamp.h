#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>

namespace Policy {

/// What one entry may still send to one cold target. Not shared between threads.
struct ColdRamp
{
    double tokens_ = 0;
    Model::SteadyTime filledAt_;
};

/// Begins with nothing saved up. Thread safety: \a ramp belongs to the calling thread.
void startRamp(ColdRamp &ramp, Model::SteadyTime now);

/// Takes leave to send one request, if there is any. \a limit is what the target bears from all
/// entries together; each of \a holders entries takes an equal part and saves up one request at
/// the most.
///
/// What goes wrong without it: a target that comes back with empty caches gets its whole share at
/// once, falls behind, and crashes again. What goes wrong with more saved up: all entries spend
/// their savings in the same second. Thread safety: as above.
bool takeFromRamp(ColdRamp &ramp, Model::RequestsPerSecond limit, std::size_t holders,
                  Model::SteadyTime now);

/// Tells whether takeFromRamp() would succeed. Thread safety: any thread.
bool hasRampRoom(const ColdRamp &ramp, Model::RequestsPerSecond limit, std::size_t holders,
                 Model::SteadyTime now);

} // namespace Policy
