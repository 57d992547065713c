#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Model::Slots;
using Model::SteadyTime;
using Policy::SharedLoad;

constexpr Slots slots(6);
const SteadyTime start{std::chrono::hours(1)};

class TestLoadUpdate : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLoadUpdate);
    CPPUNIT_TEST(latestReportWinsInAnyOrder);
    CPPUNIT_TEST(expiredReportsAreIgnored);
    CPPUNIT_TEST(onlyPersistentFullnessMovesObjects);
    CPPUNIT_TEST(silenceEndsFullness);
    CPPUNIT_TEST(messagesStaySmall);
    CPPUNIT_TEST_SUITE_END();

public:
    // An earlier report arrives over a longer path after a later one. If the last report received
    // counted, a target that has become idle would be avoided, or a full one would get more
    // requests.
    void latestReportWinsInAnyOrder()
    {
        SharedLoad load;
        Policy::learnLoad(load, 2, slots, start + Milliseconds(200));
        Policy::learnLoad(load, 12, slots, start);
        CPPUNIT_ASSERT(!Policy::shouldSendLoad(load, slots, start + Milliseconds(300)));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1, Policy::peerLoadByUpdates(load, 1, start + Milliseconds(300)), 1e-9);
    }

    void expiredReportsAreIgnored()
    {
        SharedLoad load;
        Policy::learnLoad(load, 9, slots, start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9, Policy::peerLoadByUpdates(load, 0, start), 1e-9);
        const auto later = start + Policy::loadReportLifetime;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Policy::peerLoadByUpdates(load, 0, later), 1e-9);
        CPPUNIT_ASSERT(!Policy::shouldSendLoad(load, slots, later));
        // A report below this instance's own requests at the target must not give a negative
        // number.
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Policy::peerLoadByUpdates(load, 20, start), 1e-9);
    }

    // A target is full for short moments. If each of them counted as an overloaded owner, objects
    // would be loaded a second time whenever a few requests coincide at their owner.
    void onlyPersistentFullnessMovesObjects()
    {
        SharedLoad load;
        for (int i = 0; i < 20; ++i) {
            const auto now = start + Milliseconds(500 * i);
            Policy::learnLoad(load, i % 3 == 0 ? 3 : 7, slots, now);
            CPPUNIT_ASSERT(!Policy::isPersistentlyFull(load, now));
        }
        for (int i = 20; i < 30; ++i)
            Policy::learnLoad(load, 7, slots, start + Milliseconds(500 * i));
        const auto now = start + Milliseconds(500 * 29);
        CPPUNIT_ASSERT(Policy::isPersistentlyFull(load, now));
        CPPUNIT_ASSERT(!Policy::isPersistentlyFull(load, now + Policy::loadReportLifetime));
    }

    void silenceEndsFullness()
    {
        SharedLoad load;
        Policy::learnLoad(load, 7, slots, start);
        const auto later = start + 2 * Policy::persistentFullnessPeriod;
        Policy::learnLoad(load, 7, slots, later);
        CPPUNIT_ASSERT(!Policy::isPersistentlyFull(load, later));
    }

    void messagesStaySmall()
    {
        std::vector<Policy::TargetLoad> loads;
        for (std::uint32_t i = 0; i < 1000; ++i)
            loads.push_back({i, 6, Milliseconds(1000 - i)});
        Policy::keepLatestLoads(loads);
        CPPUNIT_ASSERT_EQUAL(Policy::maxLoadsPerMessage, loads.size());
        for (const auto &load : loads)
            CPPUNIT_ASSERT(load.age_ <= Milliseconds(static_cast<int>(Policy::maxLoadsPerMessage)));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestLoadUpdate);
