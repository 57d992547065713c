#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

namespace {

using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;

constexpr SteadyTime start{std::chrono::hours(1)};
constexpr std::int64_t slots = 4;

class TestTargetPause : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetPause);
    CPPUNIT_TEST(refusalsAskForPauses);
    CPPUNIT_TEST(everyPauseIsKeptToItsEnd);
    CPPUNIT_TEST(requestsReturnGraduallyAfterAPause);
    CPPUNIT_TEST(answersDuringAPauseDoNotOpenTheWindow);
    CPPUNIT_TEST(veryLongPauseStaysWithinTheRangeOfTime);
    CPPUNIT_TEST(callersReturnAfterTheSoonestEnd);
    CPPUNIT_TEST(callersAreNotToldToWaitWhileATargetIsInUse);
    CPPUNIT_TEST(pausingTargetsHaveNoSlots);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against pausing a target because of an answer that concerns one caller.
    void refusalsAskForPauses()
    {
        CPPUNIT_ASSERT(Policy::mayAskForPause(503, true));
        CPPUNIT_ASSERT(Policy::mayAskForPause(503, false));
        CPPUNIT_ASSERT(Policy::mayAskForPause(429, true));
        for (const unsigned status : {200U, 301U, 408U, 421U, 429U, 500U, 504U})
            CPPUNIT_ASSERT(!Policy::mayAskForPause(status, false));
    }

    // Guards against a pause that a later answer shortens, whatever the order of the answers.
    void everyPauseIsKeptToItsEnd()
    {
        Support::assertProperty("no request is sent before the end of any pause", [] {
            const auto events = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 500), rc::gen::inRange(-10, 4000)));
            Policy::TargetPause pause;
            SteadyTime now = start;
            SteadyTime lastEnd = start;
            for (const auto &[wait, asked] : events) {
                now += Milliseconds(wait);
                RC_ASSERT(now >= lastEnd || !Policy::isPauseOver(pause, 0, now));
                RC_ASSERT(
                    Policy::pauseLeft(pause, now)
                    == std::max<Microseconds>(
                        Microseconds(0), std::chrono::duration_cast<Microseconds>(lastEnd - now)));
                if (asked > 0) {
                    Policy::notePause(pause, Milliseconds(asked), Policy::initialReturnWindow, now);
                    lastEnd = std::max(lastEnd, now + Milliseconds(asked));
                } else {
                    Policy::noteAnswerAfterPause(pause, slots, now);
                }
            }
            RC_ASSERT(Policy::isPauseOver(pause, 0, lastEnd));
        });
    }

    // Guards against instances that return all at once with everything that they hold, so that the
    // target asks for the next pause at once.
    void requestsReturnGraduallyAfterAPause()
    {
        Policy::TargetPause pause;
        Policy::notePause(pause, Milliseconds(300), Policy::initialReturnWindow, start);
        CPPUNIT_ASSERT(Policy::isPausing(pause, start));
        const SteadyTime end = start + Milliseconds(300);
        for (std::int64_t window = 1; window < slots; ++window) {
            CPPUNIT_ASSERT(Policy::isPauseOver(pause, window - 1, end));
            CPPUNIT_ASSERT(!Policy::isPauseOver(pause, window, end));
            Policy::noteAnswerAfterPause(pause, slots, end);
        }
        CPPUNIT_ASSERT(Policy::isPauseOver(pause, 100, end));
        // With probes, no request is sent before the first answer.
        Policy::notePause(pause, Milliseconds(300), Policy::returnWindowBeforeProbe, end);
        const SteadyTime secondEnd = end + Milliseconds(300);
        CPPUNIT_ASSERT(!Policy::isPauseOver(pause, 0, secondEnd));
        Policy::noteAnswerAfterPause(pause, slots, secondEnd);
        CPPUNIT_ASSERT(Policy::isPauseOver(pause, 0, secondEnd));
    }

    // Guards against counting answers to requests that were sent before the pause.
    void answersDuringAPauseDoNotOpenTheWindow()
    {
        Policy::TargetPause pause;
        Policy::notePause(pause, Milliseconds(300), Policy::initialReturnWindow, start);
        for (int i = 0; i < 10; ++i)
            Policy::noteAnswerAfterPause(pause, slots, start + Milliseconds(299));
        CPPUNIT_ASSERT(!Policy::isPauseOver(pause, 1, start + Milliseconds(300)));
    }

    void veryLongPauseStaysWithinTheRangeOfTime()
    {
        Policy::TargetPause pause;
        Policy::notePause(pause, Microseconds::max(), Policy::initialReturnWindow, start);
        CPPUNIT_ASSERT(Policy::pauseLeft(pause, start) == Policy::maxTargetPause);
        Policy::TargetPause none;
        Policy::notePause(none, Milliseconds(0), Policy::initialReturnWindow, start);
        CPPUNIT_ASSERT(!Policy::isPausing(none, start) && !none.returnWindow_);
    }

    // Guards against callers who are told to come back while every target still pauses.
    void callersReturnAfterTheSoonestEnd()
    {
        Policy::PauseSummary pauses;
        CPPUNIT_ASSERT(!Policy::retryDelayWhilePausing(pauses, 0));
        for (const int left : {900, 700, 1200})
            Policy::addTo(pauses, Milliseconds(left));
        CPPUNIT_ASSERT(Policy::retryDelayWhilePausing(pauses, 0) == Milliseconds(700));
        const auto latest = Policy::retryDelayWhilePausing(pauses, 0.999);
        CPPUNIT_ASSERT(*latest > Milliseconds(700)
                       && *latest <= Milliseconds(700) + Policy::pauseReturnSpread);
    }

    void callersAreNotToldToWaitWhileATargetIsInUse()
    {
        Policy::PauseSummary pauses;
        Policy::addTo(pauses, Milliseconds(900));
        Policy::addTo(pauses, Microseconds(0));
        CPPUNIT_ASSERT(!Policy::retryDelayWhilePausing(pauses, 0));
    }

    // Guards against counting the slots of pausing targets as room, so that the others are offered
    // more than they hold and pause too.
    void pausingTargetsHaveNoSlots()
    {
        Policy::TargetView view;
        view.slots_ = slots;
        view.inUseFor_ = Policy::slowStartPeriod;
        Policy::TargetView pausing = view;
        pausing.pauseLeft_ = Milliseconds(400);
        CPPUNIT_ASSERT_EQUAL(slots, Policy::slotUse({view, pausing}).slots_);
        for (std::uint64_t draw = 0; draw < 4; ++draw)
            CPPUNIT_ASSERT(Policy::chooseTarget({pausing, view}, draw, draw + 1) == 1U);
        CPPUNIT_ASSERT(Policy::anyUsable({pausing}, Milliseconds(400)));
        CPPUNIT_ASSERT(!Policy::anyUsable({pausing}, Milliseconds(399)));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetPause);
