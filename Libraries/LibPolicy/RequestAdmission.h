#pragma once

#include <LibModel/LibModel.h>

namespace Policy {

/// What decides whether a request is worth a slot now.
struct AdmissionCase
{
    /// When the answer is expected, counted from now.
    Model::Microseconds expected_{0};
    /// How long the caller still waits, and how long the route lets it wait.
    Model::Microseconds left_{0};
    /// How much of the latency goal is left; below zero when it has passed.
    Model::Microseconds goalLeft_{0};
    int priority_ = 0;
};

/// A request that will be late is still taken while the wait is at most so many latency goals more;
/// one rank less urgent, half as many.
constexpr double latenessOfFirstRank = 2.0;

enum class AdmissionVerdict { Take, TooLate, NoRoom };

/// Decides whether to take a request.
///
/// What goes wrong without it: under overload every request waits its whole time, none is in time,
/// and the slots are spent on answers that nobody needs any more. Refused at once, a caller can ask
/// again while there is time. Thread safety: any thread.
AdmissionVerdict judgeAdmission(const AdmissionCase &request, Model::Milliseconds latencyGoal);

/// Returns when a refused caller should come back: after the wait that it was refused for, spread
/// by \a draw (0 to below 1) so that those refused together do not come back together.
/// Thread safety: any thread.
Model::Milliseconds returnAfter(Model::Microseconds expected, Model::Milliseconds latencyGoal,
                                double draw);

} // namespace Policy
