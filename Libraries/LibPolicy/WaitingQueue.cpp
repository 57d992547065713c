#include "WaitingQueue.h"

#include <algorithm>
#include <queue>

namespace Policy {

namespace {

/// The part of its time left that a request waits at most. The rest suffices for its work and, if
/// it is refused, for the third of the time left within which callers return.
constexpr int timeLeftPerWait = 4;
/// Waits outside these parts of the goal are too short to reach a free slot, or leave too little of
/// the goal for the work.
constexpr int shortestWaitPerGoal = 8;
constexpr int longestWaitPerGoal = 2;

using Entry = std::pair<double, Model::WorkspaceId>;

Entry servedEntry(const Model::WorkspaceId &workspace, const WorkspaceBacklog &backlog)
{
    return {backlog.served_, workspace};
}

Entry sizeEntry(const Model::WorkspaceId &workspace, const WorkspaceBacklog &backlog)
{
    return {static_cast<double>(backlog.waiting_.size()) / backlog.weight_, workspace};
}

WaitingOrder orderOf(const WaitingRequest &request)
{
    return {request.goalStart_, request.deadlineStart_, request.id_};
}

void insert(WaitingQueue &queue, const WaitingRequest &request)
{
    RankBacklog &rank = queue.ranks_[request.rank_];
    WorkspaceBacklog &backlog = rank.workspaces_[request.workspace_];
    if (backlog.waiting_.empty()) {
        rank.idle_.erase(servedEntry(request.workspace_, backlog));
        backlog.served_ = std::max(backlog.served_, rank.clock_);
        backlog.weight_ = request.shareWeight_;
    } else {
        rank.bySize_.erase(sizeEntry(request.workspace_, backlog));
    }
    backlog.waiting_.insert(orderOf(request));
    rank.byServed_.insert(servedEntry(request.workspace_, backlog));
    rank.bySize_.insert(sizeEntry(request.workspace_, backlog));
    ++rank.size_;
    queue.byLatestStart_.emplace(request.latestStart_, request.id_);
    queue.requests_.emplace(request.id_, request);
}

/// Forgets the workspaces without requests that have no advantage to pay back.
void dropIdle(RankBacklog &rank)
{
    while (!rank.idle_.empty() && rank.idle_.begin()->first <= rank.clock_) {
        rank.workspaces_.erase(rank.idle_.begin()->second);
        rank.idle_.erase(rank.idle_.begin());
    }
}

bool erase(WaitingQueue &queue, WaiterId id, bool isServed)
{
    const auto found = queue.requests_.find(id);
    if (found == queue.requests_.end())
        return false;
    const WaitingRequest request = found->second;
    RankBacklog &rank = queue.ranks_[request.rank_];
    WorkspaceBacklog &backlog = rank.workspaces_[request.workspace_];
    rank.byServed_.erase(servedEntry(request.workspace_, backlog));
    rank.bySize_.erase(sizeEntry(request.workspace_, backlog));
    backlog.waiting_.erase(orderOf(request));
    if (isServed) {
        rank.clock_ = std::max(rank.clock_, backlog.served_);
        backlog.served_ += 1 / backlog.weight_;
    }
    if (backlog.waiting_.empty()) {
        rank.idle_.insert(servedEntry(request.workspace_, backlog));
    } else {
        rank.byServed_.insert(servedEntry(request.workspace_, backlog));
        rank.bySize_.insert(sizeEntry(request.workspace_, backlog));
    }
    --rank.size_;
    // Without waiting requests there is nothing to share.
    if (rank.size_ == 0) {
        queue.ranks_.erase(request.rank_);
    } else {
        dropIdle(rank);
    }
    queue.byLatestStart_.erase({request.latestStart_, id});
    queue.requests_.erase(found);
    return true;
}

std::size_t backlogOf(const RankBacklog &rank, const Model::WorkspaceId &workspace)
{
    const auto found = rank.workspaces_.find(workspace);
    return found == rank.workspaces_.end() ? 0 : found->second.waiting_.size();
}

/// Returns how many waiting requests start before \a request: all of more urgent ranks and, of its
/// own rank, those that its workspace's share lets go first.
double startingBefore(const WaitingQueue &queue, const WaitingRequest &request)
{
    double count = 0;
    for (const auto &[number, rank] : queue.ranks_) {
        if (number > request.rank_)
            break;
        if (number < request.rank_) {
            count += static_cast<double>(rank.size_);
            continue;
        }
        const double rounds = static_cast<double>(backlogOf(rank, request.workspace_) + 1);
        const double shared = rounds * static_cast<double>(rank.byServed_.size());
        count += std::min(shared, static_cast<double>(rank.size_));
    }
    return count;
}

/// Returns the request that makes room for \a request in a full queue: of the least urgent rank,
/// the last one of the workspace with the largest backlog.
std::optional<WaiterId> displacedBy(const WaitingQueue &queue, const WaitingRequest &request)
{
    if (queue.ranks_.empty())
        return std::nullopt;
    const auto &[number, rank] = *queue.ranks_.rbegin();
    if (number < request.rank_)
        return std::nullopt;
    const auto &[largest, workspace] = *rank.bySize_.rbegin();
    const double own
        = static_cast<double>(backlogOf(rank, request.workspace_) + 1) / request.shareWeight_;
    if (number == request.rank_ && own >= largest)
        return std::nullopt;
    return rank.workspaces_.find(workspace)->second.waiting_.rbegin()->id_;
}

} // namespace

Model::Milliseconds longestWait(Model::Milliseconds latencyGoal, Model::Milliseconds timeLeft)
{
    return std::clamp(timeLeft / timeLeftPerWait, latencyGoal / shortestWaitPerGoal,
                      latencyGoal / longestWaitPerGoal);
}

Enqueued enqueue(WaitingQueue &queue, WaitingRequest request, const QueueLimits &limits,
                 Model::SteadyTime now)
{
    request.latestStart_ = request.goalStart_ > now ? request.goalStart_ : request.deadlineStart_;
    const double ahead = limits.drainPerSecond_ > 0 ? startingBefore(queue, request) : 0;
    const std::chrono::duration<double> wait(ahead > 0 ? ahead / limits.drainPerSecond_ : 0);
    if (request.latestStart_ <= now || request.latestStart_ - now < wait)
        return {QueueVerdict::TooLate, std::nullopt};
    Enqueued result;
    if (queue.requests_.size() + limits.reserved_ >= limits.bound_) {
        result.displaced_ = displacedBy(queue, request);
        if (!result.displaced_)
            return {QueueVerdict::Full, std::nullopt};
        remove(queue, *result.displaced_);
    }
    insert(queue, request);
    return result;
}

std::vector<WaiterId> nextRequests(const WaitingQueue &queue, std::size_t limit)
{
    struct Head
    {
        double served_ = 0;
        const Model::WorkspaceId *workspace_ = nullptr;
        const WorkspaceBacklog *backlog_ = nullptr;
        std::set<WaitingOrder>::const_iterator request_;

        bool operator>(const Head &other) const
        {
            return served_ != other.served_ ? served_ > other.served_
                                            : *workspace_ > *other.workspace_;
        }
    };
    std::vector<WaiterId> result;
    for (const auto &[number, rank] : queue.ranks_) {
        std::priority_queue<Head, std::vector<Head>, std::greater<>> heads;
        for (const auto &[served, workspace] : rank.byServed_) {
            if (heads.size() + result.size() >= limit)
                break;
            const WorkspaceBacklog &backlog = rank.workspaces_.find(workspace)->second;
            heads.push({served, &workspace, &backlog, backlog.waiting_.begin()});
        }
        while (!heads.empty() && result.size() < limit) {
            Head head = heads.top();
            heads.pop();
            result.push_back(head.request_->id_);
            head.served_ += 1 / head.backlog_->weight_;
            if (++head.request_ != head.backlog_->waiting_.end())
                heads.push(head);
        }
        if (result.size() >= limit)
            break;
    }
    return result;
}

std::optional<WaiterId> next(const WaitingQueue &queue)
{
    const auto first = nextRequests(queue, 1);
    return first.empty() ? std::nullopt : std::optional(first.front());
}

bool take(WaitingQueue &queue, WaiterId id)
{
    return erase(queue, id, true);
}

bool remove(WaitingQueue &queue, WaiterId id)
{
    return erase(queue, id, false);
}

std::optional<WaiterId> takeExpired(WaitingQueue &queue, Model::SteadyTime now)
{
    if (queue.byLatestStart_.empty() || queue.byLatestStart_.begin()->first > now)
        return std::nullopt;
    const WaiterId id = queue.byLatestStart_.begin()->second;
    remove(queue, id);
    return id;
}

} // namespace Policy
