#include "Fleet.h"

#include <Support/Property.h>

namespace {

using Http::http::status;
using Model::Milliseconds;
using Model::SteadyTime;
using PlatformStandIns::Fleet;

/// By the platform's terms: so long after the third target ended under a request it reaches targets
/// no more often than this.
constexpr Milliseconds knownWithin{4000};
constexpr std::size_t mostAfter = 3;
constexpr Milliseconds pauseBetween{250};

class TestCrashes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCrashes);
    CPPUNIT_TEST(readThatEndsTargetsIsKeptFromThem);
    CPPUNIT_TEST(orderThatEndsTargetsIsKeptFromThem);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Starts instances, and targets that end under requests for paths that begin with \a path.
    static void serveWith(Fleet &fleet, std::size_t instances, const std::string &path)
    {
        CPPUNIT_ASSERT(
            fleet.serve(instances, {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9", "t10"}));
        for (const auto &target : fleet.targets_)
            target->setFaults({.endsUnder_ = path});
    }

    /// When targets ended under requests, in order.
    static std::vector<SteadyTime> endsOf(Fleet &fleet)
    {
        std::vector<SteadyTime> all;
        for (const auto &target : fleet.targets_) {
            const auto ends = target->ends();
            all.insert(all.end(), ends.begin(), ends.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    /// Sends \a path by turns through all instances for \a length.
    static void sendAgainAndAgain(Fleet &fleet, const std::string &path, Milliseconds length)
    {
        static int number = 0;
        const auto until = std::chrono::steady_clock::now() + length;
        for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
            const auto &instance = *fleet.instances_[i % fleet.instances_.size()];
            fleet.sendTo(instance, path, "again-" + std::to_string(++number));
            Harness::pause(pauseBetween);
        }
    }

    static void assertFewEnd(Fleet &fleet)
    {
        const auto ends = endsOf(fleet);
        CPPUNIT_ASSERT(ends.size() >= 3);
        const auto after = std::count_if(ends.begin(), ends.end(), [&](SteadyTime time) {
            return time > ends[2] + knownWithin;
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ends.size()) + " ended, " + std::to_string(after)
                                   + " of them too late",
                               static_cast<std::size_t>(after) <= mostAfter);
    }

    static void assertKeptFromTargets(const std::string &path)
    {
        Fleet fleet;
        serveWith(fleet, 4, path);
        sendAgainAndAgain(fleet, path, Milliseconds(9000));
        assertFewEnd(fleet);
    }

    // Guards against sending a request under which targets end to one target after the other.
    void readThatEndsTargetsIsKeptFromThem() { assertKeptFromTargets("/read/poison"); }
    void orderThatEndsTargetsIsKeptFromThem() { assertKeptFromTargets("/order/poison"); }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestCrashes);
