#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

#include <algorithm>

namespace {

using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;

constexpr SteadyTime start{std::chrono::hours(1)};

Policy::RefusedRequest refused(Policy::ReturnKey key, Milliseconds timeLeft, int rank = 0)
{
    Policy::RefusedRequest request;
    request.key_ = key;
    request.rank_ = rank;
    request.timeLeft_ = timeLeft;
    return request;
}

class TestReturnSchedule : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestReturnSchedule);
    CPPUNIT_TEST(returnsFollowTheOrderOfFirstRefusal);
    CPPUNIT_TEST(requestRefusedAgainGoesBeforeLaterOnes);
    CPPUNIT_TEST(burstReturnsAtTheRateAtWhichRoomBecomesAvailable);
    CPPUNIT_TEST(returnsBeyondTheRateAreSpreadWithinAThird);
    CPPUNIT_TEST(dueReturnsKeepTheirRoomUntilTheyLapse);
    CPPUNIT_TEST(ranksAreScheduledApart);
    CPPUNIT_TEST(delayStaysWithinAThirdOfTheTimeLeft);
    CPPUNIT_TEST_SUITE_END();

public:
    // Random delays let the caller that was refused first return last.
    void returnsFollowTheOrderOfFirstRefusal()
    {
        Policy::ReturnSchedule schedule;
        SteadyTime last;
        for (Policy::ReturnKey key = 1; key <= 50; ++key) {
            const SteadyTime now = start + Milliseconds(5) * static_cast<int>(key);
            const auto delay
                = Policy::announceReturn(schedule, refused(key, Milliseconds(9000)), 100, now);
            CPPUNIT_ASSERT(now + delay >= last);
            last = now + delay;
        }
    }

    // A request that was refused twice would otherwise wait behind every one refused since.
    void requestRefusedAgainGoesBeforeLaterOnes()
    {
        Policy::ReturnSchedule schedule;
        for (Policy::ReturnKey key = 1; key <= 40; ++key)
            Policy::announceReturn(schedule, refused(key, Milliseconds(9000)), 20, start);
        const SteadyTime now = start + Policy::minRetryAfter;
        const auto first = Policy::keepReturn(schedule, 1, now);
        CPPUNIT_ASSERT(first == start);
        // Others return as well, which leaves gaps.
        CPPUNIT_ASSERT(Policy::keepReturn(schedule, 5, now));
        auto again = refused(1, Milliseconds(6000));
        again.firstRefusedAt_ = first;
        const auto delay = Policy::announceReturn(schedule, again, 20, now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(delay.count()), delay <= Milliseconds(200));
        const auto late
            = Policy::announceReturn(schedule, refused(99, Milliseconds(9000)), 20, now);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(late.count()), late >= Milliseconds(1900));
    }

    // Callers refused together would return together, to room for one of them.
    void burstReturnsAtTheRateAtWhichRoomBecomesAvailable()
    {
        Policy::ReturnSchedule schedule;
        std::vector<Milliseconds> delays;
        for (Policy::ReturnKey key = 1; key <= 100; ++key) {
            delays.push_back(
                Policy::announceReturn(schedule, refused(key, Milliseconds(9000)), 50, start));
        }
        for (std::size_t i = 1; i < delays.size(); ++i) {
            const auto gap = (delays[i] - delays[i - 1]).count();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(gap), gap >= 19 && gap <= 21);
        }
    }

    // Without the spread, all returns that do not fit the rate are announced for the same moment.
    void returnsBeyondTheRateAreSpreadWithinAThird()
    {
        Policy::ReturnSchedule schedule;
        std::vector<int> bins(10);
        for (Policy::ReturnKey key = 1; key <= 400; ++key) {
            const auto delay
                = Policy::announceReturn(schedule, refused(key, Milliseconds(3300)), 0, start);
            CPPUNIT_ASSERT(delay >= Policy::minRetryAfter && delay <= Milliseconds(1100));
            ++bins[std::min<std::size_t>(9, static_cast<std::size_t>((delay.count() - 100) / 100))];
        }
        const auto [least, most] = std::minmax_element(bins.begin(), bins.end());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(*least) + " " + std::to_string(*most),
                               *least >= 36 && *most <= 44);
    }

    // Room that newcomers take before the announced return arrives makes the announcement false;
    // room that is kept for a caller that has given up is wasted.
    void dueReturnsKeepTheirRoomUntilTheyLapse()
    {
        Policy::ReturnSchedule schedule;
        const auto delay
            = Policy::announceReturn(schedule, refused(7, Milliseconds(3000)), 10, start);
        const auto at = start + delay;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             Policy::dueReturns(schedule, 0, at - Milliseconds(50)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), Policy::dueReturns(schedule, 0, at));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             Policy::dueReturns(schedule, 0, at + Milliseconds(499)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             Policy::dueReturns(schedule, 0, at + Milliseconds(501)));
        CPPUNIT_ASSERT(!Policy::keepReturn(schedule, 7, at + Milliseconds(501)));
        CPPUNIT_ASSERT(schedule.returns_.empty());
    }

    // The returns of one rank must not keep the requests of a more urgent one waiting.
    void ranksAreScheduledApart()
    {
        Policy::ReturnSchedule schedule;
        for (Policy::ReturnKey key = 1; key <= 100; ++key)
            Policy::announceReturn(schedule, refused(key, Milliseconds(9000), 2), 50, start);
        CPPUNIT_ASSERT(
            Policy::announceReturn(schedule, refused(101, Milliseconds(9000), 0), 50, start)
            == Policy::minRetryAfter);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             Policy::dueReturns(schedule, 0, start + Milliseconds(90)));
    }

    // Callers honour no more than a third of their time left; a longer delay is not kept.
    void delayStaysWithinAThirdOfTheTimeLeft()
    {
        Support::assertProperty("delay within a third", [] {
            Policy::ReturnSchedule schedule;
            const auto count = *rc::gen::inRange<int>(1, 60);
            SteadyTime now = start;
            for (int i = 0; i < count; ++i) {
                now += Milliseconds(*rc::gen::inRange<int>(0, 200));
                const Milliseconds left(*rc::gen::inRange<int>(-100, 20000));
                const double rate = *rc::gen::inRange<int>(0, 200);
                auto request = refused(*rc::gen::inRange<Policy::ReturnKey>(0, 80), left);
                request.firstRefusedAt_ = Policy::keepReturn(schedule, request.key_, now);
                const auto delay = Policy::announceReturn(schedule, request, rate, now);
                RC_ASSERT(delay >= Policy::minRetryAfter);
                RC_ASSERT(delay <= std::max(Policy::minRetryAfter, left / 3 + Milliseconds(1)));
            }
            std::size_t scheduled = 0;
            for (const auto &[rank, announced] : schedule.byRank_)
                scheduled += announced.size();
            RC_ASSERT(scheduled == schedule.returns_.size());
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestReturnSchedule);

} // namespace
