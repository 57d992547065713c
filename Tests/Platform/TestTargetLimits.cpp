#include "Fleet.h"

#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>
#include <atomic>
#include <thread>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;

/// The platform's terms: from this time on after a target names a limit, ...
constexpr Milliseconds limitedFrom{4000};
/// ... it gets at most this many times the limit in any such window, plus the slack.
constexpr Milliseconds window{4000};
constexpr double excess = 1.5;
constexpr double slack = 5;

class TestTargetLimits : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetLimits);
    CPPUNIT_TEST(targetGetsNoMoreThanItsLimitFromAllInstances);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Sends requests through every instance until \a isOver: half of them for objects that recur,
    /// half for new ones.
    ///
    /// An object that the other target has loaded stays there, so recurring objects alone ask for
    /// the limited target only as often as those few recur that it loaded before the limit.
    static std::vector<std::thread> startCallers(Fleet &fleet, std::atomic<bool> &isOver)
    {
        std::vector<std::thread> callers;
        for (const auto &instance : fleet.instances_) {
            callers.emplace_back([&fleet, &instance, &isOver] {
                for (int i = 0; !isOver; ++i) {
                    const std::string id = instance->name_ + "-" + std::to_string(i);
                    const std::string object = i % 2 == 0 ? std::to_string(i % 97) : id;
                    fleet.send(*instance, "read", id, 1000, object);
                    Harness::pause(Milliseconds(20));
                }
            });
        }
        return callers;
    }

    // Guards against targets that name a rate limit for all instances together and get more,
    // because each instance ignores the limit or uses all of it; and against a limit that never
    // ends.
    void targetGetsNoMoreThanItsLimitFromAllInstances()
    {
        constexpr double limit = 5;
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(6, {"t1", "t2"}));
        auto &target = *fleet.targets_[0];
        std::atomic<bool> isOver = false;
        auto callers = startCallers(fleet, isOver);
        target.setFaults({.limit_ = "5.0"});
        Harness::pause(limitedFrom);
        target.takeArrivals();
        Harness::pause(window);
        const auto limited = static_cast<double>(target.takeArrivals().size());
        target.setFaults({});
        // The other target has loaded the objects meanwhile, and would keep them.
        fleet.registerTarget(*fleet.targets_[1], "r-a", "draining");
        Harness::pause(limitedFrom);
        target.takeArrivals();
        Harness::pause(window);
        const auto unlimited = static_cast<double>(target.takeArrivals().size());
        isOver = true;
        for (auto &caller : callers)
            caller.join();
        const double allowed = excess * limit * Model::inSeconds(window) + slack;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(limited) + " of " + std::to_string(allowed),
                               limited <= allowed);
        // Half of what the target takes must be used, too.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(limited),
                               limited >= limit * Model::inSeconds(window) / 2);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(unlimited), unlimited > 2 * allowed);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetLimits);
