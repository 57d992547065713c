#include "ReturnSchedule.h"

#include "Admission.h"

#include <algorithm>
#include <cmath>

namespace Policy {

namespace {

using Model::SteadyTime;
using Announced = std::set<std::pair<SteadyTime, ReturnKey>>;

std::chrono::nanoseconds seconds(double value)
{
    return std::chrono::nanoseconds(static_cast<long long>(value * 1e9));
}

/// Returns the \a number-th of points that divide [\a first, \a last] evenly, however many are
/// drawn: multiples of the golden ratio modulo one leave gaps of at most three lengths.
SteadyTime evenPoint(std::uint64_t number, SteadyTime first, SteadyTime last)
{
    constexpr double goldenRatio = 0.6180339887498949;
    const double position = static_cast<double>(number) * goldenRatio;
    return first + seconds((position - std::floor(position)) * Model::inSeconds(last - first));
}

/// Returns the first time from \a first that is \a interval away from the returns around it.
SteadyTime firstGap(const Announced &announced, SteadyTime first, std::chrono::nanoseconds interval)
{
    SteadyTime time = first;
    for (auto at = announced.lower_bound({first - interval, 0}); at != announced.end(); ++at) {
        if (at->first - time >= interval)
            break;
        time = std::max(time, at->first + interval);
    }
    return time;
}

} // namespace

Model::Milliseconds announceReturn(ReturnSchedule &schedule, const RefusedRequest &request,
                                   double roomPerSecond, Model::SteadyTime now)
{
    keepReturn(schedule, request.key_, now);
    Announced &announced = schedule.byRank_[request.rank_];
    const SteadyTime first = now + minRetryAfter;
    const auto honoured
        = seconds(std::max(0.0, Model::inSeconds(request.timeLeft_)) * honouredPartOfTimeLeft);
    const SteadyTime last = std::max(first, now + honoured);
    SteadyTime at = last;
    if (roomPerSecond > 0) {
        const auto interval = seconds(1 / roomPerSecond);
        if (request.firstRefusedAt_) {
            at = firstGap(announced, first, interval);
        } else {
            at = announced.empty() ? first : std::max(first, announced.rbegin()->first + interval);
        }
    }
    if (roomPerSecond <= 0 || at > last)
        at = evenPoint(schedule.spread_++, first, last);
    announced.emplace(at, request.key_);
    schedule.returns_[request.key_] = {request.rank_, at, request.firstRefusedAt_.value_or(now)};
    return std::chrono::ceil<Model::Milliseconds>(at - now);
}

std::optional<Model::SteadyTime> keepReturn(ReturnSchedule &schedule, ReturnKey key,
                                            Model::SteadyTime now)
{
    dropLapsed(schedule, now);
    const auto found = schedule.returns_.find(key);
    if (found == schedule.returns_.end())
        return std::nullopt;
    const AnnouncedReturn announced = found->second;
    schedule.byRank_[announced.rank_].erase({announced.at_, key});
    schedule.returns_.erase(found);
    return announced.firstRefusedAt_;
}

std::size_t dueReturns(const ReturnSchedule &schedule, int rank, Model::SteadyTime now)
{
    const auto announced = schedule.byRank_.find(rank);
    if (announced == schedule.byRank_.end())
        return 0;
    std::size_t count = 0;
    for (const auto &[at, key] : announced->second) {
        if (at > now)
            break;
        count += now - at < returnLapse ? 1 : 0;
    }
    return count;
}

void dropLapsed(ReturnSchedule &schedule, Model::SteadyTime now)
{
    for (auto &[rank, announced] : schedule.byRank_) {
        while (!announced.empty() && now - announced.begin()->first >= returnLapse) {
            schedule.returns_.erase(announced.begin()->second);
            announced.erase(announced.begin());
        }
    }
}

} // namespace Policy
