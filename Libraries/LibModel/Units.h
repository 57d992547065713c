#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace Model {

/// A count of one kind, which cannot be mistaken for a count of another kind.
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

/// Grows by one with each accepted edit of the table.
using TableVersion = StrongNumber<struct TableVersionTag, std::uint64_t>;
/// Requests that a target can work on at the same time.
using Slots = StrongNumber<struct SlotsTag, std::int64_t>;
/// A part of the traffic of one origin, from 0 to 1.
using Share = StrongNumber<struct ShareTag, double>;
/// A part of the traffic that may move in one second, from 0 to 1.
using SharePerSecond = StrongNumber<struct SharePerSecondTag, double>;
using RequestsPerSecond = StrongNumber<struct RequestsPerSecondTag, double>;
using Weight = StrongNumber<struct WeightTag, double>;
/// Tells one run of a process from an earlier run at the same address.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
/// A wall-clock time, to a millisecond, in UTC.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Milliseconds>;
/// A time of a clock that never goes back; used for deadlines and ages.
using SteadyTime = std::chrono::steady_clock::time_point;
/// Stands for "never so far" among steady times: the clock may have begun with the process.
constexpr SteadyTime longAgo{-std::chrono::hours(24)};

/// Returns the seconds in \a duration as a floating-point number.
template <typename Duration>
constexpr double inSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace Model
