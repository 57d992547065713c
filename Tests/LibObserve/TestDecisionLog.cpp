#include <LibObserve/LibObserve.h>
#include <Support/Property.h>
#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace {

using Observe::DecisionLog;
using Observe::Event;

/// A pipe that only the test reads.
class Pipe
{
public:
    Pipe()
    {
        CPPUNIT_ASSERT_EQUAL(0, pipe2(ends_, O_CLOEXEC));
        fcntl(ends_[0], F_SETFL, O_NONBLOCK);
    }
    ~Pipe()
    {
        close(ends_[0]);
        close(ends_[1]);
    }
    Pipe(const Pipe &) = delete;
    Pipe &operator=(const Pipe &) = delete;

    int writingEnd() const { return ends_[1]; }

    std::string read() const
    {
        std::string text;
        char buffer[4096];
        for (ssize_t count = 1; count > 0;) {
            count = ::read(ends_[0], buffer, sizeof buffer);
            text.append(buffer, count > 0 ? static_cast<std::size_t>(count) : 0);
        }
        return text;
    }

private:
    int ends_[2] = {-1, -1};
};

class TestDecisionLog : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDecisionLog);
    CPPUNIT_TEST(linesAreStructured);
    CPPUNIT_TEST(eachEventIsRateLimitedAndSuppressedLinesAreCounted);
    CPPUNIT_TEST(unreadOutputNeitherBlocksNorGrowsTheBuffer);
    CPPUNIT_TEST_SUITE_END();

public:
    void linesAreStructured()
    {
        const Pipe pipe;
        DecisionLog log(pipe.writingEnd());
        log.line(Event::RequestRefused)
            .add("id", "9c41")
            .add("reason", "a \"quoted\" text\nof two lines")
            .add("expected_ms", Model::Microseconds(12345))
            .add("empty", "");
        log.flush();
        const std::string text = pipe.read();
        const std::string expected
            = " event=5002 name=RequestRefused id=9c41 reason=\"a \\\"quoted\\\" "
              "text of two lines\" expected_ms=12 empty=\"\"\n";
        CPPUNIT_ASSERT_MESSAGE(text, text.starts_with("t="));
        CPPUNIT_ASSERT_MESSAGE(text, text.ends_with(expected));
    }

    // Guards against a log whose volume grows with the load: under overload, thousands of refusals
    // with a line each would use up the instance's processor.
    void eachEventIsRateLimitedAndSuppressedLinesAreCounted()
    {
        const Pipe pipe;
        DecisionLog log(pipe.writingEnd());
        constexpr int requests = 5000;
        for (int i = 0; i < requests; ++i)
            log.line(Event::RequestRefused).add("id", "x");
        log.line(Event::RequestUnknown).add("id", "y");
        log.flush();
        const std::string text = pipe.read();
        const auto lines = std::count(text.begin(), text.end(), '\n');
        const int bound = Observe::infoOf(Event::RequestRefused).linesPerSecond_;
        // The loop may cross the boundary of a second.
        CPPUNIT_ASSERT(lines <= 2 * bound + 3);
        CPPUNIT_ASSERT(text.find("id=y") != std::string::npos);
        CPPUNIT_ASSERT(log.suppressed() >= static_cast<std::uint64_t>(requests - 2 * bound));
    }

    // Guards against a blocked instance: when the reader of its output stops, the pipe fills up,
    // and a blocking write would wait for the reader or an unlimited buffer would grow.
    void unreadOutputNeitherBlocksNorGrowsTheBuffer()
    {
        const Pipe pipe;
        DecisionLog log(pipe.writingEnd(), 16 * 1024);
        const auto begun = std::chrono::steady_clock::now();
        std::uint64_t offered = 0;
        while (log.dropped() == 0 && offered < 100000) {
            for (const Event event : {Event::TargetAdded, Event::TargetChanged, Event::TargetGone,
                                      Event::TargetMissing, Event::RequestAnswered}) {
                log.line(event).add("text", std::string(1000, 'x'));
                ++offered;
            }
            log.flush();
        }
        // The pipe holds 64 KiB and the log 16 KiB; the limits per second allow over 400 KB.
        CPPUNIT_ASSERT(log.dropped() > 0);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begun < std::chrono::seconds(10));
        // The buffered lines are written completely once the pipe is read, and they are no larger
        // than the limit and one line.
        const std::string first = pipe.read();
        std::string kept;
        for (std::string part = "x"; !part.empty();) {
            log.flush();
            part = pipe.read();
            kept += part;
        }
        CPPUNIT_ASSERT(!first.empty());
        CPPUNIT_ASSERT(!kept.empty());
        CPPUNIT_ASSERT(kept.size() <= 16 * 1024 + 1200);
        CPPUNIT_ASSERT(kept.ends_with("\n"));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestDecisionLog);
