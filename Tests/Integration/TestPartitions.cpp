#include "Load.h"

#include <future>
#include <thread>

namespace {

using Harness::Site;
using Model::Milliseconds;

/// From this time after the start of a partition on, callers are served as elsewhere.
constexpr Milliseconds contactTime{4000};
constexpr int requests = 100;
/// First tries that may fail at partitioned instances, beside one in fifty.
constexpr int allowedFailures = 10;

class TestPartitions : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPartitions);
    CPPUNIT_TEST(callersOfAnEntryThatReachesNoTargetAreServed);
    CPPUNIT_TEST(callersOfHalfTheEntriesAreServedAmongHundredsOfTargets);
    CPPUNIT_TEST_SUITE_END();

public:
    static int served(const Harness::SiteInstance &instance, int count)
    {
        int result = 0;
        for (int i = 0; i < count; ++i) {
            const bool isOrder = i % 2 == 0;
            const auto answer
                = Integration::send(instance.row_.addresses_.entry_,
                                    isOrder ? Http::http::verb::post : Http::http::verb::get,
                                    "/gauging/tank/" + std::to_string(i),
                                    {{"Caller", "pilot-1"}, {"Request-Timeout-Ms", "1000"}});
            result += answer.result() == Http::http::status::ok ? 1 : 0;
        }
        return result;
    }

    // Guards against refusing the callers of an entry that is partitioned from all targets although
    // the other entries of its region reach them.
    void callersOfAnEntryThatReachesNoTargetAreServed()
    {
        Harness::SiteOptions options;
        options.hasProxy_ = true;
        options.partitionedInstances_ = {"primorska-a-1"};
        Site site(options);
        site.start();
        auto &instance = site.instance("primorska-a-1");
        CPPUNIT_ASSERT_EQUAL(requests, served(instance, requests));
        site.switchProxy("partition", "cut");
        const auto end = std::chrono::steady_clock::now() + contactTime;
        while (std::chrono::steady_clock::now() < end)
            served(instance, 1);
        const int count = served(instance, requests);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " served\n" + instance.entry_->log(),
                               requests - count <= allowedFailures + requests / 50);
        site.switchProxy("partition", "pass");
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(15000), [&] {
            return served(instance, requests) == requests;
        }));
    }

    // Guards against an entry that finds out target by target that it reaches none, and passes
    // requests on to entries that reach none either.
    void callersOfHalfTheEntriesAreServedAmongHundredsOfTargets()
    {
        constexpr Milliseconds interval{200};
        Harness::SiteOptions options;
        options.hasProxy_ = true;
        // The region has ten targets of the service.
        options.aliasesPerTarget_ = {{"primorska-a", 20}, {"primorska-b", 20}};
        options.partitionedInstances_ = {"primorska-a-1", "primorska-b-1"};
        Site site(options);
        site.start();
        const auto servedByBoth = [&](int count) {
            std::vector<std::future<int>> answers;
            for (int i = 0; i < count; ++i) {
                for (const auto &id : options.partitionedInstances_) {
                    answers.push_back(std::async(std::launch::async, [&site, id] {
                        return served(site.instance(id), 1);
                    }));
                }
                Harness::pause(interval);
            }
            int sum = 0;
            for (auto &answer : answers)
                sum += answer.get();
            return sum;
        };
        constexpr int sent = 40;
        CPPUNIT_ASSERT_EQUAL(2 * sent, servedByBoth(sent));
        site.switchProxy("partition", "cut");
        servedByBoth(static_cast<int>(contactTime / interval));
        const int count = servedByBoth(sent);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " of " + std::to_string(2 * sent)
                                   + " served\n" + site.instance("primorska-a-1").entry_->log(),
                               (2 * sent - count) * requests
                                   <= (allowedFailures + requests / 50) * 2 * sent);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPartitions);
