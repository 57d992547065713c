#pragma once

#include <LibModel/LibModel.h>

#include <cstddef>
#include <optional>
#include <vector>

namespace Policy {

/// The properties of a target that could take a request, as known to this entry.
struct Candidate
{
    /// Index of the target in the calling code.
    std::size_t target_ = 0;
    /// The target is in the home domain of the request's object.
    bool isHome_ = false;
    /// The target has the highest rank for the object in a failure domain that is the object's home
    /// for callers of that domain, though not for this caller.
    bool isRemoteHome_ = false;
    /// Secondary owner: takes requests for which the better ranked target in the home domain has no
    /// slot.
    bool isSecondaryOwner_ = false;
    /// This entry has recently seen the target handle the object.
    bool isKnownWarm_ = false;
    /// Otherwise, the probability (0 to 1) that other entries have sent the object there.
    double peerWarmth_ = 0;
    /// The request would run in another region than that of the object's home.
    bool leavesHomeRegion_ = false;
    Model::Microseconds roundTrip_{0};
    /// Estimated number of requests that the target processes or queues.
    double load_ = 0;
    double slots_ = 1;
    /// Ratio of the target's time to that of other targets of its service.
    double slowness_ = 1;
    /// Fraction of recent requests that the target refused or failed.
    double failureRate_ = 0;
};

/// Processing time of a request, without any wait.
struct WorkEstimate
{
    Model::Microseconds warm_{0};
    Model::Microseconds cold_{0};
    /// Mean over all requests that the targets of the service process; waits are multiples of it.
    Model::Microseconds serviceMean_{0};
};

/// Largest weight of a cold load in a full service, relative to an idle service.
constexpr double maxColdLoadCostFactor = 4;

/// Below this utilisation of a service's slots a cold load takes only idle time, and a secondary
/// owner may load an object whose first owner is full.
constexpr double maxUseForSecondaryLoad = 0.6;

/// Returns the cost of a cold load to later requests, where \a use of the service's slots is taken
/// (0 to 1): the extra time of a cold load over warm work, times the wait that each unit of slot
/// time causes at that utilisation.
///
/// Without it, under load each off-owner request makes another target load its object, which takes
/// the slot time of three or four warm requests and evicts another object. More requests then find
/// their owners busy and go off-owner, and the service stays in this state after the cause has
/// ended. Thread safety: any thread.
Model::Microseconds coldLoadCost(const WorkEstimate &work, double use);

/// Time cost of a refusal or failure: the round trip and the wait at a second target.
constexpr Model::Microseconds failureCost{300000};

/// Returns the expected time until \a candidate answers.
///
/// Thread safety: any thread.
Model::Microseconds expectedTime(const Candidate &candidate, const WorkEstimate &work);

/// Returns the time within which a healthy target normally answers: as expectedTime(), but with a
/// cold load unless the target is known to be warm.
///
/// If targets were held to expectedTime(), each first request for an object would take three to
/// four times the warm time and make the target look slow; its objects would go to others that must
/// load them too, and those would look slow in turn. Thread safety: any thread.
Model::Microseconds latestNormalTime(const Candidate &candidate, const WorkEstimate &work);

/// The chosen candidate and its expected time.
struct TargetChoice
{
    /// Index into the candidates.
    std::size_t candidate_ = 0;
    /// Expected time until the answer, without the cold-load cost.
    Model::Microseconds expected_{0};
};

/// Returns the candidate with the earliest expected answer, cold-load cost included, or
/// std::nullopt if there is no candidate.
///
/// If the least loaded target were chosen instead, each request would go to a target that has not
/// handled its object and take three times as long there, and the slots would be full at a third of
/// their normal throughput. Thread safety: any thread.
std::optional<TargetChoice> chooseAmong(const std::vector<Candidate> &candidates,
                                        const WorkEstimate &work, double use);

} // namespace Policy
