#include "Fleet.h"

#include <Harness/EndlessTarget.h>
#include <Support/Property.h>

#include <future>

namespace {

using Harness::EndlessTarget;
using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;

constexpr std::size_t megabyte = 1024 * 1024;
constexpr std::size_t memoryMegabytes = 64;
/// Returns the target's registration as stored.
std::string registrationOf(const EndlessTarget &target)
{
    const nlohmann::json entry = {
        {"address", toText(target.address())},
        {"info", {{"service", "s"}, {"version", "v1"}, {"zone", "r-a"}, {"slots", 6}}},
        {"status", {{"state", "ready"}, {"sequence", 1}, {"coldLeftMs", 0}}},
    };
    return entry.dump();
}

struct Outcome
{
    int answered_ = 0;
    int failed_ = 0;
    int unanswered_ = 0;
    std::size_t peakBytes_ = 0;
};

/// Sends requests of eight callers at once to an instance with two sound and two endless targets.
Outcome outcomeWith(const std::string &beginning, const std::string &repeated)
{
    constexpr int callers = 8;
    constexpr int requestsOfEach = 20;
    const EndlessTarget first(beginning, repeated);
    const EndlessTarget second(beginning, repeated);
    Fleet fleet;
    CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
    const auto &instance = fleet.startOne(
        std::nullopt, "[limits]\nmemory_mb = " + std::to_string(memoryMegabytes) + "\n");
    CPPUNIT_ASSERT(fleet.waitUntilServing());
    fleet.store_.put("servers", "e1", registrationOf(first));
    fleet.store_.put("servers", "e2", registrationOf(second));
    CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(10000), [&] {
        static int number = 0;
        const std::string id = "seen-" + std::to_string(++number);
        fleet.send(instance, "read", id, 2000, id);
        return first.requests() + second.requests() > 0;
    }));

    std::vector<std::future<Outcome>> running;
    for (int caller = 0; caller < callers; ++caller) {
        running.push_back(std::async(std::launch::async, [&, caller] {
            Outcome outcome;
            for (int i = 0; i < requestsOfEach; ++i) {
                const std::string id = std::to_string(caller) + "-" + std::to_string(i);
                const auto answer = fleet.send(instance, "read", id, 2000, id);
                const bool isOk = answer && answer->result() == status::ok;
                outcome.answered_ += isOk ? 1 : 0;
                outcome.failed_ += answer && !isOk ? 1 : 0;
                outcome.unanswered_ += answer ? 0 : 1;
                // An answer is whole and from a sound target.
                CPPUNIT_ASSERT(!isOk || answer->body() == "body of " + id);
            }
            return outcome;
        }));
    }
    Outcome all;
    for (auto &one : running) {
        const Outcome outcome = one.get();
        all.answered_ += outcome.answered_;
        all.failed_ += outcome.failed_;
        all.unanswered_ += outcome.unanswered_;
    }
    all.peakBytes_ = instance.process_->peakMemoryBytes();
    return all;
}

class TestEndlessTargets : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEndlessTargets);
    CPPUNIT_TEST(endlessChunkExtensionStaysWithinTheMemory);
    CPPUNIT_TEST(endlessChunksStayWithinTheMemory);
    CPPUNIT_TEST(endlessBodyStaysWithinTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guard against an instance that runs out of memory, or keeps all callers waiting, because some
    // targets send answers without an end.
    void endlessChunkExtensionStaysWithinTheMemory()
    {
        check("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "xxxxxxxxxx");
    }
    void endlessChunksStayWithinTheMemory()
    {
        check("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
              "3e8\r\n" + std::string(1000, 'x') + "\r\n");
    }
    void endlessBodyStaysWithinTheMemory() { check("HTTP/1.1 200 OK\r\n\r\n", "xxxxxxxxxx"); }

private:
    static void check(const std::string &beginning, const std::string &repeated)
    {
        const Outcome outcome = outcomeWith(beginning, repeated);
        const std::string message = std::to_string(outcome.answered_) + " answered, "
                                    + std::to_string(outcome.failed_) + " failed, "
                                    + std::to_string(outcome.unanswered_) + " unanswered, "
                                    + std::to_string(outcome.peakBytes_) + " bytes";
        std::cout << "  " << message << "\n";
        CPPUNIT_ASSERT_MESSAGE(message, outcome.peakBytes_ <= memoryMegabytes * megabyte);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(message, 0, outcome.unanswered_);
        CPPUNIT_ASSERT_MESSAGE(message, outcome.answered_ > outcome.failed_);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessTargets);
