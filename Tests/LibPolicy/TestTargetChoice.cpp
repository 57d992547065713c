#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>
#include <algorithm>

namespace {

using Model::Microseconds;
using Model::Milliseconds;
using Policy::Candidate;

const Policy::WorkEstimate work = {Milliseconds(144), Milliseconds(480), Milliseconds(150)};
const Model::SteadyTime start{std::chrono::seconds(50)};

Candidate candidate(bool isHome, bool isWarm, double load, Milliseconds roundTrip)
{
    Candidate result;
    result.isHome_ = isHome;
    result.isKnownWarm_ = isWarm;
    result.load_ = load;
    result.slots_ = 6;
    result.roundTrip_ = roundTrip;
    return result;
}

class TestTargetChoice : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetChoice);
    CPPUNIT_TEST(ownerIsKeptWhileItsWaitIsShort);
    CPPUNIT_TEST(longWaitMovesRequestToAWarmTarget);
    CPPUNIT_TEST(slowTargetIsAvoidedUntilItRecovers);
    CPPUNIT_TEST(oneSlowAnswerIsForgiven);
    CPPUNIT_TEST(workTimesSeparateWarmFromCold);
    CPPUNIT_TEST(urgentRequestsAreTakenLonger);
    CPPUNIT_TEST(requestForAFreeSlotIsTaken);
    CPPUNIT_TEST(lateRequestsAreRefused);
    CPPUNIT_TEST(retriesOfRefusedCallersAreSpread);
    CPPUNIT_TEST(splitsFollowTheWeights);
    CPPUNIT_TEST(splitWithoutWeightTakesNoRequest);
    CPPUNIT_TEST(slowStartLimitHoldsInAnySecond);
    CPPUNIT_TEST_SUITE_END();

public:
    // A burst hits one target while others idle. Warm work takes 144 ms and cold work 480 ms, so a
    // request gains nothing on another target until nearly fourteen wait at its owner.
    void ownerIsKeptWhileItsWaitIsShort()
    {
        const auto choice = Policy::chooseAmong({candidate(true, true, 12, Milliseconds(0)),
                                                 candidate(false, false, 0, Milliseconds(0))},
                                                work, 0.5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), choice->candidate_);
    }

    void longWaitMovesRequestToAWarmTarget()
    {
        const auto choice = Policy::chooseAmong({candidate(true, true, 24, Milliseconds(0)),
                                                 candidate(false, false, 0, Milliseconds(0)),
                                                 candidate(false, true, 0, Milliseconds(110))},
                                                work, 0.5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), choice->candidate_);
        CPPUNIT_ASSERT(!Policy::chooseAmong({}, work, 0.5));
    }

    // A target's answers become slow, and later normal again. If only the number of requests in
    // progress counted, a target that takes five times as long as others would keep its whole
    // share.
    void slowTargetIsAvoidedUntilItRecovers()
    {
        Policy::TargetPace pace;
        for (int i = 0; i < 4; ++i)
            Policy::learnAnswer(pace, Milliseconds(720), Milliseconds(144), start);
        auto slow = candidate(true, true, 0, Milliseconds(0));
        slow.slowness_ = Policy::paceAt(pace, start).slowness_;
        const auto other = candidate(false, true, 0, Milliseconds(110));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1),
                             Policy::chooseAmong({slow, other}, work, 0.5)->candidate_);
        slow.slowness_ = Policy::paceAt(pace, start + std::chrono::seconds(6)).slowness_;
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             Policy::chooseAmong({slow, other}, work, 0.5)->candidate_);
    }

    void oneSlowAnswerIsForgiven()
    {
        Policy::TargetPace pace;
        Policy::learnAnswer(pace, Milliseconds(480), Milliseconds(144), start);
        auto once = candidate(true, true, 0, Milliseconds(0));
        once.slowness_ = Policy::paceAt(pace, start).slowness_;
        const auto other = candidate(false, true, 0, Milliseconds(110));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             Policy::chooseAmong({once, other}, work, 0.5)->candidate_);
    }

    void workTimesSeparateWarmFromCold()
    {
        auto times = Policy::initialWorkTimes(Milliseconds(400));
        for (int i = 0; i < 200; ++i)
            Policy::learnWorkTime(times, Milliseconds(i % 4 == 0 ? 480 : 144), false);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(144000, times.warmUs_, 5000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(480000, times.coldUs_, 10000);
    }

    void urgentRequestsAreTakenLonger()
    {
        Policy::AdmissionInputs request{Milliseconds(700), Milliseconds(1200), Milliseconds(300),
                                        0};
        const auto judge = [&](int priority) {
            request.priority_ = priority;
            return Policy::evaluateAdmission(request, Milliseconds(300));
        };
        CPPUNIT_ASSERT(judge(0) == Policy::AdmissionVerdict::Take);
        CPPUNIT_ASSERT(judge(2) == Policy::AdmissionVerdict::NoRoom);
    }

    // Guards against refusing a request while the slot that it would take stays free.
    void requestForAFreeSlotIsTaken()
    {
        Policy::AdmissionInputs request{Milliseconds(2400), Milliseconds(2500), Milliseconds(700),
                                        2};
        CPPUNIT_ASSERT(Policy::evaluateAdmission(request, Milliseconds(800))
                       == Policy::AdmissionVerdict::NoRoom);
        request.hasFreeSlot_ = true;
        CPPUNIT_ASSERT(Policy::evaluateAdmission(request, Milliseconds(800))
                       == Policy::AdmissionVerdict::Take);
    }

    void lateRequestsAreRefused()
    {
        const Policy::AdmissionInputs request{Milliseconds(900), Milliseconds(800),
                                              Milliseconds(300), 0};
        CPPUNIT_ASSERT(Policy::evaluateAdmission(request, Milliseconds(5000))
                       == Policy::AdmissionVerdict::TooLate);
    }

    void retriesOfRefusedCallersAreSpread()
    {
        const auto early = Policy::refusalRetryDelay(Milliseconds(900), Milliseconds(300), 0);
        const auto late = Policy::refusalRetryDelay(Milliseconds(900), Milliseconds(300), 0.99);
        CPPUNIT_ASSERT(late - early > Milliseconds(200));
        CPPUNIT_ASSERT(Policy::refusalRetryDelay(Milliseconds(0), Milliseconds(300), 0)
                       > Milliseconds(0));
    }

    void splitsFollowTheWeights()
    {
        Support::assertProperty("any window is within a request of the weights", [] {
            std::vector<Model::WeightedSplit> parts;
            double sum = 0;
            for (int i = 0; i < 3; ++i) {
                parts.push_back({Model::ServiceId(std::to_string(i)),
                                 Model::Weight(*rc::gen::inRange(1, 100))});
                sum += parts.back().weight_.value();
            }
            Policy::WeightedRoundRobin turns;
            std::vector<int> counts(3, 0);
            const int requests = *rc::gen::inRange(1, 500);
            for (int i = 0; i < requests; ++i)
                ++counts[Policy::nextWeightedSplit(turns, parts)];
            for (std::size_t i = 0; i < 3; ++i)
                RC_ASSERT(std::abs(counts[i] - requests * parts[i].weight_.value() / sum) <= 2.0);
        });
    }

    // Guards against requests at a service that operators have taken out of a route by its weight:
    // it is still owed a request from before.
    void splitWithoutWeightTakesNoRequest()
    {
        Support::assertProperty("a split of weight zero takes nothing", [] {
            std::vector<Model::WeightedSplit> parts;
            const int count = *rc::gen::inRange(2, 5);
            for (int i = 0; i < count; ++i) {
                parts.push_back({Model::ServiceId(std::to_string(i)),
                                 Model::Weight(*rc::gen::inRange(1, 100))});
            }
            Policy::WeightedRoundRobin turns;
            const int before = *rc::gen::inRange(1, 30);
            for (int i = 0; i < before; ++i)
                Policy::nextWeightedSplit(turns, parts);
            const auto out = *rc::gen::inRange<std::size_t>(0, parts.size());
            parts[out].weight_ = Model::Weight(0);
            for (int i = 0; i < 20; ++i)
                RC_ASSERT(Policy::nextWeightedSplit(turns, parts) != out);
        });
    }

    // All entries detect at the same moment that a target has returned with empty caches, and send
    // it its share. If each entry applied the whole limit, or all spent saved tokens at once, the
    // target would crash again within a second.
    void slowStartLimitHoldsInAnySecond()
    {
        Support::assertProperty("all entries together keep the limit in any second", [] {
            const Model::RequestsPerSecond limit(11);
            const auto holders = static_cast<std::size_t>(*rc::gen::inRange(1, 5));
            std::vector<Policy::SlowStart> ramps(holders);
            for (auto &ramp : ramps)
                Policy::beginSlowStart(ramp, start);
            std::vector<int> sentAt;
            for (int ms = 0; ms < 4000; ++ms) {
                for (auto &ramp : ramps) {
                    if (Policy::takeSlowStartToken(ramp, limit, holders, start + Milliseconds(ms)))
                        sentAt.push_back(ms);
                }
            }
            for (std::size_t i = 0; i < sentAt.size(); ++i) {
                const auto inSecond = std::count_if(sentAt.begin(), sentAt.end(), [&](int at) {
                    return at >= sentAt[i] && at < sentAt[i] + 1000;
                });
                RC_ASSERT(inSecond <= 11 + static_cast<long>(holders));
            }
        });
    }
};

class TestLiveness : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLiveness);
    CPPUNIT_TEST(silentInstancesAreNotAlive);
    CPPUNIT_TEST(restartedInstanceIsAcceptedAtOnce);
    CPPUNIT_TEST(lowerIncarnationAfterAClockStepIsAccepted);
    CPPUNIT_TEST(reportsOfAnEarlierIncarnationAreIgnored);
    CPPUNIT_TEST(limitsStayDividedBySilentInstances);
    CPPUNIT_TEST(onlyTheNearestGroupIsReturned);
    CPPUNIT_TEST_SUITE_END();

public:
    static Policy::Member member(const std::string &id, const std::string &region,
                                 std::uint64_t run, std::uint64_t beat)
    {
        Policy::Member result;
        result.instance_.id_ = Model::InstanceId(id);
        result.instance_.region_ = Model::RegionId(region);
        result.heartbeatRecord_.id_ = Model::InstanceId(id);
        result.heartbeatRecord_.incarnation_ = Model::Incarnation(run);
        result.heartbeatRecord_.heartbeat_ = beat;
        result.heartbeatRecord_.isReady_ = true;
        return result;
    }

    // An instance loses power and its heartbeat stops, while peers keep exchanging the last one. If
    // a repeated heartbeat counted as a sign of life, callers would be sent to the instance for
    // seconds.
    void silentInstancesAreNotAlive()
    {
        Policy::Members members;
        Policy::mergeMemberRecord(members, member("a", "r", 1, 7), start);
        const auto later = start + Policy::maxHeartbeatAge + Milliseconds(1);
        CPPUNIT_ASSERT(!Policy::mergeMemberRecord(members, member("a", "r", 1, 7), later));
        CPPUNIT_ASSERT(!Policy::isAlive(members.begin()->second, later));
        CPPUNIT_ASSERT(Policy::mergeMemberRecord(members, member("a", "r", 1, 8), later));
        CPPUNIT_ASSERT(Policy::isAlive(members.begin()->second, later));
    }

    // A restarted instance counts its heartbeats from one again. If heartbeats of two incarnations
    // were compared, it would get no callers for as long as its earlier incarnation lasted.
    void restartedInstanceIsAcceptedAtOnce()
    {
        Policy::Members members;
        Policy::mergeMemberRecord(members, member("a", "r", 1, 700), start);
        CPPUNIT_ASSERT(Policy::mergeMemberRecord(members, member("a", "r", 2, 1), start));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), members.begin()->second.heartbeatRecord_.heartbeat_);
    }

    // The clock of an instance's host steps back by two seconds, then its process is restarted. If
    // the lower incarnation counted as an earlier one for ever, the instance would get no callers
    // for ten minutes.
    void lowerIncarnationAfterAClockStepIsAccepted()
    {
        Policy::Members members;
        Policy::mergeMemberRecord(members, member("a", "r", 9, 700), start);
        const auto soon = start + Milliseconds(500);
        CPPUNIT_ASSERT(!Policy::mergeMemberRecord(members, member("a", "r", 7, 1), soon));
        const auto later = start + Policy::maxHeartbeatAge + Milliseconds(1);
        CPPUNIT_ASSERT(Policy::mergeMemberRecord(members, member("a", "r", 7, 8), later));
        // Reports that peers still send of the previous incarnation are old by then.
        CPPUNIT_ASSERT(!Policy::mergeMemberRecord(members, member("a", "r", 8, 701), start));
    }

    void reportsOfAnEarlierIncarnationAreIgnored()
    {
        Policy::Members members;
        Policy::mergeMemberRecord(members, member("a", "r", 2, 1), start);
        CPPUNIT_ASSERT(!Policy::mergeMemberRecord(members, member("a", "r", 1, 900), start));
    }

    void limitsStayDividedBySilentInstances()
    {
        Policy::Members members;
        for (const char *id : {"a", "b", "c"})
            Policy::mergeMemberRecord(members, member(id, "r", 1, 1), start);
        Policy::mergeMemberRecord(members, member("d", "s", 1, 1), start);
        const auto later = start + Policy::maxHeartbeatAge * 2;
        CPPUNIT_ASSERT(!Policy::isAlive(members.begin()->second, later));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                             Policy::entriesIn(members, Model::RegionId("r"), later));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0),
                             Policy::entriesIn(members, Model::RegionId("none"), later));
    }

    void onlyTheNearestGroupIsReturned()
    {
        std::vector<Policy::EntryCandidate> candidates;
        for (const char *region : {"r", "r", "s"})
            candidates.push_back({member("x", region, 1, 1).instance_, true});
        Policy::LookupQuery query;
        query.origin_ = Model::RegionId("r");
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), Policy::entriesOfRegion(query, candidates).size());
        candidates[0].isAlive_ = false;
        candidates[1].instance_.isLeaving_ = true;
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), Policy::entriesOfRegion(query, candidates).size());
        CPPUNIT_ASSERT_EQUAL(std::string("s"),
                             Policy::entriesOfRegion(query, candidates)[0].region_.value());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetChoice);
CPPUNIT_TEST_SUITE_REGISTRATION(TestLiveness);
