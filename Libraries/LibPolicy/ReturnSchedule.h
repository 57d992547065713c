#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>

namespace Policy {

/// Identifies a request over its attempts at an instance.
using ReturnKey = std::uint64_t;

/// A return that was announced to a refused caller.
struct AnnouncedReturn
{
    int rank_ = 0;
    Model::SteadyTime at_;
    Model::SteadyTime firstRefusedAt_;
};

/// The returns that an instance has announced to refused callers of one service.
///
/// Without it, refused callers return after random delays: the one that was refused first may
/// return last, and several return together to room for one. Not shared between threads.
struct ReturnSchedule
{
    std::unordered_map<ReturnKey, AnnouncedReturn> returns_;
    /// The announced times of each rank.
    std::map<int, std::set<std::pair<Model::SteadyTime, ReturnKey>>> byRank_;
    /// Counts the returns that were spread because they did not fit the rate.
    std::uint64_t spread_ = 0;
};

/// A refused request as the schedule sees it.
struct RefusedRequest
{
    ReturnKey key_ = 0;
    int rank_ = 0;
    Model::Microseconds timeLeft_{0};
    /// Set if it was refused before.
    std::optional<Model::SteadyTime> firstRefusedAt_;
};

/// Callers honour a Retry-After for at most this part of the time that they have left.
constexpr double honouredPartOfTimeLeft = 1.0 / 3;
/// An announced return that has not been kept so long after its time is dropped. Most callers that
/// have not returned by then have given up or use another instance.
constexpr Model::Milliseconds returnLapse{500};

/// Announces a return for \a request. Returns the delay after which its caller should return.
///
/// Returns are \a roomPerSecond apart and follow those announced before; a request that was refused
/// before takes the first gap. If the caller would not wait so long, or the rate is not known
/// (zero), its return is one of those spread evenly over the time that its caller waits. Thread
/// safety: the schedule belongs to the calling thread.
Model::Milliseconds announceReturn(ReturnSchedule &schedule, const RefusedRequest &request,
                                   double roomPerSecond, Model::SteadyTime now);

/// Removes the announced return of a request that arrives. Returns when it was first refused, or
/// std::nullopt if no return of it is announced. Thread safety: as announceReturn().
std::optional<Model::SteadyTime> keepReturn(ReturnSchedule &schedule, ReturnKey key,
                                            Model::SteadyTime now);

/// Returns how many returns of \a rank are due and not lapsed, whose room newcomers of the rank do
/// not get. Thread safety: as announceReturn().
std::size_t dueReturns(const ReturnSchedule &schedule, int rank, Model::SteadyTime now);

/// Drops the returns that have lapsed. Thread safety: as announceReturn().
void dropLapsed(ReturnSchedule &schedule, Model::SteadyTime now);

} // namespace Policy
