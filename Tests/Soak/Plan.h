#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Soak {

/// The kinds of injected faults. A fault lasts from its start to its end; its subject is the number
/// of an instance, a target or a failure domain.
enum class FaultKind {
    InstanceKilled,
    InstancePaused,
    InstanceStopped,
    StoreRefuses,
    StoreLosesAnswers,
    StoreForgets,
    /// Connections from one instance to the store or to its peers, or from all instances to a
    /// target, are disturbed.
    StoreWay,
    PeerWays,
    TargetWay,
    TargetMisbehaves,
    /// The target exits, and a new incarnation takes its address immediately.
    TargetReplaced,
    /// The target announces that it leaves, or its registration is removed without notice; it keeps
    /// serving for a while and returns as a new incarnation.
    TargetLeaves,
    TableEdited,
    DomainDrained,
    /// A poison request is repeated: every target that runs it crashes.
    RequestEndsTargets,
    /// The target turns requests away and asks for pauses, or all targets do.
    TargetPauses,
    /// The target announces in its answers that it leaves, while its registration says otherwise,
    /// and returns as a new incarnation.
    TargetAnnouncesLeave,
    /// The registrations of most targets are removed and return under the same ids.
    RegistrationsLapse,
    /// A copy of the store is made.
    StoreCopied,
    /// The store returns from the copy; at the end, operators and targets write again what it has
    /// lost.
    StoreReturns,
};

struct Fault
{
    FaultKind kind_ = FaultKind::InstanceKilled;
    Model::Milliseconds start_{0};
    Model::Milliseconds end_{0};
    std::size_t subject_ = 0;
    /// Number of the variant of the kind.
    std::size_t variant_ = 0;
};

struct PlanSize
{
    std::size_t instances_ = 6;
    std::size_t targets_ = 8;
    Model::Milliseconds length_{46000};
    /// Plans include poison requests besides their other faults.
    bool hasPoisonRequests_ = true;
};

/// No fault starts before the callers have settled, and none lasts into the end of the run.
constexpr Model::Milliseconds settleTime{3000};
constexpr Model::Milliseconds calmTime{10000};
/// Before the calm, targets leave while instances and targets are disturbed and the store is not. A
/// leave acknowledged by a disturbed store binds no instance, so it could not be checked.
constexpr Model::Milliseconds leaveTime{16000};
constexpr Model::Milliseconds shortestLength = settleTime + leaveTime + calmTime;

/// Returns the faults of \a seed, sorted by start; faults may follow each other and overlap.
std::vector<Fault> planOf(std::uint64_t seed, const PlanSize &size);

/// Returns "12.3-14.1 s InstanceKilled 3/0". Thread safety: any thread.
std::string toText(const Fault &fault);

} // namespace Soak
