#include "Fleet.h"

#include <Support/Property.h>
#include <atomic>
#include <thread>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;

/// The platform's bound for applying a change at every instance.
constexpr Milliseconds applyBound{2500};
constexpr Milliseconds quotaWindow{5000};

class TestWorkspaces : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWorkspaces);
    CPPUNIT_TEST(keyThatIsTakenAwayStopsEverywhere);
    CPPUNIT_TEST(quotaHoldsInSumOverAllInstances);
    CPPUNIT_TEST_SUITE_END();

public:
    static status statusOf(const std::optional<Http::Response> &answer)
    {
        return answer ? answer->result() : status::unknown;
    }

    // Guards against serving a key that was taken away, refusing one that was not, and passing keys
    // on to targets.
    void keyThatIsTakenAwayStopsEverywhere()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1"}));
        fleet.setWorkspaces(R"([{"name":"w","apiKeys":["old-key","new-key"]}])");
        fleet.configure(2);
        Harness::pause(applyBound);
        for (const auto &instance : fleet.instances_) {
            CPPUNIT_ASSERT(statusOf(fleet.send(*instance, "read", "a")) == status::unauthorized);
            CPPUNIT_ASSERT(statusOf(fleet.sendWithKey(*instance, "read", "b", "old-key"))
                           == status::ok);
            CPPUNIT_ASSERT(statusOf(fleet.sendWithKey(*instance, "read", "c", "new-key"))
                           == status::ok);
        }
        fleet.setWorkspaces(R"([{"name":"w","apiKeys":["new-key"]}])");
        fleet.configure(3);
        Harness::pause(applyBound);
        for (const auto &instance : fleet.instances_) {
            CPPUNIT_ASSERT(statusOf(fleet.sendWithKey(*instance, "read", "d", "old-key"))
                           == status::unauthorized);
            CPPUNIT_ASSERT(statusOf(fleet.sendWithKey(*instance, "read", "e", "new-key"))
                           == status::ok);
        }
        auto &target = *fleet.targets_[0];
        CPPUNIT_ASSERT_EQUAL(std::string("w"), target.seen("X-Cassiacrank-Tenant").back());
        for (const auto &key : target.seen("X-Cassiacrank-Key"))
            CPPUNIT_ASSERT_EQUAL(std::string(), key);
    }

    // Guards against each instance admitting a workspace's quota once.
    void quotaHoldsInSumOverAllInstances()
    {
        constexpr double ratePerSecond = 20;
        constexpr double burst = 5;
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(4, {"t1", "t2"}));
        fleet.setWorkspaces(R"([{"name":"w","apiKeys":["k"],"ratePerS":20,"burst":5}])");
        fleet.configure(2);
        Harness::pause(applyBound);
        std::atomic<int> served = 0;
        const auto end = std::chrono::steady_clock::now() + quotaWindow;
        std::vector<std::thread> callers;
        for (const auto &instance : fleet.instances_) {
            callers.emplace_back([&fleet, &served, &instance, end] {
                for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
                    const std::string id = instance->name_ + "-" + std::to_string(i);
                    const auto answer = fleet.sendWithKey(*instance, "read", id, "k");
                    served += statusOf(answer) == status::ok ? 1 : 0;
                    Harness::pause(Milliseconds(10));
                }
            });
        }
        for (auto &caller : callers)
            caller.join();
        const double allowed = ratePerSecond * Model::inSeconds(quotaWindow) + burst;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served <= allowed * 1.1 + 20);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served >= allowed / 2);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestWorkspaces);
