#include "Load.h"

#include <Harness/EndlessTarget.h>

#include <future>

namespace {

using Harness::EndlessTarget;
using Harness::Site;

constexpr std::size_t megabyte = 1024 * 1024;
constexpr int memoryMegabytes = 192;
class TestEndlessAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEndlessAnswers);
    CPPUNIT_TEST(endlessHeadStaysWithinTheMemory);
    CPPUNIT_TEST(endlessChunksStayWithinTheMemory);
    CPPUNIT_TEST(endlessBodyStaysWithinTheMemory);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guard against an entry that runs out of memory because its targets send answers without an
    // end to many requests at once.
    void endlessHeadStaysWithinTheMemory() { check("HTTP/1.1 200 OK\r\nX: ", "xxxxxxxxxx"); }
    void endlessChunksStayWithinTheMemory()
    {
        check("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
              "3e8\r\n" + std::string(1000, 'x') + "\r\n");
    }
    void endlessBodyStaysWithinTheMemory()
    {
        check("HTTP/1.1 200 OK\r\nContent-Length: 60000000\r\n\r\n", "xxxxxxxxxx");
    }

private:
    static void check(const std::string &beginning, const std::string &repeated)
    {
        constexpr int callers = 16;
        Harness::SiteOptions options;
        options.instances_ = 1;
        options.memoryMegabytes_ = memoryMegabytes;
        // They end after the site, which has connections to them.
        std::vector<std::unique_ptr<EndlessTarget>> targets;
        Site site(options);
        site.start();
        for (auto &target : site.targets()) {
            if (target.row_.service_.value() != "gauging")
                continue;
            target.process_->kill();
            targets.push_back(
                std::make_unique<EndlessTarget>(beginning, repeated, target.row_.address_));
        }
        const auto &instance = site.instances().front();
        std::vector<std::future<void>> running;
        for (int caller = 0; caller < callers; ++caller) {
            running.push_back(std::async(std::launch::async, [&] {
                for (int i = 0; i < 4; ++i) {
                    const auto answer = Integration::send(
                        instance.row_.addresses_.entry_, Http::http::verb::get, "/gauging/tank/1",
                        {{"Caller", "pilot-1"}, {"Request-Timeout-Ms", "2000"}});
                    CPPUNIT_ASSERT(answer.result_int() >= 500);
                }
            }));
        }
        for (auto &one : running)
            one.get();
        const std::size_t peak = instance.entry_->peakMemoryBytes();
        std::cout << "  " << peak << " bytes\n";
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak), peak <= memoryMegabytes * megabyte);
        // What the targets do to one service harms no other one.
        const auto answer
            = Integration::send(instance.row_.addresses_.entry_, Http::http::verb::get,
                                "/transfers/x?t=1", {{"Caller", "pilot-1"}});
        CPPUNIT_ASSERT_EQUAL(200U, answer.result_int());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessAnswers);
