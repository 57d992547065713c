#pragma once

#include <LibModel/LibModel.h>

namespace Policy {

/// The inputs of the admission decision for one request.
struct AdmissionInputs
{
    /// Expected time until the answer.
    Model::Microseconds expected_{0};
    /// Remaining time that the caller waits and its route allows.
    Model::Microseconds left_{0};
    /// Remaining time of the latency goal; negative once it has passed.
    Model::Microseconds goalLeft_{0};
    int priority_ = 0;
    /// The target is known to have a free slot, so that refusing the request would save no other
    /// request any time.
    bool hasFreeSlot_ = false;
};

/// A request of priority 0 that will miss its latency goal is admitted up to this many goals late;
/// each lower priority halves the limit.
constexpr double latenessOfFirstRank = 2.0;

enum class AdmissionVerdict { Take, TooLate, NoRoom };

/// Decides whether to admit a request.
///
/// Without it, under overload every request waits its whole time, none is in time, and the slots
/// are spent on answers that are no longer needed. A caller that is refused at once can retry while
/// there is time. Thread safety: any thread.
AdmissionVerdict evaluateAdmission(const AdmissionInputs &request, Model::Milliseconds latencyGoal);

/// Returns after which delay a refused caller should retry. The delay grows with the expected wait
/// and is spread by \a draw (0 to below 1), so that callers refused together do not retry together.
/// Thread safety: any thread.
Model::Milliseconds refusalRetryDelay(Model::Microseconds expected, Model::Milliseconds latencyGoal,
                                      double draw);

} // namespace Policy
