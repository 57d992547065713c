#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>

namespace Policy {

/// Token bucket for the requests that one entry may send to one cold target. Not shared between
/// threads.
struct SlowStart
{
    double tokens_ = 0;
    Model::SteadyTime filledAt_;
};

/// Starts with an empty bucket. Thread safety: \a ramp belongs to the calling thread.
void beginSlowStart(SlowStart &ramp, Model::SteadyTime now);

/// Takes the token for one request, if available. \a limit is the rate that the target can take
/// from all entries together; each of \a holders entries uses an equal part and saves at most one
/// token.
///
/// Without the limit, a target that returns with empty caches gets its whole share at once, falls
/// behind and crashes again. With more saved tokens, all entries would spend them in the same
/// second. Thread safety: as above.
bool takeSlowStartToken(SlowStart &ramp, Model::RequestsPerSecond limit, std::size_t holders,
                        Model::SteadyTime now);

/// Returns whether takeSlowStartToken() would succeed. Thread safety: any thread.
bool hasSlowStartToken(const SlowStart &ramp, Model::RequestsPerSecond limit, std::size_t holders,
                       Model::SteadyTime now);

} // namespace Policy
