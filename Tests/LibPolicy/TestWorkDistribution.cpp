#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

#include <random>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;

constexpr SteadyTime start{std::chrono::hours(1)};
/// Slowness from which the objects of a target go to others.
constexpr double suspicious = 2;

/// Work with a spread of 15%, of which 3% takes seven times as long.
double drawWithTail(std::mt19937_64 &random)
{
    std::normal_distribution<double> spread(1, 0.15);
    std::uniform_real_distribution<double> draw(0, 1);
    return std::max(0.3, spread(random)) * (draw(random) < 0.03 ? 7 : 1);
}

class TestWorkDistribution : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWorkDistribution);
    CPPUNIT_TEST(quantilesFollowTheWork);
    CPPUNIT_TEST(quantilesForgetEarlierWork);
    CPPUNIT_TEST(tailMakesNoTargetLookSlow);
    CPPUNIT_TEST(slowTargetIsFoundWithinTwentyAnswers);
    CPPUNIT_TEST(slowTargetIsAvoidedWithinASecond);
    CPPUNIT_TEST(oneOverdueRequestIsNoProof);
    CPPUNIT_TEST(freshPaceDecidesAndFades);
    CPPUNIT_TEST(paceIsTakenOutOfMeasuredWork);
    CPPUNIT_TEST_SUITE_END();

public:
    void quantilesFollowTheWork()
    {
        Policy::WorkDistribution distribution;
        std::mt19937_64 random(5);
        CPPUNIT_ASSERT(!distribution.quantile(Policy::WorkQuantile::Q95));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(Policy::minTailRatio * Policy::tailMargin,
                                     Policy::tailRatio(distribution), 1e-9);
        for (int i = 0; i < 3000; ++i)
            distribution.add(drawWithTail(random));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, *distribution.quantile(Policy::WorkQuantile::Median), 0.1);
        CPPUNIT_ASSERT(*distribution.quantile(Policy::WorkQuantile::Q95) < 2);
        CPPUNIT_ASSERT(Policy::tailRatio(distribution) > 6);
    }

    // Guards against a tail that ended long ago.
    void quantilesForgetEarlierWork()
    {
        Policy::WorkDistribution distribution;
        for (std::size_t i = 0; i < Policy::generationSize; ++i)
            distribution.add(5);
        for (std::size_t i = 0; i < 2 * Policy::generationSize; ++i)
            distribution.add(1);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, *distribution.quantile(Policy::WorkQuantile::Q99), 1e-9);
    }

    // Guards against moving objects away from a target because some work takes long.
    void tailMakesNoTargetLookSlow()
    {
        std::mt19937_64 random(7);
        Policy::RecentWork recent;
        int suspicions = 0;
        constexpr int answers = 100000;
        for (int i = 0; i < answers; ++i) {
            Policy::noteWork(recent, drawWithTail(random), start);
            suspicions += Policy::slownessOf(recent, {}, start) > suspicious ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(suspicions), suspicions < answers / 1000);
    }

    void slowTargetIsFoundWithinTwentyAnswers()
    {
        for (unsigned seed = 0; seed < 200; ++seed) {
            std::mt19937_64 random(seed);
            Policy::RecentWork recent;
            for (int i = 0; i < 50; ++i)
                Policy::noteWork(recent, drawWithTail(random), start);
            int found = 0;
            while (Policy::slownessOf(recent, {}, start) <= suspicious) {
                Policy::noteWork(recent, 2.5 * drawWithTail(random), start);
                CPPUNIT_ASSERT(++found <= 20);
            }
        }
    }

    // Guards against waiting for answers of a target that has become four times slower: at five
    // requests a second, three are overdue after a second.
    void slowTargetIsAvoidedWithinASecond()
    {
        const Policy::RecentWork recent;
        const std::array<double, 3> overdue = {3.8, 3.0, 2.3};
        CPPUNIT_ASSERT(Policy::slownessOf(recent, overdue, start) > suspicious);
    }

    void oneOverdueRequestIsNoProof()
    {
        const Policy::RecentWork recent;
        const std::array<double, 1> overdue = {6.5};
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, Policy::slownessOf(recent, overdue, start), 1e-9);
    }

    // Guards against believing a report that is older than the state that it tells of.
    void freshPaceDecidesAndFades()
    {
        Policy::TargetPaceReport report;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(3, Policy::slownessByReport(report, 3, start), 1e-9);
        Policy::notePace(report, Model::Pace(2.5), start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(2.5, Policy::slownessByReport(report, 1, start), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1.75, Policy::slownessByReport(report, 1, start + Policy::paceReportLifetime / 2),
            1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(
            1, Policy::slownessByReport(report, 1, start + Policy::paceReportLifetime), 1e-9);
    }

    void paceIsTakenOutOfMeasuredWork()
    {
        const Model::Microseconds worked(660000);
        CPPUNIT_ASSERT(Policy::atUsualPace(worked, Model::Pace(2.5)) == Milliseconds(264));
        CPPUNIT_ASSERT(Policy::atUsualPace(worked, Model::Pace(1)) == worked);
        CPPUNIT_ASSERT(Policy::atUsualPace(worked, Model::Pace(0.5)) == worked);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestWorkDistribution);
