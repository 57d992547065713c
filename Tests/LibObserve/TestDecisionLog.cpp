#include <LibObserve/LibObserve.h>
#include <Support/Property.h>
#include <algorithm>
#include <fcntl.h>
#include <unistd.h>

namespace {

using Observe::DecisionLog;
using Observe::Event;

/// A pipe whose reading end is read by the test, or by nobody.
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
    CPPUNIT_TEST(eachEventIsBoundedAndTheRestIsCounted);
    CPPUNIT_TEST(unreadOutputNeverBlocksNorGrows);
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

    // Symptom: under overload an instance spends its processor on its log.
    // Sequence: refusals come by the thousand, each with a line.
    // Cause: a log whose volume follows the load.
    void eachEventIsBoundedAndTheRestIsCounted()
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
        // The loop may cross the end of a second.
        CPPUNIT_ASSERT(lines <= 2 * bound + 3);
        CPPUNIT_ASSERT(text.find("id=y") != std::string::npos);
        CPPUNIT_ASSERT(log.leftOut() >= static_cast<std::uint64_t>(requests - 2 * bound));
    }

    // Symptom: an instance stands still.
    // Sequence: whoever reads its output stops reading; the pipe is full.
    // Cause: a write that waits for the reader, or a buffer that grows without an end.
    void unreadOutputNeverBlocksNorGrows()
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
        // The pipe holds 64 KiB and the log 16; the bounds of a second allow over 400 KB.
        CPPUNIT_ASSERT(log.dropped() > 0);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begun < std::chrono::seconds(10));
        // What was kept comes out whole once somebody reads, and it is no more than the bound and
        // one line.
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
