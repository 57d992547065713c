#include "DecisionLog.h"

#include <climits>
#include <poll.h>
#include <unistd.h>

namespace Observe {

namespace {

/// A write of up to this size to a pipe that poll() reports as writable does not block.
constexpr std::size_t maxNonBlockingWriteBytes = PIPE_BUF;

Model::WallTime wallNow()
{
    return std::chrono::time_point_cast<Model::Milliseconds>(std::chrono::system_clock::now());
}

bool isWritable(int descriptor)
{
    pollfd entry{descriptor, POLLOUT, 0};
    return poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

} // namespace

DecisionLog::DecisionLog(int descriptor, std::size_t maxBufferedBytes)
    : descriptor_(descriptor)
    , maxBufferedBytes_(maxBufferedBytes)
{
}

DecisionLog::Line::Line(DecisionLog *log, Event event, Model::WallTime at)
    : log_(log)
{
    if (!log_)
        return;
    std::string &buffer = log_->buffer_;
    buffer += "t=";
    buffer += std::to_string(at.time_since_epoch().count());
    buffer += " event=";
    buffer += std::to_string(static_cast<int>(event));
    buffer += " name=";
    buffer += infoOf(event).name_;
}

DecisionLog::Line::~Line()
{
    if (log_)
        log_->buffer_ += '\n';
}

DecisionLog::Line &DecisionLog::Line::add(std::string_view name, std::string_view value)
{
    if (!log_)
        return *this;
    std::string &buffer = log_->buffer_;
    buffer += ' ';
    buffer += name;
    buffer += '=';
    const bool isPlain = !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string::npos;
    if (isPlain) {
        buffer += value;
        return *this;
    }
    buffer += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\')
            buffer += '\\';
        buffer += character == '\n' || character == '\r' ? ' ' : character;
    }
    buffer += '"';
    return *this;
}

DecisionLog::Line &DecisionLog::Line::add(std::string_view name, std::int64_t value)
{
    return log_ ? add(name, std::string_view(std::to_string(value))) : *this;
}

DecisionLog::Line &DecisionLog::Line::add(std::string_view name, Model::Microseconds value)
{
    return add(name, static_cast<std::int64_t>(value.count() / 1000));
}

DecisionLog::Line DecisionLog::line(Event event)
{
    const auto now = wallNow();
    if (now - second_ >= std::chrono::seconds(1) || now < second_)
        beginSecond(now);
    Count &count = counts_[event];
    if (count.lines_ >= infoOf(event).linesPerSecond_) {
        ++count.suppressed_;
        ++suppressed_;
        return Line(nullptr, event, now);
    }
    ++count.lines_;
    if (buffer_.size() >= maxBufferedBytes_) {
        ++dropped_;
        return Line(nullptr, event, now);
    }
    ++written_;
    return Line(this, event, now);
}

void DecisionLog::beginSecond(Model::WallTime now)
{
    second_ = now;
    for (auto &[event, count] : counts_) {
        if (count.suppressed_ > 0 && buffer_.size() < maxBufferedBytes_) {
            Line line(this, Event::LinesLeftOut, now);
            line.add("of", infoOf(event).name_);
            line.add("count", static_cast<std::int64_t>(count.suppressed_));
        }
        count = Count();
    }
}

void DecisionLog::flush()
{
    std::size_t done = 0;
    while (done < buffer_.size() && isWritable(descriptor_)) {
        const std::size_t size = std::min(maxNonBlockingWriteBytes, buffer_.size() - done);
        const ssize_t count = ::write(descriptor_, buffer_.data() + done, size);
        if (count <= 0)
            break;
        done += static_cast<std::size_t>(count);
    }
    buffer_.erase(0, done);
}

} // namespace Observe
