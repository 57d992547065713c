#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Soak {

/// What may go wrong. A fault lasts from its start to its end; the subject is the number of an
/// instance, a target or a failure domain.
enum class FaultKind {
    InstanceKilled,
    InstancePaused,
    InstanceStopped,
    StoreRefuses,
    StoreLosesAnswers,
    StoreForgets,
    /// The ways of one instance to the store, to its peers, or of all to a target are disturbed.
    StoreWay,
    PeerWays,
    TargetWay,
    TargetMisbehaves,
    /// It ends, and another run of it takes its address at once.
    TargetReplaced,
    /// It says that it leaves, or its registration goes without a word; it serves on for a while
    /// and comes back as another run.
    TargetLeaves,
    TableEdited,
    DomainDrained,
    /// A request comes again and again under which every target that runs it ends.
    RequestEndsTargets,
};

struct Fault
{
    FaultKind kind_ = FaultKind::InstanceKilled;
    Model::Milliseconds start_{0};
    Model::Milliseconds end_{0};
    std::size_t subject_ = 0;
    /// Which of the variants of the kind.
    std::size_t variant_ = 0;
};

struct PlanSize
{
    std::size_t instances_ = 6;
    std::size_t targets_ = 8;
    Model::Milliseconds length_{46000};
    /// Plans have requests under which targets end, beside their other faults.
    bool hasEndingRequests_ = true;
};

/// No fault starts before the callers have settled, and none lasts into the end of a run.
constexpr Model::Milliseconds settleTime{3000};
constexpr Model::Milliseconds calmTime{10000};
/// Before that, targets leave while instances and targets are disturbed and the store is not: what
/// the store acknowledged while it was disturbed binds nobody, so that nothing could be judged.
constexpr Model::Milliseconds leaveTime{16000};
constexpr Model::Milliseconds shortestLength = settleTime + leaveTime + calmTime;

/// Returns the faults of \a seed by their starts; they come in series and overlap.
std::vector<Fault> planOf(std::uint64_t seed, const PlanSize &size);

/// Returns "12.3-14.1 s InstanceKilled 3/0". Thread safety: any thread.
std::string toText(const Fault &fault);

} // namespace Soak
