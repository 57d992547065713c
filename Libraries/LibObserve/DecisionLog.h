#pragma once

#include "Event.h"

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Observe {

/// Writes one structured line (logfmt) to standard output for each decision that touches a request
/// or changes what the process believes.
///
/// The lines of an event are bounded for each second, and what was left out is counted in a line of
/// its own, so that overload does not make the log a load of its own. Lines are gathered and
/// written by flush(); where nobody reads the output, they are dropped and counted, never waited
/// for. Thread safety: none; belongs to one thread.
class DecisionLog
{
public:
    /// \a descriptor is where lines go; bytes beyond \a mostBuffered are dropped.
    explicit DecisionLog(int descriptor, std::size_t mostBuffered = 64 * 1024);

    /// One line that is being written. It ends with the object.
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
        /// Nothing where the line is left out.
        DecisionLog *log_;
    };

    /// Begins a line. Where the event has used up its lines of this second, the line takes what is
    /// added and is left out.
    Line line(Event event);

    /// Writes what was gathered, as far as the descriptor takes it at once.
    void flush();

    /// Lines that were left out for the bound or dropped because nobody reads, since the start.
    std::uint64_t leftOut() const { return leftOut_; }
    std::uint64_t dropped() const { return dropped_; }
    std::uint64_t written() const { return written_; }

private:
    struct Count
    {
        int lines_ = 0;
        int leftOut_ = 0;
    };

    void beginSecond(Model::WallTime now);

    int descriptor_;
    std::size_t mostBuffered_;
    std::string buffer_;
    std::map<Event, Count> counts_;
    Model::WallTime second_;
    std::uint64_t leftOut_ = 0;
    std::uint64_t dropped_ = 0;
    std::uint64_t written_ = 0;
};

} // namespace Observe
