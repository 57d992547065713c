#include "Fleet.h"

#include <Support/Property.h>

namespace {

using Http::tcp;
using Model::Milliseconds;
using PlatformStandIns::Fleet;
using PlatformStandIns::FleetInstance;

/// A caller's connection to an instance.
class Caller
{
public:
    explicit Caller(const FleetInstance &instance)
    {
        socket_.connect(Http::endpointOf(instance.entry()));
    }
    void send(const std::string &text) { Http::asio::write(socket_, Http::asio::buffer(text)); }
    /// Returns what has arrived within \a time.
    std::string readFor(Milliseconds time)
    {
        std::string text;
        char buffer[4096];
        const auto end = std::chrono::steady_clock::now() + time;
        socket_.non_blocking(true);
        while (std::chrono::steady_clock::now() < end) {
            Http::ErrorCode error;
            const auto received = socket_.read_some(Http::asio::buffer(buffer), error);
            text.append(buffer, received);
            if (error && error != Http::asio::error::would_block)
                break;
            if (received == 0)
                Harness::pause(Milliseconds(5));
        }
        return text;
    }

private:
    Http::asio::io_context context_;
    tcp::socket socket_{context_};
};

bool hasCode(const std::string &answer, int code)
{
    return answer.find("Cassiacrank-Code: " + std::to_string(code) + "\r\n") != std::string::npos;
}

class TestHeldBounds : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestHeldBounds);
    CPPUNIT_TEST(connectionsBeyondTheDescriptorsAreRefused);
    CPPUNIT_TEST(bodiesBeyondTheMemoryAreRefused);
    CPPUNIT_TEST(largeRequestAtTwoTargetsStaysWithinTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against an instance that runs out of descriptors, and against settings that no code
    // reads.
    void connectionsBeyondTheDescriptorsAreRefused()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
        const auto &instance = fleet.startOne(std::nullopt, "[limits]\ndescriptors = 64\n");
        CPPUNIT_ASSERT(fleet.waitUntilServing());
        std::size_t refused = 0;
        {
            std::vector<std::unique_ptr<Caller>> callers;
            for (int i = 0; i < 70; ++i)
                callers.push_back(std::make_unique<Caller>(instance));
            for (const auto &caller : callers)
                refused += hasCode(caller->readFor(Milliseconds(20)), 216) ? 1 : 0;
        }
        // 57 connections are within the bound, and a few of those are to targets.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused), refused >= 13 && refused <= 20);
        Harness::pause(Milliseconds(1000));
        const auto answer = fleet.send(instance, "read", "after");
        CPPUNIT_ASSERT(answer && answer->result() == Http::http::status::ok);
    }

    // Guards against an instance that runs out of memory under callers that send slowly.
    void bodiesBeyondTheMemoryAreRefused()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
        const auto &instance = fleet.startOne(std::nullopt, "[limits]\nmemory_mb = 16\n");
        CPPUNIT_ASSERT(fleet.waitUntilServing());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(8388608,
                                     fleet.metric(instance, "cassiacrank_held_bytes_limit"), 0.5);
        {
            std::vector<std::unique_ptr<Caller>> callers;
            std::size_t refused = 0;
            for (int i = 0; i < 20; ++i) {
                callers.push_back(std::make_unique<Caller>(instance));
                callers.back()->send(
                    "POST /read/7 HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nabc");
            }
            for (const auto &caller : callers)
                refused += hasCode(caller->readFor(Milliseconds(20)), 215) ? 1 : 0;
            CPPUNIT_ASSERT_EQUAL(std::size_t(11), refused);
            const double held = fleet.metric(instance, "cassiacrank_held_bytes");
            CPPUNIT_ASSERT_MESSAGE(std::to_string(held), held > 8100000 && held <= 8388608);
        }
        Harness::pause(Milliseconds(500));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, fleet.metric(instance, "cassiacrank_held_bytes"), 0.5);
        const auto answer = fleet.send(instance, "read", "after");
        CPPUNIT_ASSERT(answer && answer->result() == Http::http::status::ok);
    }

    // Guards against an instance that exceeds its memory by further copies of a large body while a
    // second target is tried.
    void largeRequestAtTwoTargetsStaysWithinTheMemory()
    {
        constexpr std::size_t megabyte = 1024 * 1024;
        Fleet fleet;
        fleet.setBodyLimit(16 * megabyte);
        CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
        const auto &instance = fleet.startOne(std::nullopt, "[limits]\nmemory_mb = 64\n");
        for (const auto &target : fleet.targets_)
            target->setFaults({.pace_ = "100"});
        CPPUNIT_ASSERT(fleet.waitUntilServing());
        // The credit for second tries is a share of the requests.
        for (int i = 0; i < 20; ++i)
            CPPUNIT_ASSERT(fleet.send(instance, "read", "usual-" + std::to_string(i)));
        for (const auto &target : fleet.targets_)
            target->setFaults({.work_ = Milliseconds(900), .pace_ = "100"});
        const std::string body(15 * megabyte + megabyte / 2, 'b');
        const auto answer = fleet.sendTo(instance, "/read/x", "large", body);
        CPPUNIT_ASSERT(answer && answer->result() == Http::http::status::ok);
        CPPUNIT_ASSERT(fleet.metric(instance, "cassiacrank_second_tries_total") >= 1);
        const std::size_t peak = instance.process_->peakMemoryBytes();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak), peak <= 64 * megabyte);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestHeldBounds);
