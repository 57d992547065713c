#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace Policy {

/// What an entry knows of a target that could take a request.
struct Candidate
{
    /// The caller's index of the target.
    std::size_t target_ = 0;
    /// The failure domain is the home of the request's object.
    bool isHome_ = false;
    /// The target has handled the object lately.
    bool isWarm_ = false;
    /// The request would run in another region than that of the object's home.
    bool leavesHomeRegion_ = false;
    Model::Microseconds roundTrip_{0};
    /// Requests that the target likely works on or keeps waiting.
    double load_ = 0;
    double slots_ = 1;
    /// How many times as long as others of its service it takes.
    double slowness_ = 1;
    /// Part of the requests that it refused or failed lately.
    double failureRate_ = 0;
};

/// How long the work of a request takes, without any wait.
struct WorkEstimate
{
    Model::Microseconds warm_{0};
    Model::Microseconds cold_{0};
    /// Mean over all requests that the targets of the service work on; what a wait is made of.
    Model::Microseconds serviceMean_{0};
};

/// A target that is not at the object's home must promise to be faster by this much: a request that
/// strays makes another target load the object, which costs that target the time of three or four
/// warm requests. Measured as the difference between cold and warm work of the requests seen.
constexpr Model::Microseconds strayPenalty{250000};

/// What a refusal or failure costs in time: the round trip and the wait at a second target.
constexpr Model::Microseconds failureCost{300000};

/// Returns when \a candidate would likely have answered, counted from now.
///
/// Thread safety: any thread.
Model::Microseconds expectedTime(const Candidate &candidate, const WorkEstimate &work);

/// What was chosen and why.
struct TargetChoice
{
    /// Index into the candidates.
    std::size_t candidate_ = 0;
    /// When the answer is expected, counted from now, without the penalty for straying.
    Model::Microseconds expected_{0};
};

/// Returns the candidate with the earliest expected answer, the penalty for straying included, or
/// nothing if there is none.
///
/// What goes wrong with the least loaded target instead: each request finds a target that has not
/// handled its object, works three times as long there, and the slots are gone at a third of what
/// they carry. Thread safety: any thread.
std::optional<TargetChoice> chooseAmong(const std::vector<Candidate> &candidates,
                                        const WorkEstimate &work);

} // namespace Policy
