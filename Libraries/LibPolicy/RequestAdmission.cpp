#include "RequestAdmission.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

constexpr Model::Milliseconds minReturnDelay{100};
constexpr Model::Milliseconds maxReturnDelay{2000};

} // namespace

AdmissionVerdict evaluateAdmission(const AdmissionInputs &request, Model::Milliseconds latencyGoal)
{
    if (request.expected_ > request.left_)
        return AdmissionVerdict::TooLate;
    if (request.hasFreeSlot_)
        return AdmissionVerdict::Take;
    const auto late = request.expected_ - request.goalLeft_;
    const double goals = static_cast<double>(late.count())
                         / static_cast<double>(
                             std::chrono::duration_cast<Model::Microseconds>(latencyGoal).count());
    const double allowed = latenessOfFirstRank * std::exp2(-request.priority_);
    return goals > allowed ? AdmissionVerdict::NoRoom : AdmissionVerdict::Take;
}

Model::Milliseconds refusalRetryDelay(Model::Microseconds expected, Model::Milliseconds latencyGoal,
                                      double draw)
{
    const auto excess = std::chrono::duration_cast<Model::Milliseconds>(expected) - latencyGoal;
    const auto base = std::clamp(3 * excess, 3 * minReturnDelay, maxReturnDelay);
    const auto spread = static_cast<double>(base.count()) * (0.75 + 0.5 * draw);
    return Model::Milliseconds(static_cast<long long>(spread));
}

} // namespace Policy
