#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

#include <algorithm>
#include <random>

namespace {

using Model::Microseconds;

constexpr Microseconds warm{100000};
constexpr Microseconds farGoal{1000000};

/// Work with a spread of 15%, of which 3% takes seven times as long.
Policy::WorkDistribution workWithTail()
{
    Policy::WorkDistribution work;
    std::mt19937_64 random(7);
    std::normal_distribution<double> spread(1, 0.15);
    std::uniform_real_distribution<double> draw(0, 1);
    for (int i = 0; i < 3000; ++i)
        work.add(std::max(0.3, spread(random)) * (draw(random) < 0.03 ? 7 : 1));
    return work;
}

Policy::SecondTryTimes timesWithGoal(Microseconds goalLeft)
{
    return {.usual_ = warm, .warm_ = warm, .second_ = warm, .goalLeft_ = goalLeft};
}

Policy::SecondTryFacts favourableFacts()
{
    return {.isIdempotent_ = true, .hasFreeSlot_ = true, .slotUse_ = 0.5};
}

class TestSpeculativeRetry : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSpeculativeRetry);
    CPPUNIT_TEST(quantileOfTheWorkDecides);
    CPPUNIT_TEST(secondTargetCanStillMeetTheGoal);
    CPPUNIT_TEST(requestThatIsLateAnywayWaitsForTheTail);
    CPPUNIT_TEST(unknownWorkIsNotCutShort);
    CPPUNIT_TEST(delayStaysWithinItsBounds);
    CPPUNIT_TEST(eachConditionPreventsTheSecondTry);
    CPPUNIT_TEST(secondTriesStayWithinTheCredit);
    CPPUNIT_TEST(refusedSecondTryTakesNoCredit);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against second tries of requests that take as long as nearly all others.
    void quantileOfTheWorkDecides()
    {
        const auto work = workWithTail();
        const double quantile = *work.quantile(Policy::WorkQuantile::Q95);
        CPPUNIT_ASSERT(quantile > 1.1 && quantile < 2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            quantile * 1e5,
            static_cast<double>(Policy::secondTryDelay(timesWithGoal(farGoal), work).count()), 1);
    }

    // Guards against a second try that starts too late to be answered within the goal.
    void secondTargetCanStillMeetTheGoal()
    {
        const auto delay
            = Policy::secondTryDelay(timesWithGoal(Microseconds(210000)), workWithTail());
        CPPUNIT_ASSERT_EQUAL(static_cast<long long>(110000), static_cast<long long>(delay.count()));
    }

    // Guards against second tries that help no caller, and against a request that waits for a
    // silent target until its timeout.
    void requestThatIsLateAnywayWaitsForTheTail()
    {
        const auto work = workWithTail();
        for (const long long left : {199999, 0, -50000}) {
            const auto delay = Policy::secondTryDelay(timesWithGoal(Microseconds(left)), work);
            CPPUNIT_ASSERT_DOUBLES_EQUAL(Policy::tailRatio(work) * 1e5,
                                         static_cast<double>(delay.count()), 1);
            CPPUNIT_ASSERT(delay > 6 * warm && delay <= Policy::maxTailRatio * warm);
        }
    }

    // Guards against a second try of every request while the distribution is not known.
    void unknownWorkIsNotCutShort()
    {
        const Policy::WorkDistribution unknown;
        const auto delay = Policy::secondTryDelay(timesWithGoal(farGoal), unknown);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(Policy::minTailRatio * Policy::tailMargin * 1e5,
                                     static_cast<double>(delay.count()), 1);
    }

    // Guards against a delay outside of its bounds at any goal: a second try before the usual time,
    // or one after the time that serves the caller.
    void delayStaysWithinItsBounds()
    {
        const auto work = workWithTail();
        Support::assertProperty("bounds of the delay", [&] {
            Policy::SecondTryTimes times;
            times.warm_ = Microseconds(*rc::gen::inRange(1000, 500000));
            times.usual_ = times.warm_ + Microseconds(*rc::gen::inRange(0, 500000));
            times.second_ = Microseconds(*rc::gen::inRange(1000, 1000000));
            times.goalLeft_ = Microseconds(*rc::gen::inRange(-1000000, 4000000));
            const auto delay = Policy::secondTryDelay(times, work);
            RC_ASSERT(delay >= times.warm_);
            const auto latest = times.goalLeft_ - times.second_;
            if (latest >= times.warm_)
                RC_ASSERT(delay <= latest);
            RC_ASSERT(delay <= Policy::maxTailRatio * times.usual_);
        });
    }

    // Guards against a second run of a non-idempotent request, and against second tries that take
    // slots from first ones or that nobody waits for.
    void eachConditionPreventsTheSecondTry()
    {
        using Facts = Policy::SecondTryFacts;
        CPPUNIT_ASSERT(Policy::isSecondTryAllowed(favourableFacts()));
        const std::vector<void (*)(Facts &)> obstacles = {
            [](Facts &facts) {
                facts.isIdempotent_ = false;
            },
            [](Facts &facts) {
                facts.attemptLimit_ = 1;
            },
            [](Facts &facts) {
                facts.attempts_ = facts.attemptLimit_;
            },
            [](Facts &facts) {
                facts.hasFreeSlot_ = false;
            },
            [](Facts &facts) {
                facts.slotUse_ = Policy::maxUseForSecondTry;
            },
            [](Facts &facts) {
                facts.isSecondTry_ = true;
            },
            [](Facts &facts) {
                facts.isHeldByCrashGuard_ = true;
            },
            [](Facts &facts) {
                facts.hasCallerLeft_ = true;
            },
            [](Facts &facts) {
                facts.mayHoldAnswer_ = false;
            },
            [](Facts &facts) {
                facts.isForwarded_ = true;
            },
        };
        for (std::size_t i = 0; i < obstacles.size(); ++i) {
            Facts facts = favourableFacts();
            obstacles[i](facts);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(i), !Policy::isSecondTryAllowed(facts));
        }
    }

    // Guards against second tries that multiply the load while many targets are slow at once.
    void secondTriesStayWithinTheCredit()
    {
        Support::assertProperty("second tries within the credit", [] {
            const int requests = *rc::gen::inRange(0, 500);
            Policy::RetryBudget budget;
            int made = 0;
            for (int i = 0; i < requests; ++i) {
                Policy::earnRetryCredit(budget);
                made += Policy::takeSecondTry(budget, favourableFacts()) ? 1 : 0;
            }
            RC_ASSERT(made <= requests * Policy::retryShare + 1e-6);
        });
    }

    // Guards against credit that is lost to second tries that are not made.
    void refusedSecondTryTakesNoCredit()
    {
        Policy::RetryBudget budget{1};
        auto facts = favourableFacts();
        facts.hasFreeSlot_ = false;
        CPPUNIT_ASSERT(!Policy::takeSecondTry(budget, facts));
        CPPUNIT_ASSERT_EQUAL(1.0, budget.credit_);
        CPPUNIT_ASSERT(Policy::takeSecondTry(budget, favourableFacts()));
        CPPUNIT_ASSERT_EQUAL(0.0, budget.credit_);
        CPPUNIT_ASSERT(!Policy::takeSecondTry(budget, favourableFacts()));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestSpeculativeRetry);
