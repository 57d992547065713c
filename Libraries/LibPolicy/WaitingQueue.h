#pragma once

#include "Admission.h"
#include "FairQueue.h"

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace Policy {

/// A request that waits at the instance for a slot of its service.
struct WaitingRequest
{
    WaiterId id_ = 0;
    /// 0 is the most urgent.
    int rank_ = 0;
    /// Empty for requests without a workspace, which share as one.
    Model::WorkspaceId workspace_;
    /// A request that starts after this time misses its latency goal.
    Model::SteadyTime goalStart_;
    /// A request that starts after this time misses its deadline.
    Model::SteadyTime deadlineStart_;
    /// Part of the slots that its workspace receives, relative to the other workspaces.
    double shareWeight_ = 1;
    /// When it leaves the queue unserved. Set by enqueue().
    Model::SteadyTime latestStart_;
};

/// Order of a workspace's requests: time left to the goal, then to the deadline.
struct WaitingOrder
{
    Model::SteadyTime goalStart_;
    Model::SteadyTime deadlineStart_;
    WaiterId id_ = 0;

    auto operator<=>(const WaitingOrder &) const = default;
};

/// The waiting requests of one workspace and one rank.
struct WorkspaceBacklog
{
    std::set<WaitingOrder> waiting_;
    double weight_ = 1;
    /// Requests served, divided by the weight. The workspace with the lowest value is next.
    double served_ = 0;
};

/// The waiting requests of one rank.
struct RankBacklog
{
    std::map<Model::WorkspaceId, WorkspaceBacklog> workspaces_;
    /// The workspaces that have requests waiting, least served first.
    std::set<std::pair<double, Model::WorkspaceId>> byServed_;
    /// The same by the number of waiting requests divided by the weight.
    std::set<std::pair<double, Model::WorkspaceId>> bySize_;
    /// The workspaces that have none and were served more than the one served last.
    std::set<std::pair<double, Model::WorkspaceId>> idle_;
    /// What the workspace that was served last had received before. One that joins starts here.
    double clock_ = 0;
    std::size_t size_ = 0;
};

/// The requests of one service that wait at an instance until a target has room.
///
/// Without it, the instance places or refuses a request at once, and all waiting is in the targets'
/// queues, which are first in, first out: an urgent request waits behind less urgent ones, and a
/// workspace behind one that sends ten times its usual load. Not shared between threads.
struct WaitingQueue
{
    std::map<int, RankBacklog> ranks_;
    std::unordered_map<WaiterId, WaitingRequest> requests_;
    std::set<std::pair<Model::SteadyTime, WaiterId>> byLatestStart_;
};

/// What limits the queue at the time of an arrival.
struct QueueLimits
{
    /// Requests that may wait; queueBound() for the longest wait of the arriving request.
    std::size_t bound_ = 0;
    /// Places kept for requests whose return was announced.
    std::size_t reserved_ = 0;
    /// Requests that leave the queue for a slot each second; zero if not known.
    double drainPerSecond_ = 0;
};

enum class QueueVerdict {
    Waits,
    /// It could not start in time behind the requests that go first.
    TooLate,
    /// The queue is full and no request in it is less urgent.
    Full,
};

/// The result of enqueue().
struct Enqueued
{
    QueueVerdict verdict_ = QueueVerdict::Waits;
    /// The request that was removed to make room.
    std::optional<WaiterId> displaced_;
};

/// Returns the longest time that a request with \a timeLeft until its deadline waits at the
/// instance. The rest of its time has to suffice for its work and, if it is refused, for a retry.
/// Thread safety: any thread.
Model::Milliseconds longestWait(Model::Milliseconds latencyGoal, Model::Milliseconds timeLeft);

/// Adds \a request unless it cannot start in time or the queue is full. A full queue makes room for
/// a more urgent request, and for one of the least urgent rank whose workspace has a smaller
/// backlog than the largest one.
///
/// Precondition: the queue holds no request with the same id. Thread safety: the queue belongs to
/// the calling thread.
Enqueued enqueue(WaitingQueue &queue, WaitingRequest request, const QueueLimits &limits,
                 Model::SteadyTime now);

/// Returns at most \a limit requests in the order in which they should start, without removing
/// them. Thread safety: as enqueue().
std::vector<WaiterId> nextRequests(const WaitingQueue &queue, std::size_t limit);

/// Returns the request that should start next, without removing it. Thread safety: as enqueue().
std::optional<WaiterId> next(const WaitingQueue &queue);

/// Removes a request that starts and charges it to its workspace. Returns false if the queue does
/// not hold it. Thread safety: as enqueue().
bool take(WaitingQueue &queue, WaiterId id);

/// Removes a request that does not start. Returns false if the queue does not hold it. Thread
/// safety: as enqueue().
bool remove(WaitingQueue &queue, WaiterId id);

/// Removes one request whose latest start has passed, if there is one. Thread safety: as enqueue().
std::optional<WaiterId> takeExpired(WaitingQueue &queue, Model::SteadyTime now);

/// Thread safety: as enqueue().
inline std::size_t size(const WaitingQueue &queue)
{
    return queue.requests_.size();
}

} // namespace Policy
