#pragma once

#include "Event.h"

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Observe {

/// Writes a structured line (logfmt) for each decision that affects a request or changes the state
/// of the process.
///
/// Lines are rate-limited for each event, and the suppressed ones are counted in a line of their
/// own, so that logging does not add to an overload. Lines are buffered and written by flush(),
/// which never blocks: if the output is not read, lines are dropped and counted. Thread safety:
/// none; belongs to one thread.
class DecisionLog
{
public:
    /// Writes to \a descriptor. Drops new lines while at least \a maxBufferedBytes are buffered.
    explicit DecisionLog(int descriptor, std::size_t maxBufferedBytes = 64 * 1024);

    /// A line that is being written. The destructor ends it.
    class Line
    {
    public:
        Line(DecisionLog *log, Event event, Model::WallTime at);
        ~Line();
        Line(const Line &) = delete;
        Line &operator=(const Line &) = delete;

        Line &add(std::string_view name, std::string_view value);
        Line &add(std::string_view name, const char *value)
        {
            return add(name, std::string_view(value));
        }
        Line &add(std::string_view name, std::int64_t value);
        Line &add(std::string_view name, Model::Microseconds value);

    private:
        /// nullptr if the line is suppressed or dropped.
        DecisionLog *log_;
    };

    /// Begins a line. If the event has reached its limit for this second, the returned line
    /// discards what is added to it.
    Line line(Event event);

    /// Writes as much of the buffer as the descriptor accepts without blocking.
    void flush();

    /// Returns the number of lines suppressed by the rate limit since the start.
    std::uint64_t suppressed() const { return suppressed_; }
    /// Returns the number of lines dropped because the buffer was full.
    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t written() const { return written_; }

private:
    struct Count
    {
        int lines_ = 0;
        int suppressed_ = 0;
    };

    void beginSecond(Model::WallTime now);

    int descriptor_;
    std::size_t maxBufferedBytes_;
    std::string buffer_;
    std::map<Event, Count> counts_;
    Model::WallTime second_;
    std::uint64_t suppressed_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t written_ = 0;
};

} // namespace Observe
