#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace Model {

/// A number that does not convert to a number of another kind.
///
/// Thread safety: a plain value.
template <typename Tag, typename Representation>
class StrongNumber
{
public:
    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Representation value)
        : value_(value)
    {
    }

    constexpr Representation value() const { return value_; }
    constexpr auto operator<=>(const StrongNumber &) const = default;
    constexpr StrongNumber operator+(StrongNumber other) const
    {
        return StrongNumber(value_ + other.value_);
    }
    constexpr StrongNumber operator-(StrongNumber other) const
    {
        return StrongNumber(value_ - other.value_);
    }
    constexpr StrongNumber &operator+=(StrongNumber other)
    {
        value_ += other.value_;
        return *this;
    }

private:
    Representation value_ = 0;
};

/// Increases by one with each accepted edit of the table.
using TableVersion = StrongNumber<struct TableVersionTag, std::uint64_t>;
/// Number of requests that a target can process at the same time.
using Slots = StrongNumber<struct SlotsTag, std::int64_t>;
/// A fraction of the traffic of one origin, from 0 to 1.
using Share = StrongNumber<struct ShareTag, double>;
/// The fraction of the traffic that may move in one second, from 0 to 1.
using SharePerSecond = StrongNumber<struct SharePerSecondTag, double>;
using RequestsPerSecond = StrongNumber<struct RequestsPerSecondTag, double>;
using Weight = StrongNumber<struct WeightTag, double>;
/// Distinguishes a run of a process from earlier runs at the same address.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;

/// How long work takes at a target now, relative to its usual time: 2 means twice as long.
using Pace = StrongNumber<struct PaceTag, double>;

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
/// A wall-clock time in UTC with millisecond resolution.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;
/// A time of a monotonic clock; used for deadlines and ages.
using SteadyTime = std::chrono::steady_clock::time_point;
/// A steady time that means "never". It is negative because the clock may start with the process.
constexpr SteadyTime distantPast{-std::chrono::hours(24)};

/// Returns the seconds in \a duration as a floating-point number.
template <typename Duration>
constexpr double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Model
