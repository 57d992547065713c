#pragma once

#include <LibModel/LibModel.h>
#include <LibPolicy/LibPolicy.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>

namespace Entryd {

/// What this entry observed of one target; written and read by all threads without a lock.
///
/// Thread safety: any thread. The counters are independent of each other: a reader may see one of
/// them a moment older than another, which at worst costs a refusal by the target.
struct TargetState
{
    explicit TargetState(Model::Target target)
        : target_(std::move(target))
    {
    }

    const Model::Target target_;
    std::atomic<std::int64_t> ownInFlight_{0};
    std::atomic<std::int64_t> reportedInFlight_{0};
    std::atomic<std::int64_t> ownInFlightAtReport_{0};
    std::atomic<std::int64_t> reportedAtUs_{0};
    /// What the other entries of the region have in progress, by their own word, and when it came.
    std::atomic<std::int64_t> peersInFlight_{0};
    std::atomic<std::int64_t> peersHeardAtUs_{0};
    std::atomic<std::int64_t> latencyUs_{0};
    std::atomic<std::int64_t> inUseSinceUs_{0};
    std::atomic<std::int64_t> failuresInARow_{0};
    std::atomic<std::uint64_t> incarnation_{0};
    std::atomic<bool> isSuspect_{false};
    std::atomic<bool> isLeaving_{false};
    /// When a request was last sent there, and when it last answered anything; zero for never.
    std::atomic<std::int64_t> sentAtUs_{0};
    std::atomic<std::int64_t> heardAtUs_{0};
};

/// What an entry said of its requests holds for this long, if it does not say it again.
constexpr Model::Milliseconds noteLife{30};

/// Returns a copy of the counters for the decisions. Thread safety: any thread.
Policy::TargetView viewOf(const TargetState &state, Model::SteadyTime now);

/// Holds one slot of a target: counts a request in while it lives.
///
/// Thread safety: as a plain value; distinct objects on distinct threads.
class SlotHold
{
public:
    SlotHold() = default;
    explicit SlotHold(std::shared_ptr<TargetState> state)
        : state_(std::move(state))
    {
        ++state_->ownInFlight_;
    }
    SlotHold(SlotHold &&) = default;
    SlotHold &operator=(SlotHold &&other)
    {
        release();
        state_ = std::move(other.state_);
        return *this;
    }
    ~SlotHold() { release(); }

    void release()
    {
        if (state_)
            --state_->ownInFlight_;
        state_.reset();
    }
    const std::shared_ptr<TargetState> &state() const { return state_; }

private:
    std::shared_ptr<TargetState> state_;
};

/// What an answer, a probe's answer or a refusal says about its target.
struct TargetReport
{
    std::int64_t inFlight_ = -1;
    Model::Incarnation incarnation_;
    bool isDraining_ = false;
};

/// Takes in an answer's report. Returns whether the target is newly known to be leaving.
///
/// Thread safety: any thread.
bool noteReport(TargetState &state, const TargetReport &report, Model::SteadyTime now);

/// Takes in that a request is sent there now. Thread safety: any thread.
void noteSend(TargetState &state, Model::SteadyTime now);

/// Logs that the target is known to leave: by whom, how long ago a request was last sent there, and
/// how long before that the target had last said anything. Thread safety: any thread.
void logLeaving(const TargetState &state, std::string_view by, Model::SteadyTime now);

/// Takes in the time that an answer took. Thread safety: any thread.
void noteLatency(TargetState &state, Model::Microseconds latency);

/// Takes in that the target refused before starting for lack of a slot.
///
/// What goes wrong without it: a target whose load report lies, or comes late, claims to be idle,
/// is chosen again at once, refuses again, and requests go round in circles. Thread safety: any
/// thread.
void noteFull(TargetState &state, Model::SteadyTime now);

/// Takes in that a slot which came free was left to another entry. Thread safety: any thread.
void noteTaken(TargetState &state, Model::SteadyTime now);

/// Takes in that another entry left a slot that came free to this one. Thread safety: any thread.
void noteFreed(TargetState &state, Model::SteadyTime now);

/// Takes in what the other entries together have in progress. Thread safety: any thread.
void notePeers(TargetState &state, std::int64_t inFlight, Model::SteadyTime now);

/// Takes in a failure. Returns whether the target became suspect by it. \a isCertain is set when no
/// connection could be made at all. Thread safety: any thread.
bool noteFailure(TargetState &state, bool isCertain);

/// Takes in any answer. Returns whether the target was suspect until now. Thread safety: any
/// thread.
bool noteAlive(TargetState &state, Model::SteadyTime now);

} // namespace Entryd
