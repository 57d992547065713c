#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;

constexpr SteadyTime start{std::chrono::hours(1)};

class TestRejectionStreak : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRejectionStreak);
    CPPUNIT_TEST(targetThatRejectsAllGetsOneTrialAtATime);
    CPPUNIT_TEST(singleRejectionsDoNotStopATarget);
    CPPUNIT_TEST(cancelledTrialLeavesRoomForAnother);
    CPPUNIT_TEST(targetsThatAllRejectAPartAreUsedAllTheSame);
    CPPUNIT_TEST(oneBadTargetAmongManyIsAvoided);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a stream of rejections by a target whose health check is good.
    void targetThatRejectsAllGetsOneTrialAtATime()
    {
        Policy::RejectionStreak streak;
        SteadyTime now = start;
        int sent = 0;
        for (int i = 0; i < 500; ++i) {
            now += Milliseconds(20);
            if (!Policy::mayTryRejecting(streak, now))
                continue;
            Policy::noteTrial(streak);
            CPPUNIT_ASSERT(sent < Policy::maxRejectionsInSeries
                           || !Policy::mayTryRejecting(streak, now));
            ++sent;
            Policy::noteRejection(streak, now);
        }
        // Ten seconds: the first ones, then one trial in each interval.
        CPPUNIT_ASSERT(sent <= Policy::maxRejectionsInSeries + 25);
        CPPUNIT_ASSERT(sent >= 20);
        Policy::noteAccepted(streak);
        CPPUNIT_ASSERT(Policy::mayTryRejecting(streak, now));
    }

    void singleRejectionsDoNotStopATarget()
    {
        Policy::RejectionStreak streak;
        for (int i = 0; i < 20; ++i) {
            Policy::noteRejection(streak, start);
            Policy::noteRejection(streak, start);
            CPPUNIT_ASSERT(Policy::mayTryRejecting(streak, start));
            Policy::noteAccepted(streak);
        }
    }

    // Guards against a target that is never used again because its trial request was cancelled.
    void cancelledTrialLeavesRoomForAnother()
    {
        Policy::RejectionStreak streak;
        for (int i = 0; i < Policy::maxRejectionsInSeries; ++i)
            Policy::noteRejection(streak, start);
        const auto later = start + Policy::trialInterval;
        Policy::noteTrial(streak);
        CPPUNIT_ASSERT(!Policy::mayTryRejecting(streak, later));
        Policy::releaseTrial(streak);
        CPPUNIT_ASSERT(Policy::mayTryRejecting(streak, later));
    }

    // Guards against refusing requests that no target was asked for while every target rejects
    // half of them.
    void targetsThatAllRejectAPartAreUsedAllTheSame()
    {
        Policy::CommonFailureRate rate;
        for (int i = 0; i < 100; ++i)
            Policy::noteResult(rate, i % 2 == 0);
        CPPUNIT_ASSERT(Policy::isFailureCommon(rate));
        CPPUNIT_ASSERT(Policy::excessFailureRate(0.55, rate) < 0.1);
        for (int i = 0; i < 60; ++i)
            Policy::noteResult(rate, false);
        CPPUNIT_ASSERT(!Policy::isFailureCommon(rate));
    }

    void oneBadTargetAmongManyIsAvoided()
    {
        Policy::CommonFailureRate rate;
        for (int i = 0; i < 200; ++i)
            Policy::noteResult(rate, i % 20 == 0);
        CPPUNIT_ASSERT(!Policy::isFailureCommon(rate));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.9, Policy::excessFailureRate(0.9, rate), 1e-9);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestRejectionStreak);
