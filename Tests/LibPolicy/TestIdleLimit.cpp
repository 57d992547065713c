#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

namespace {

using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;

constexpr SteadyTime start{std::chrono::hours(1)};
constexpr Milliseconds usual{6000};

class TestIdleLimit : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestIdleLimit);
    CPPUNIT_TEST(crashedTargetIsNotTakenForAStaleConnection);
    CPPUNIT_TEST(limitStaysBelowTheIdleTimeOfStaleConnections);
    CPPUNIT_TEST(limitGrowsBackToTheUsualOne);
    CPPUNIT_TEST(limitIsNeverAboveTheUsualOne);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against repeating, without retry credit, requests that broke off in the middle of
    // their work.
    void crashedTargetIsNotTakenForAStaleConnection()
    {
        const Microseconds roundTrip(110000);
        CPPUNIT_ASSERT(Policy::isStaleClose(Milliseconds(111), roundTrip));
        CPPUNIT_ASSERT(!Policy::isStaleClose(Milliseconds(140), roundTrip));
    }

    // Guards against reusing connections that targets forget after a quarter of a second.
    void limitStaysBelowTheIdleTimeOfStaleConnections()
    {
        Policy::IdleLimit limit;
        CPPUNIT_ASSERT(Policy::idleLimitAt(limit, usual, start) == usual);
        Policy::noteStale(limit, Milliseconds(2000), start);
        CPPUNIT_ASSERT(Policy::idleLimitAt(limit, usual, start) == Milliseconds(1000));
        Policy::noteStale(limit, Milliseconds(500), start);
        CPPUNIT_ASSERT(Policy::idleLimitAt(limit, usual, start) == Milliseconds(250));
        // A connection that was idle for longer says nothing new.
        Policy::noteStale(limit, Milliseconds(4000), start);
        CPPUNIT_ASSERT(Policy::idleLimitAt(limit, usual, start) == Milliseconds(250));
        Policy::noteStale(limit, Milliseconds(1), start);
        CPPUNIT_ASSERT(Policy::idleLimitAt(limit, usual, start) == Policy::minIdleLimit);
    }

    // Guards against opening a new connection for each request for ever after one stale one.
    void limitGrowsBackToTheUsualOne()
    {
        Policy::IdleLimit limit;
        Policy::noteStale(limit, Milliseconds(500), start);
        CPPUNIT_ASSERT(Policy::idleLimitAt(limit, usual, start + Policy::idleLimitGrowth)
                       == Milliseconds(500));
        CPPUNIT_ASSERT(Policy::idleLimitAt(limit, usual, start + 5 * Policy::idleLimitGrowth)
                       == usual);
    }

    void limitIsNeverAboveTheUsualOne()
    {
        Support::assertProperty("the limit lies between the least and the usual one", [] {
            Policy::IdleLimit limit;
            SteadyTime now = start;
            for (const auto &[wait, idle] : *rc::gen::container<std::vector<std::pair<int, int>>>(
                     rc::gen::pair(rc::gen::inRange(0, 20000), rc::gen::inRange(0, 20000)))) {
                now += Milliseconds(wait);
                Policy::noteStale(limit, Milliseconds(idle), now);
                const auto allowed = Policy::idleLimitAt(limit, usual, now);
                RC_ASSERT(allowed >= Policy::minIdleLimit);
                RC_ASSERT(allowed <= std::max(Policy::minIdleLimit, Milliseconds(idle)));
                RC_ASSERT(allowed <= usual);
            }
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestIdleLimit);
