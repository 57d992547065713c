#pragma once

#include <LibModel/LibModel.h>
#include <LibPolicy/LibPolicy.h>

#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace Entryd {

/// A target without a limit on the requests in progress after a pause.
constexpr std::int64_t noReturnWindow = -1;

/// The observed state of one target; all threads of the entry read and write it without a lock.
///
/// Thread safety: any thread. The counters are updated independently: a reader may see one of them
/// slightly older than another, which at worst costs a refusal by the target.
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
    /// Requests in flight as reported by the other entries of the region, and the time of the
    /// report.
    std::atomic<std::int64_t> peersInFlight_{0};
    std::atomic<std::int64_t> peerLoadAtUs_{0};
    std::atomic<std::int64_t> latencyUs_{0};
    std::atomic<std::int64_t> inUseSinceUs_{0};
    std::atomic<std::int64_t> consecutiveFailures_{0};
    std::atomic<std::uint64_t> incarnation_{0};
    /// The rate limit that the target names, in requests per second; zero for none.
    std::atomic<double> limit_{0};
    /// The interval between requests that this entry's part of the limit allows: zero without a
    /// limit, noLimitPart without a part.
    std::atomic<std::int64_t> limitIntervalUs_{0};
    /// When the part was last used, or the limit became known.
    std::atomic<std::int64_t> limitUsedAtUs_{0};
    /// The fields of Policy::TargetPause: the end of the pause that the target asked this entry
    /// for, and the window after it, or noReturnWindow.
    std::atomic<std::int64_t> pauseUntilUs_{0};
    std::atomic<std::int64_t> returnWindow_{noReturnWindow};
    /// A probe is due when the pause ends.
    std::atomic<bool> isReturnProbePending_{false};
    std::atomic<bool> isSuspect_{false};
    std::atomic<bool> isLeaving_{false};
    /// The time of the last request sent and of the last answer received; zero for never.
    std::atomic<std::int64_t> sentAtUs_{0};
    std::atomic<std::int64_t> answeredAtUs_{0};
};

/// The interval of an entry that may not use a target's limit.
constexpr std::int64_t noLimitPart = std::numeric_limits<std::int64_t>::max();

/// The time after which a hint of another entry expires.
constexpr Model::Milliseconds hintTtl{30};

/// Returns the pause that the target has asked this entry for. Thread safety: any thread.
Policy::TargetPause pauseOf(const TargetState &state);

/// Copies what the target at \a from has asked for to \a to, which stands for the same target after
/// a change of its row. Thread safety: any thread.
void carryTerms(const TargetState &from, TargetState &to);

/// Returns a copy of the counters for placement decisions. Thread safety: any thread.
Policy::TargetView viewOf(const TargetState &state, Model::SteadyTime now);

/// Returns copies of the counters of several targets. Thread safety: any thread.
std::vector<Policy::TargetView> viewsOf(const std::vector<std::shared_ptr<TargetState>> &targets,
                                        Model::SteadyTime now);

/// Holds one slot of a target: counts a request as in flight for the lifetime of the object.
///
/// Thread safety: distinct objects may be used on distinct threads.
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

/// The state that a target reports in an answer, a probe's answer or a refusal.
struct TargetReport
{
    std::int64_t inFlight_ = -1;
    Model::Incarnation incarnation_;
    bool isDraining_ = false;
    /// std::nullopt if the target names none.
    std::optional<Model::RequestsPerSecond> limit_;
    /// The pause that it asks this entry for; zero for none.
    Model::Microseconds pause_{0};
    /// It refused the request before starting it.
    bool isRefusal_ = false;
};

/// Records an answer's report. Returns whether it is the first to show that the target is leaving.
///
/// Thread safety: any thread.
bool noteReport(TargetState &state, const TargetReport &report, Model::SteadyTime now);

/// Records the limit in a target's answer, and logs when one begins or ends. Thread safety: any
/// thread.
void noteLimit(TargetState &state, std::optional<Model::RequestsPerSecond> limit,
               Model::SteadyTime now);

/// Sets the part of the target's limit that this entry may use. Thread safety: any thread.
void setLimitPart(TargetState &state, Model::RequestsPerSecond part);

/// Takes one request out of the entry's part of the target's limit. Returns false if another
/// thread was faster or the limit allows none now; true if the target names no limit. Thread
/// safety: any thread.
bool takeFromLimit(TargetState &state, Model::SteadyTime now);

/// Records that a request is being sent to the target. Thread safety: any thread.
void noteSend(TargetState &state, Model::SteadyTime now);

/// Logs that the target is leaving: the source of this information, the time since the last request
/// was sent to it, and the time between its last answer and that request. Thread safety: any
/// thread.
void logLeaving(const TargetState &state, std::string_view by, Model::SteadyTime now);

/// Updates the average latency with that of an answer. Thread safety: any thread.
void noteLatency(TargetState &state, Model::Microseconds latency);

/// Records that the target had no free slot and refused a request before starting it.
///
/// Without this, a target whose load report is wrong or late and shows it as idle is chosen again
/// immediately and refuses again, so requests loop. Thread safety: any thread.
void noteFull(TargetState &state, Model::SteadyTime now);

/// Records that a freed slot was yielded to another entry. Thread safety: any thread.
void noteTaken(TargetState &state, Model::SteadyTime now);

/// Records that another entry yielded a freed slot to this one. Thread safety: any thread.
void noteFreed(TargetState &state, Model::SteadyTime now);

/// Records the total requests in flight of the other entries. Thread safety: any thread.
void notePeerLoad(TargetState &state, std::int64_t inFlight, Model::SteadyTime now);

/// Records a failure. Returns whether it made the target suspect. \a isCertain is set when no
/// connection could be established. Thread safety: any thread.
bool noteFailure(TargetState &state, bool isCertain);

/// Records an answer of any kind. Returns whether the target was suspect before. Thread safety: any
/// thread.
bool noteAlive(TargetState &state, Model::SteadyTime now);

} // namespace Entryd
