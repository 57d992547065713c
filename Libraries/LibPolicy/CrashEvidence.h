#pragma once

#include "RequestPrint.h"

#include <LibModel/LibModel.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <optional>
#include <unordered_map>
#include <vector>

namespace Policy {

/// Names one run of a target: a hash of its id and of what tells its runs apart.
using RunKey = Model::StrongNumber<struct RunKeyTag, std::uint64_t>;

/// Returns the key of a target's run. Thread safety: any thread.
RunKey runKeyOf(const Model::TargetId &target, Model::Incarnation incarnation);

/// A request that was in progress when a run ended.
struct Suspect
{
    RequestPrint print_;
    /// A target has answered it since, so it is not what ends targets. Never taken back.
    bool isCleared_ = false;
};

/// A run of a target that ended without announcing it.
struct EndedRun
{
    Model::SteadyTime endedAt_;
    std::vector<Suspect> suspects_;
    /// When this instance last learned something new of it.
    Model::SteadyTime changedAt_;
};

/// A request that is kept from targets because they ended under it.
struct Quarantine
{
    /// Grows with each verdict against the request; the highest one holds.
    std::uint32_t generation_ = 1;
    /// Verdicts up to this generation are void.
    std::uint32_t lifted_ = 0;
    Model::SteadyTime since_;
};

/// What an instance knows of runs that ended and of requests in quarantine. Instances merge what
/// they know; the order in which it arrives makes no difference.
///
/// Thread safety: none.
struct CrashBook
{
    std::map<RunKey, EndedRun> runs_;
    std::map<RequestPrint, Quarantine> quarantines_;
    /// Since when there is enough against a request; its verdict waits for settleTime.
    std::map<RequestPrint, Model::SteadyTime> pending_;
    /// Set by whatever changes the book; whoever acts on it clears it.
    bool isChanged_ = false;
};

/// Bounds of the book. Where more happens, the oldest entries go.
constexpr std::size_t mostRuns = 128;
constexpr std::size_t mostSuspects = 48;
constexpr std::size_t mostQuarantines = 256;

/// Ends count against a request for so long, and a first quarantine lasts so long from the verdict;
/// each further one lasts twice as long, up to longestQuarantine.
constexpr Model::Milliseconds firstQuarantine{600000};
constexpr Model::Milliseconds longestQuarantine{86400000};
/// Runs that end within this time count as one: targets that are killed, or lose their power,
/// together.
constexpr Model::Milliseconds sameInstant{100};
/// In so many instants targets must have ended under a request. After a quarantine has lapsed, one
/// is enough.
constexpr std::size_t instantsForVerdict = 3;
/// After ends in so many instants it is sent to one target at a time.
constexpr std::size_t instantsForTrial = 2;
/// A request that shares its ends with others all the while is sentenced after so many.
constexpr std::size_t instantsForSharedVerdict = 8;
/// Other instances' word of what else was in progress arrives within this time.
constexpr Model::Milliseconds settleTime{600};
/// Requests that lost their connection to a target were there when it ended, if its end is noticed
/// within this time.
constexpr Model::Milliseconds lossMemory{3000};
/// A request that has to wait for the trial of another one comes back after this.
constexpr Model::Milliseconds comeBackFromTrial{300};
/// A book in which nothing changed is judged this often, for what is too old.
constexpr Model::Milliseconds reviewPause{1000};
/// A verdict that others' word explains better is void within this time.
constexpr Model::Milliseconds appealTime{5000};

/// Takes in that \a run ended while requests with \a prints were in progress there. Runs of one key
/// are taken together. Thread safety: \a book belongs to the calling thread.
void noteEnded(CrashBook &book, RunKey run, const std::vector<RequestPrint> &prints,
               Model::SteadyTime now);

/// Takes in that a target answered a request: clears it in all runs and lifts its quarantine.
/// Returns whether that lifted one. Thread safety: as above.
bool noteAnswered(CrashBook &book, const RequestPrint &print, Model::SteadyTime now);

/// Lifts the quarantine of \a print, as an operator asks. Returns whether there was one in force.
/// Thread safety: as above.
bool liftQuarantine(CrashBook &book, const RequestPrint &print, Model::SteadyTime now);

/// What judge() changed.
struct Verdicts
{
    std::vector<RequestPrint> quarantined_;
    std::vector<RequestPrint> lifted_;
};

/// Decides which requests targets ended under, and forgets what is too old.
///
/// A request is guilty if targets ended under it in several instants, no target has answered it,
/// and no other request was there in nearly all of them. Ends at which a guilty one was in
/// progress say nothing against the others. Thread safety: as above.
Verdicts judge(CrashBook &book, Model::SteadyTime now);

/// Returns until when a verdict holds that has not been lifted; a time in the past otherwise.
/// Thread safety: any thread.
Model::SteadyTime inForceUntil(const Quarantine &quarantine);

/// How a request may be sent to targets.
enum class RequestStanding {
    Free,
    /// Targets ended under it: one such request at a time, so that the ends tell them apart.
    Trial,
    /// Enough targets ended under it; the verdict is due within settleTime.
    Pending,
    Quarantined,
};

/// What requests are checked against, made from a book.
struct CrashView
{
    struct Entry
    {
        RequestPrint print_;
        RequestStanding standing_ = RequestStanding::Free;
        Model::SteadyTime until_;
    };
    /// The heads of all suspects and of all requests in quarantine, sorted.
    std::vector<std::uint32_t> heads_;
    /// Requests that are not free, by what they ask for.
    std::unordered_multimap<std::uint64_t, Entry> entries_;

    bool isEmpty() const { return heads_.empty(); }
    /// Tells whether a request with \a head may be a suspect: if not, its print is not needed.
    bool mayHold(std::uint32_t head) const
    {
        return std::binary_search(heads_.begin(), heads_.end(), head);
    }
};

/// Returns what requests are to be checked against.
/// Thread safety: any thread.
CrashView viewOf(const CrashBook &book, Model::SteadyTime now);

struct StandingNow
{
    RequestStanding standing_ = RequestStanding::Free;
    /// When to ask again, where the request is refused.
    Model::SteadyTime until_;
};

/// Returns how a request with \a print may be sent. Thread safety: any thread.
StandingNow standingOf(const CrashView &view, const RequestPrint &print, Model::SteadyTime now);

} // namespace Policy
