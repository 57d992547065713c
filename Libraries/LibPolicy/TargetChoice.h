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
    /// It has the highest rank for the object in a failure domain that is the home of the object
    /// for callers of that domain, though not for this caller.
    bool isHomeOfOthers_ = false;
    /// It takes what its better ranked neighbour in the home domain has no slot for.
    bool isOverflow_ = false;
    /// The target has handled the object lately, as this entry saw itself.
    bool isKnownWarm_ = false;
    /// Otherwise, how likely it is that others have sent it there, from 0 to 1.
    double othersWarmth_ = 0;
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

/// How a load in a full service counts, against one in an idle service: at the most this often.
constexpr double mostLoadPrice = 4;

/// Below this use of a service's slots a load takes time that nobody needs, and a second owner may
/// load an object whose first one is full.
constexpr double useWithoutPressure = 0.6;

/// Returns what loading an object costs the requests that come after it, where \a use of the
/// service's slots is taken (0 to 1): the time of a load beyond that of warm work, times what each
/// unit of slot time costs in waits at that use.
///
/// What goes wrong without it: under load each request that strays makes another target load its
/// object, which takes the slot time of three or four warm requests and pushes another object out;
/// more requests find their owners busy and stray, and the service stays so after the cause has
/// gone. Thread safety: any thread.
Model::Microseconds loadPrice(const WorkEstimate &work, double use);

/// What a refusal or failure costs in time: the round trip and the wait at a second target.
constexpr Model::Microseconds failureCost{300000};

/// Returns when \a candidate would likely have answered, counted from now.
///
/// Thread safety: any thread.
Model::Microseconds expectedTime(const Candidate &candidate, const WorkEstimate &work);

/// Returns when a sound target answers at the latest as a rule: as expectedTime(), but the target
/// has to load the object unless it surely has it.
///
/// What goes wrong when a target is held to expectedTime(): each first request for an object takes
/// three to four times as long as one that is warm, the target is taken for slow, its objects go
/// to others that must load them too, and those look slow in turn. Thread safety: any thread.
Model::Microseconds latestUsualTime(const Candidate &candidate, const WorkEstimate &work);

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
                                        const WorkEstimate &work, double use);

} // namespace Policy
