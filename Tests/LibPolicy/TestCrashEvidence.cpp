#include "SimulatedFleet.h"

#include <Support/Property.h>
#include <algorithm>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;
using Policy::CrashRecords;
using Policy::RequestFingerprint;
using Policy::RequestStanding;
using Policy::TargetIncarnationKey;

const SteadyTime start{std::chrono::hours(30)};
constexpr RequestFingerprint poison{0xC000000000000001, 7};
constexpr RequestFingerprint innocent{0xA000000000000001, 8};
constexpr Milliseconds step{250};

TargetIncarnationKey incarnationKey(std::uint64_t number)
{
    return TargetIncarnationKey(number);
}

/// Crashes \a count targets that process \a prints, the first at \a from, the others a step apart.
/// Returns when the last one crashed.
SteadyTime crashTargets(CrashRecords &records, const std::vector<RequestFingerprint> &fingerprints,
                        int count, SteadyTime from = start)
{
    static std::uint64_t number = 1000;
    for (int i = 0; i < count; ++i)
        Policy::noteEnded(records, incarnationKey(++number), fingerprints, from + i * step);
    return from + (count - 1) * step;
}

/// Judges as an instance does, every tick, from \a from until a quarantine decision is due.
SteadyTime judgeUntilDue(CrashRecords &records, SteadyTime from)
{
    auto now = from;
    for (; now <= from + Policy::settleTime + Milliseconds(100); now += Milliseconds(100))
        Policy::judge(records, now);
    return now;
}

RequestStanding standing(const CrashRecords &records, const RequestFingerprint &fingerprint,
                         SteadyTime now)
{
    return Policy::standingOf(Policy::viewOf(records, now), fingerprint, now).standing_;
}

class TestCrashEvidence : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCrashEvidence);
    CPPUNIT_TEST(fingerprintIsTheSameForARepeatOnly);
    CPPUNIT_TEST(requestIsPendingAtItsThirdCrashAndQuarantinedSoonAfter);
    CPPUNIT_TEST(suspectIsProbedSeriallyAfterTwoCrashes);
    CPPUNIT_TEST(bystanderIsNotQuarantinedWhenThePoisonRequestCrashesOthers);
    CPPUNIT_TEST(bystanderQuarantinedTooEarlyIsReleasedByReportsOfOthers);
    CPPUNIT_TEST(simultaneousCrashesQuarantineNoRequest);
    CPPUNIT_TEST(answeredRequestIsCleared);
    CPPUNIT_TEST(answerReleasesAQuarantine);
    CPPUNIT_TEST(sameRequestOfManyCallersIsFound);
    CPPUNIT_TEST(otherCallersAreServedWhenOneCallersRequestIsQuarantined);
    CPPUNIT_TEST(twoPoisonRequestsAtOnceAreBothFound);
    CPPUNIT_TEST(releasedQuarantineStaysReleased);
    CPPUNIT_TEST(expiredQuarantineIsRenewedByOneCrash);
    CPPUNIT_TEST(updatesInAnyOrderLeadToTheSameQuarantines);
    CPPUNIT_TEST(lateInstanceReceivesQuarantines);
    CPPUNIT_TEST(recordsAndMessagesStaySmall);
    CPPUNIT_TEST(quarantineReachesALargeFleetInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void fingerprintIsTheSameForARepeatOnly()
    {
        const Policy::RequestText text{"POST", "h", "/a/b?c", "body", "pilot"};
        const auto fingerprint = Policy::fingerprintOf(text);
        CPPUNIT_ASSERT(fingerprint == Policy::fingerprintOf(text));
        CPPUNIT_ASSERT(Policy::fingerprintPrefixOf(fingerprint)
                       == Policy::fingerprintPrefixOf(text));
        const std::vector<Policy::RequestText> others = {{"GET", "h", "/a/b?c", "body", "pilot"},
                                                         {"POST", "g", "/a/b?c", "body", "pilot"},
                                                         {"POST", "h", "/a/b?d", "body", "pilot"},
                                                         {"POST", "h", "/a/b?c", "bodi", "pilot"},
                                                         {"POST", "h", "/a/b?c", "body", "pilots"}};
        for (const auto &other : others)
            CPPUNIT_ASSERT(fingerprint != Policy::fingerprintOf(other));
        CPPUNIT_ASSERT(fingerprint.request_ == Policy::fingerprintOf(others.back()).request_);
        CPPUNIT_ASSERT(Policy::fingerprintFromText(toText(fingerprint)) == fingerprint);
        for (const auto *bad : {"", "12", "0123456789abcdef_01234567", "0123456789abcdef-0123456x"})
            CPPUNIT_ASSERT(!Policy::fingerprintFromText(bad));
    }

    // Guards against sending on a request that crashes targets while its quarantine is pending.
    void requestIsPendingAtItsThirdCrashAndQuarantinedSoonAfter()
    {
        CrashRecords records;
        const auto third = crashTargets(records, {poison}, 3);
        Policy::judge(records, third);
        CPPUNIT_ASSERT(standing(records, poison, third) == RequestStanding::Pending);
        const auto now = judgeUntilDue(records, third);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(standing(records, innocent, now) == RequestStanding::Free);
    }

    void suspectIsProbedSeriallyAfterTwoCrashes()
    {
        CrashRecords records;
        auto now = crashTargets(records, {poison, innocent}, 1);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Free);
        now = crashTargets(records, {poison}, 1, now + step);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::SerializedProbe);
        CPPUNIT_ASSERT(standing(records, innocent, now) == RequestStanding::Free);
    }

    // Guards against quarantining a request that was always in progress beside the poison request.
    void bystanderIsNotQuarantinedWhenThePoisonRequestCrashesOthers()
    {
        CrashRecords records;
        auto now = crashTargets(records, {poison, innocent}, 4);
        now = judgeUntilDue(records, now);
        CPPUNIT_ASSERT(records.quarantines_.empty());
        now = crashTargets(records, {poison}, 2, now);
        now = judgeUntilDue(records, now);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(!records.quarantines_.contains(innocent));
        CPPUNIT_ASSERT(!records.pending_.contains(innocent));
    }

    // Guards against a quarantine that rests on a part of the fleet's evidence.
    void bystanderQuarantinedTooEarlyIsReleasedByReportsOfOthers()
    {
        CrashRecords records;
        std::vector<TargetIncarnationKey> runs;
        for (std::uint64_t i = 1; i <= 3; ++i) {
            runs.push_back(incarnationKey(i));
            Policy::noteEnded(records, runs.back(), {innocent}, start + i * step);
        }
        auto now = judgeUntilDue(records, start + 3 * step);
        CPPUNIT_ASSERT(standing(records, innocent, now) == RequestStanding::Quarantined);
        // Other instances report what else was in progress, and further crashes.
        for (const auto &key : runs)
            Policy::noteEnded(records, key, {poison}, now);
        now = crashTargets(records, {poison}, 3, now);
        now = judgeUntilDue(records, now);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(standing(records, innocent, now) != RequestStanding::Quarantined);
    }

    // Guards against quarantining a common request because targets were killed or lost power.
    void simultaneousCrashesQuarantineNoRequest()
    {
        CrashRecords records;
        for (std::uint64_t i = 1; i <= 20; ++i) {
            const RequestFingerprint other{0xB000000000000000 + i, 9};
            Policy::noteEnded(records, incarnationKey(i), {innocent, other},
                              start + Milliseconds(i));
        }
        const auto now = judgeUntilDue(records, start + Milliseconds(20));
        CPPUNIT_ASSERT(records.quarantines_.empty());
        CPPUNIT_ASSERT(standing(records, innocent, now) == RequestStanding::Free);
    }

    void answeredRequestIsCleared()
    {
        CrashRecords records;
        auto now = crashTargets(records, {innocent}, 2);
        CPPUNIT_ASSERT(!Policy::noteAnswered(records, innocent, now));
        CPPUNIT_ASSERT(standing(records, innocent, now) == RequestStanding::Free);
        now = crashTargets(records, {innocent}, 2, now + step);
        judgeUntilDue(records, now);
        CPPUNIT_ASSERT(records.quarantines_.empty());
    }

    void answerReleasesAQuarantine()
    {
        CrashRecords records;
        auto now = judgeUntilDue(records, crashTargets(records, {innocent}, 3));
        CPPUNIT_ASSERT(standing(records, innocent, now) == RequestStanding::Quarantined);
        // It was in progress at another target throughout.
        CPPUNIT_ASSERT(Policy::noteAnswered(records, innocent, now));
        now = judgeUntilDue(records, now);
        CPPUNIT_ASSERT(standing(records, innocent, now) == RequestStanding::Free);
    }

    // Guards against missing a request that crashes targets regardless of its caller, and comes
    // from another caller each time.
    void sameRequestOfManyCallersIsFound()
    {
        CrashRecords records;
        auto now = start;
        for (std::uint32_t caller = 1; caller <= 3; ++caller)
            now = crashTargets(records, {{poison.request_, caller}}, 1, now + step);
        now = judgeUntilDue(records, now);
        const RequestFingerprint fourth{poison.request_, 4};
        CPPUNIT_ASSERT(standing(records, fourth, now) == RequestStanding::Quarantined);
    }

    // Guards against refusing all callers a request that crashes targets for one caller only.
    void otherCallersAreServedWhenOneCallersRequestIsQuarantined()
    {
        CrashRecords records;
        const RequestFingerprint other{poison.request_, poison.caller_ + 1};
        auto now = crashTargets(records, {poison, other}, 1);
        now = crashTargets(records, {poison}, 3, now + step);
        Policy::noteAnswered(records, other, now);
        now = judgeUntilDue(records, now);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(standing(records, other, now) == RequestStanding::Free);
        // Its answers do not release the poison request.
        Policy::noteAnswered(records, other, now);
        now = judgeUntilDue(records, now);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Quarantined);
    }

    void twoPoisonRequestsAtOnceAreBothFound()
    {
        CrashRecords records;
        const RequestFingerprint second{0xD000000000000001, 5};
        auto now = start;
        for (int i = 0; i < 4; ++i) {
            crashTargets(records, {poison, innocent}, 1, now);
            crashTargets(records, {second}, 1, now + Milliseconds(30));
            now += step;
        }
        Policy::noteAnswered(records, innocent, now);
        now = judgeUntilDue(records, now);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(standing(records, second, now) == RequestStanding::Quarantined);
        // Two that are always in progress together are found too, but later.
        CrashRecords shared;
        now = judgeUntilDue(shared, crashTargets(shared, {poison, second}, 8));
        CPPUNIT_ASSERT(standing(shared, poison, now) == RequestStanding::Quarantined);
    }

    // Guards against peers that restore a quarantine that an operator released.
    void releasedQuarantineStaysReleased()
    {
        CrashRecords records;
        auto now = judgeUntilDue(records, crashTargets(records, {poison}, 3));
        CrashRecords peer;
        Policy::takeIn(peer, Policy::crashUpdateFrom(records, now), now);
        CPPUNIT_ASSERT(Policy::liftQuarantine(records, poison, now));
        CPPUNIT_ASSERT(!Policy::liftQuarantine(records, poison, now));
        Policy::takeIn(records, Policy::crashUpdateFrom(peer, now), now);
        Policy::takeIn(peer, Policy::crashUpdateFrom(records, now), now);
        now = judgeUntilDue(records, now);
        judgeUntilDue(peer, now);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Free);
        CPPUNIT_ASSERT(standing(peer, poison, now) == RequestStanding::Free);
        // Three further crashes lead to another quarantine, for twice as long.
        now = judgeUntilDue(records, crashTargets(records, {poison}, 3, now));
        const auto left = Policy::inForceUntil(records.quarantines_.at(poison)) - now;
        CPPUNIT_ASSERT(left > Policy::firstQuarantine);
        Policy::takeIn(peer, Policy::crashUpdateFrom(records, now), now);
        CPPUNIT_ASSERT(standing(peer, poison, now) == RequestStanding::Quarantined);
    }

    void expiredQuarantineIsRenewedByOneCrash()
    {
        CrashRecords records;
        auto now = judgeUntilDue(records, crashTargets(records, {poison}, 3));
        now += Policy::firstQuarantine + Milliseconds(1000);
        Policy::judge(records, now);
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Free);
        now = judgeUntilDue(records, crashTargets(records, {poison}, 1, now));
        CPPUNIT_ASSERT(standing(records, poison, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(Policy::inForceUntil(records.quarantines_.at(poison)) - now
                       > Policy::firstQuarantine);
    }

    void updatesInAnyOrderLeadToTheSameQuarantines()
    {
        Support::assertProperty("the order of updates makes no difference", [] {
            // Three instances see a part each; one receives all parts in any order, some twice.
            std::vector<CrashRecords> seen(3);
            const int ends = *rc::gen::inRange(3, 12);
            for (int i = 0; i < ends; ++i) {
                auto &records = seen[static_cast<std::size_t>(*rc::gen::inRange(0, 3))];
                std::vector<RequestFingerprint> fingerprints = {poison};
                if (*rc::gen::inRange(0, 3) == 0)
                    fingerprints.push_back(innocent);
                Policy::noteEnded(records, incarnationKey(static_cast<std::uint64_t>(i + 1)),
                                  fingerprints, start + i * step);
            }
            const auto now = start + ends * step;
            const auto listen = [&](CrashRecords &records, std::vector<std::size_t> order) {
                for (const auto from : order)
                    Policy::takeIn(records, Policy::crashUpdateFrom(seen[from], now), now);
                Policy::noteAnswered(records, innocent, now);
                judgeUntilDue(records, now);
            };
            CrashRecords one;
            CrashRecords other;
            listen(one, {0, 1, 2});
            listen(other, {2, 0, 2, 1, 0});
            RC_ASSERT(one.runs_.size() == other.runs_.size());
            RC_ASSERT(one.quarantines_.contains(poison));
            RC_ASSERT(other.quarantines_.contains(poison));
            RC_ASSERT(!one.quarantines_.contains(innocent));
            // A repeated update changes nothing.
            RC_ASSERT(!Policy::takeIn(other, Policy::crashUpdateFrom(one, now), now));
        });
    }

    void lateInstanceReceivesQuarantines()
    {
        CrashRecords records;
        auto now
            = judgeUntilDue(records, crashTargets(records, {poison}, 3)) + Milliseconds(300000);
        CrashRecords fresh;
        CPPUNIT_ASSERT(Policy::takeIn(fresh, Policy::crashUpdateFrom(records, now), now));
        CPPUNIT_ASSERT(standing(fresh, poison, now) == RequestStanding::Quarantined);
        const auto left = Policy::inForceUntil(fresh.quarantines_.at(poison)) - now;
        CPPUNIT_ASSERT(left < Policy::firstQuarantine - Milliseconds(290000));
    }

    // Guards against memory use and messages that grow with callers' input.
    void recordsAndMessagesStaySmall()
    {
        CrashRecords records;
        auto now = start;
        std::uint64_t number = 0;
        for (int i = 0; i < 2000; ++i) {
            std::vector<RequestFingerprint> fingerprints;
            for (int j = 0; j < 200; ++j)
                fingerprints.push_back({++number, 1});
            Policy::noteEnded(records, incarnationKey(number), fingerprints, now);
            now += Milliseconds(10);
        }
        for (std::uint64_t i = 0; i < 1000; ++i) {
            Policy::CrashUpdate update;
            update.quarantines_.push_back({{i << 32U, 1}, 1, 0, Milliseconds(0)});
            Policy::takeIn(records, update, now);
        }
        Policy::judge(records, now);
        CPPUNIT_ASSERT(records.runs_.size() <= Policy::maxCrashedIncarnations);
        for (const auto &[key, ended] : records.runs_)
            CPPUNIT_ASSERT(ended.suspects_.size() <= Policy::maxSuspectsPerCrash);
        CPPUNIT_ASSERT(records.quarantines_.size() <= Policy::maxQuarantines);
        const auto update = Policy::crashUpdateFrom(records, now);
        CPPUNIT_ASSERT(update.runs_.size() <= Policy::maxCrashesInUpdate);
        CPPUNIT_ASSERT(update.quarantines_.size() <= Policy::maxQuarantinesInUpdate);
        CPPUNIT_ASSERT(Policy::viewOf(records, now).prefixes_.size()
                       <= Policy::maxCrashedIncarnations * Policy::maxSuspectsPerCrash
                              + Policy::maxQuarantines);
    }

    // Guards against a quarantine that reaches some instances of a large fleet too late.
    void quarantineReachesALargeFleetInTime()
    {
        for (const std::size_t perDomain : {std::size_t(2), std::size_t(33)}) {
            Simulated::Fleet fleet(perDomain);
            fleet.playRounds(30);
            fleet.crashRecordsSent_ = 0;
            // Three crashes, each seen by an instance in another region.
            const auto at = fleet.now_;
            for (std::size_t i = 0; i < 3; ++i) {
                auto &node = fleet.nodes_[i * fleet.nodes_.size() / 3];
                Policy::noteEnded(node.crashes_, incarnationKey(i + 1), {poison},
                                  at - Milliseconds(600) + i * step);
            }
            int rounds = 0;
            const auto isKnown = [&] {
                return std::all_of(fleet.nodes_.begin(), fleet.nodes_.end(), [&](const auto &node) {
                    return standing(node.crashes_, poison, fleet.now_) >= RequestStanding::Pending;
                });
            };
            while (!isKnown() && rounds < 20) {
                fleet.playRounds(1);
                ++rounds;
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(rounds) + " rounds", rounds <= 9);
            // Updates that have reached all instances are no longer sent.
            fleet.playRounds(40);
            const auto before = fleet.crashRecordsSent_;
            const auto exchanges = fleet.exchanges_;
            fleet.playRounds(10);
            CPPUNIT_ASSERT_EQUAL(2 * (fleet.exchanges_ - exchanges),
                                 fleet.crashRecordsSent_ - before);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestCrashEvidence);
