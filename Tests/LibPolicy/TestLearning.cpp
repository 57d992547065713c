#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

namespace {

using Model::Microseconds;
using Model::Milliseconds;
using Policy::Candidate;

const Policy::WorkEstimate work = {Milliseconds(192), Milliseconds(640), Milliseconds(200)};
const Model::SteadyTime start{std::chrono::seconds(50)};

class TestLearning : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLearning);
    CPPUNIT_TEST(coldLoadDoesNotMakeATargetLookSlow);
    CPPUNIT_TEST(peerWarmthFollowsAnswerTimes);
    CPPUNIT_TEST(retentionFollowsAnswers);
    CPPUNIT_TEST(oneSlowAnswerShortensRetentionLittle);
    CPPUNIT_TEST(coldLoadsCostMoreInAFullService);
    CPPUNIT_TEST(offOwnerRequestToAWarmTargetCostsNoLoad);
    CPPUNIT_TEST(peerLoadDecaysToTheAverage);
    CPPUNIT_TEST(onlyFreshReportsCountInAChoice);
    CPPUNIT_TEST(idleConnectionsAreForTargetsInUse);
    CPPUNIT_TEST_SUITE_END();

public:
    // In the first seconds of a day every object is requested for the first time, and each answer
    // takes three times as long as a warm one. If targets were held to the warm time, owners would
    // look slow and their requests would go off-owner.
    void coldLoadDoesNotMakeATargetLookSlow()
    {
        Candidate home;
        home.slots_ = 3;
        home.peerWarmth_ = 1;
        CPPUNIT_ASSERT(Policy::expectedTime(home, work) == work.warm_);
        CPPUNIT_ASSERT(Policy::latestNormalTime(home, work) == work.cold_);
        Policy::TargetPace pace;
        Policy::learnAnswer(pace, work.cold_, Policy::latestNormalTime(home, work), start);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, pace.slowness_, 1e-9);
        home.isKnownWarm_ = true;
        CPPUNIT_ASSERT(Policy::latestNormalTime(home, work) == work.warm_);
    }

    // Each region's callers request objects of their own. If an object's home for other callers
    // were always considered warm, requests would go to other regions' targets and take several
    // times as long as expected.
    void peerWarmthFollowsAnswerTimes()
    {
        Policy::WorkTimes times{192000, 640000};
        double warmth = Policy::initialPeerWarmth;
        for (int i = 0; i < 40; ++i)
            Policy::learnWarmth(warmth, times, Milliseconds(700));
        CPPUNIT_ASSERT(warmth < 0.1);
        for (int i = 0; i < 80; ++i)
            Policy::learnWarmth(warmth, times, Milliseconds(180));
        CPPUNIT_ASSERT(warmth > 0.9);
    }

    // Targets evict objects that were not requested for four seconds: they retain 25 objects and
    // load six new ones a second while a service is overloaded.
    void retentionFollowsAnswers()
    {
        Policy::ObjectRetention memory;
        for (int i = 0; i < 300; ++i) {
            const Milliseconds age(500 + 37 * (i % 200));
            Policy::learnRetention(memory, age, age < Milliseconds(4000));
        }
        CPPUNIT_ASSERT(memory.kept_ > Milliseconds(3000));
        CPPUNIT_ASSERT(memory.kept_ < Milliseconds(6000));
        // The overload has ended, and objects are retained for long again.
        for (int i = 0; i < 200; ++i)
            Policy::learnRetention(memory, Milliseconds(200 * i), true);
        CPPUNIT_ASSERT(memory.kept_ > Milliseconds(30000));
    }

    void oneSlowAnswerShortensRetentionLittle()
    {
        Policy::ObjectRetention memory;
        Policy::learnRetention(memory, Milliseconds(300), false);
        CPPUNIT_ASSERT(memory.kept_ >= Policy::maxRetention * 8 / 10);
    }

    // If a cold load cost the same in an idle service and in a full one, a service would stay at
    // three times its usual times after a burst: off-owner requests load their objects again, which
    // takes the slots of other requests.
    void coldLoadsCostMoreInAFullService()
    {
        const auto load = work.cold_ - work.warm_;
        CPPUNIT_ASSERT(Policy::coldLoadCost(work, 0) == load);
        CPPUNIT_ASSERT(Policy::coldLoadCost(work, 0.5) == load);
        CPPUNIT_ASSERT(Policy::coldLoadCost(work, 0.75) == 3 * load);
        CPPUNIT_ASSERT(Policy::coldLoadCost(work, 1) == 4 * load);
        // Half a second of waiting justifies a cold load on another target only if slots are idle.
        Candidate home;
        home.isHome_ = true;
        home.isKnownWarm_ = true;
        home.slots_ = 3;
        home.load_ = 17;
        Candidate other;
        other.slots_ = 3;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             Policy::chooseAmong({home, other}, work, 0.3)->candidate_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             Policy::chooseAmong({home, other}, work, 0.75)->candidate_);
    }

    void offOwnerRequestToAWarmTargetCostsNoLoad()
    {
        Candidate home;
        home.isHome_ = true;
        home.isKnownWarm_ = true;
        home.slots_ = 3;
        home.load_ = 5;
        Candidate other;
        other.isKnownWarm_ = true;
        other.slots_ = 3;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             Policy::chooseAmong({home, other}, work, 0.9)->candidate_);
    }

    // If an old report counted for nothing, an entry that receives a target's report once a second
    // would consider the target idle in between.
    void peerLoadDecaysToTheAverage()
    {
        Policy::PeerReportedLoad load;
        for (int i = 0; i < 20; ++i)
            Policy::learnPeerReportedLoad(load, 2, start + Milliseconds(100) * i);
        const auto last = start + Milliseconds(1900);
        Policy::learnPeerReportedLoad(load, 6, last);
        const Milliseconds workTime(200);
        const auto at = [&](int ms) {
            return Policy::peerReportedLoadAt(load, workTime, last + Milliseconds(ms));
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6, at(100), 0.1);
        CPPUNIT_ASSERT(at(600) < 4);
        CPPUNIT_ASSERT(at(1000) > 1.5);
        CPPUNIT_ASSERT(at(20000) < 0.2);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, Policy::peerReportedLoadAt({}, workTime, start), 1e-9);
    }

    void onlyFreshReportsCountInAChoice()
    {
        Policy::PeerReportedLoad load;
        Policy::learnPeerReportedLoad(load, 6, start);
        const Milliseconds workTime(200);
        const auto at = [&](int ms) {
            return Policy::freshPeerReportedLoad(load, workTime, start + Milliseconds(ms));
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(6, at(150), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, at(250), 1e-9);
    }

    // One entry calls a remote target every three seconds, and one of a large fleet calls it every
    // ten. A connection may stay idle for six seconds.
    void idleConnectionsAreForTargetsInUse()
    {
        const Milliseconds life(6000);
        const auto worthwhile = [&](int gapMs, int requests, int restMs) {
            Policy::TargetUse use;
            auto now = start;
            for (int i = 0; i < requests; ++i) {
                now += Milliseconds(gapMs);
                Policy::noteUse(use, now);
            }
            return Policy::isIdleConnectionWorthwhile(use, life, now + Milliseconds(restMs));
        };
        CPPUNIT_ASSERT(worthwhile(3000, 10, 0));
        CPPUNIT_ASSERT(worthwhile(3000, 10, 5000));
        CPPUNIT_ASSERT(!worthwhile(10000, 10, 0));
        CPPUNIT_ASSERT(!worthwhile(3000, 1, 0));
        CPPUNIT_ASSERT(!worthwhile(3000, 10, 20000));
        CPPUNIT_ASSERT(!Policy::isIdleConnectionWorthwhile({}, life, start));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestLearning);
