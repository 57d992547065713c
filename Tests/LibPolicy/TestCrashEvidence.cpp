#include "SimulatedFleet.h"

#include <Support/Property.h>
#include <algorithm>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;
using Policy::CrashBook;
using Policy::RequestPrint;
using Policy::RequestStanding;
using Policy::RunKey;

const SteadyTime start{std::chrono::hours(30)};
constexpr RequestPrint culprit{0xC000000000000001, 7};
constexpr RequestPrint innocent{0xA000000000000001, 8};
constexpr Milliseconds step{250};

RunKey run(std::uint64_t number)
{
    return RunKey(number);
}

/// Crashes \a count targets that process \a prints, the first at \a from, the others a step apart.
/// Returns when the last one crashed.
SteadyTime endUnder(CrashBook &book, const std::vector<RequestPrint> &prints, int count,
                    SteadyTime from = start)
{
    static std::uint64_t number = 1000;
    for (int i = 0; i < count; ++i)
        Policy::noteEnded(book, run(++number), prints, from + i * step);
    return from + (count - 1) * step;
}

/// Judges as an instance does, every tick, from \a from until a quarantine decision is due.
SteadyTime settle(CrashBook &book, SteadyTime from)
{
    auto now = from;
    for (; now <= from + Policy::settleTime + Milliseconds(100); now += Milliseconds(100))
        Policy::judge(book, now);
    return now;
}

RequestStanding standing(const CrashBook &book, const RequestPrint &print, SteadyTime now)
{
    return Policy::standingOf(Policy::viewOf(book, now), print, now).standing_;
}

class TestCrashEvidence : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCrashEvidence);
    CPPUNIT_TEST(printIsTheSameForARepeatAndForNothingElse);
    CPPUNIT_TEST(requestIsHeldAtItsThirdEndAndQuarantinedSoonAfter);
    CPPUNIT_TEST(suspectIsTriedAloneAfterTwoEnds);
    CPPUNIT_TEST(bystanderOfEveryEndGoesFreeWhenTheCulpritEndsOthers);
    CPPUNIT_TEST(bystanderSentencedTooEarlyIsFreedByOthersWord);
    CPPUNIT_TEST(targetsThatEndTogetherAccuseNobody);
    CPPUNIT_TEST(answeredRequestIsCleared);
    CPPUNIT_TEST(answerLiftsAQuarantine);
    CPPUNIT_TEST(sameRequestOfManyCallersIsFound);
    CPPUNIT_TEST(otherCallersAreServedWhereOnlyOneIsGuilty);
    CPPUNIT_TEST(twoCulpritsAtOnceAreBothFound);
    CPPUNIT_TEST(liftedQuarantineStaysLifted);
    CPPUNIT_TEST(lapsedQuarantineIsRenewedByOneEnd);
    CPPUNIT_TEST(newsInAnyOrderLeadsToTheSameVerdicts);
    CPPUNIT_TEST(whoStartsLateHearsOfQuarantines);
    CPPUNIT_TEST(bookAndMessagesStaySmall);
    CPPUNIT_TEST(verdictReachesALargeFleetInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    void printIsTheSameForARepeatAndForNothingElse()
    {
        const Policy::RequestText text{"POST", "h", "/a/b?c", "body", "pilot"};
        const auto print = Policy::printOf(text);
        CPPUNIT_ASSERT(print == Policy::printOf(text));
        CPPUNIT_ASSERT(Policy::headOf(print) == Policy::headOf(text));
        const std::vector<Policy::RequestText> others = {{"GET", "h", "/a/b?c", "body", "pilot"},
                                                         {"POST", "g", "/a/b?c", "body", "pilot"},
                                                         {"POST", "h", "/a/b?d", "body", "pilot"},
                                                         {"POST", "h", "/a/b?c", "bodi", "pilot"},
                                                         {"POST", "h", "/a/b?c", "body", "pilots"}};
        for (const auto &other : others)
            CPPUNIT_ASSERT(print != Policy::printOf(other));
        CPPUNIT_ASSERT(print.request_ == Policy::printOf(others.back()).request_);
        CPPUNIT_ASSERT(Policy::printFromText(toText(print)) == print);
        for (const auto *bad : {"", "12", "0123456789abcdef_01234567", "0123456789abcdef-0123456x"})
            CPPUNIT_ASSERT(!Policy::printFromText(bad));
    }

    // Guards against sending on a request that crashes targets while its quarantine is pending.
    void requestIsHeldAtItsThirdEndAndQuarantinedSoonAfter()
    {
        CrashBook book;
        const auto third = endUnder(book, {culprit}, 3);
        Policy::judge(book, third);
        CPPUNIT_ASSERT(standing(book, culprit, third) == RequestStanding::Pending);
        const auto now = settle(book, third);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(standing(book, innocent, now) == RequestStanding::Free);
    }

    void suspectIsTriedAloneAfterTwoEnds()
    {
        CrashBook book;
        auto now = endUnder(book, {culprit, innocent}, 1);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Free);
        now = endUnder(book, {culprit}, 1, now + step);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Trial);
        CPPUNIT_ASSERT(standing(book, innocent, now) == RequestStanding::Free);
    }

    // Guards against quarantining a request that was always in progress beside the poison request.
    void bystanderOfEveryEndGoesFreeWhenTheCulpritEndsOthers()
    {
        CrashBook book;
        auto now = endUnder(book, {culprit, innocent}, 4);
        now = settle(book, now);
        CPPUNIT_ASSERT(book.quarantines_.empty());
        now = endUnder(book, {culprit}, 2, now);
        now = settle(book, now);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(!book.quarantines_.contains(innocent));
        CPPUNIT_ASSERT(!book.pending_.contains(innocent));
    }

    // Guards against a quarantine that rests on a part of the fleet's evidence.
    void bystanderSentencedTooEarlyIsFreedByOthersWord()
    {
        CrashBook book;
        std::vector<RunKey> runs;
        for (std::uint64_t i = 1; i <= 3; ++i) {
            runs.push_back(run(i));
            Policy::noteEnded(book, runs.back(), {innocent}, start + i * step);
        }
        auto now = settle(book, start + 3 * step);
        CPPUNIT_ASSERT(standing(book, innocent, now) == RequestStanding::Quarantined);
        // Other instances report what else was in progress, and further crashes.
        for (const auto &key : runs)
            Policy::noteEnded(book, key, {culprit}, now);
        now = endUnder(book, {culprit}, 3, now);
        now = settle(book, now);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(standing(book, innocent, now) != RequestStanding::Quarantined);
    }

    // Guards against quarantining a common request because targets were killed or lost power.
    void targetsThatEndTogetherAccuseNobody()
    {
        CrashBook book;
        for (std::uint64_t i = 1; i <= 20; ++i) {
            const RequestPrint other{0xB000000000000000 + i, 9};
            Policy::noteEnded(book, run(i), {innocent, other}, start + Milliseconds(i));
        }
        const auto now = settle(book, start + Milliseconds(20));
        CPPUNIT_ASSERT(book.quarantines_.empty());
        CPPUNIT_ASSERT(standing(book, innocent, now) == RequestStanding::Free);
    }

    void answeredRequestIsCleared()
    {
        CrashBook book;
        auto now = endUnder(book, {innocent}, 2);
        CPPUNIT_ASSERT(!Policy::noteAnswered(book, innocent, now));
        CPPUNIT_ASSERT(standing(book, innocent, now) == RequestStanding::Free);
        now = endUnder(book, {innocent}, 2, now + step);
        settle(book, now);
        CPPUNIT_ASSERT(book.quarantines_.empty());
    }

    void answerLiftsAQuarantine()
    {
        CrashBook book;
        auto now = settle(book, endUnder(book, {innocent}, 3));
        CPPUNIT_ASSERT(standing(book, innocent, now) == RequestStanding::Quarantined);
        // It was in progress at another target throughout.
        CPPUNIT_ASSERT(Policy::noteAnswered(book, innocent, now));
        now = settle(book, now);
        CPPUNIT_ASSERT(standing(book, innocent, now) == RequestStanding::Free);
    }

    // Guards against missing a request that crashes targets regardless of its caller, and comes
    // from another caller each time.
    void sameRequestOfManyCallersIsFound()
    {
        CrashBook book;
        auto now = start;
        for (std::uint32_t caller = 1; caller <= 3; ++caller)
            now = endUnder(book, {{culprit.request_, caller}}, 1, now + step);
        now = settle(book, now);
        const RequestPrint fourth{culprit.request_, 4};
        CPPUNIT_ASSERT(standing(book, fourth, now) == RequestStanding::Quarantined);
    }

    // Guards against refusing all callers a request that crashes targets for one caller only.
    void otherCallersAreServedWhereOnlyOneIsGuilty()
    {
        CrashBook book;
        const RequestPrint other{culprit.request_, culprit.caller_ + 1};
        auto now = endUnder(book, {culprit, other}, 1);
        now = endUnder(book, {culprit}, 3, now + step);
        Policy::noteAnswered(book, other, now);
        now = settle(book, now);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(standing(book, other, now) == RequestStanding::Free);
        // Its answers do not release the poison request.
        Policy::noteAnswered(book, other, now);
        now = settle(book, now);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Quarantined);
    }

    void twoCulpritsAtOnceAreBothFound()
    {
        CrashBook book;
        const RequestPrint second{0xD000000000000001, 5};
        auto now = start;
        for (int i = 0; i < 4; ++i) {
            endUnder(book, {culprit, innocent}, 1, now);
            endUnder(book, {second}, 1, now + Milliseconds(30));
            now += step;
        }
        Policy::noteAnswered(book, innocent, now);
        now = settle(book, now);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(standing(book, second, now) == RequestStanding::Quarantined);
        // Two that are always in progress together are found too, but later.
        CrashBook shared;
        now = settle(shared, endUnder(shared, {culprit, second}, 8));
        CPPUNIT_ASSERT(standing(shared, culprit, now) == RequestStanding::Quarantined);
    }

    // Guards against peers that restore a quarantine that an operator released.
    void liftedQuarantineStaysLifted()
    {
        CrashBook book;
        auto now = settle(book, endUnder(book, {culprit}, 3));
        CrashBook peer;
        Policy::takeIn(peer, Policy::newsOf(book, now), now);
        CPPUNIT_ASSERT(Policy::liftQuarantine(book, culprit, now));
        CPPUNIT_ASSERT(!Policy::liftQuarantine(book, culprit, now));
        Policy::takeIn(book, Policy::newsOf(peer, now), now);
        Policy::takeIn(peer, Policy::newsOf(book, now), now);
        now = settle(book, now);
        settle(peer, now);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Free);
        CPPUNIT_ASSERT(standing(peer, culprit, now) == RequestStanding::Free);
        // Three further crashes lead to another quarantine, for twice as long.
        now = settle(book, endUnder(book, {culprit}, 3, now));
        const auto left = Policy::inForceUntil(book.quarantines_.at(culprit)) - now;
        CPPUNIT_ASSERT(left > Policy::firstQuarantine);
        Policy::takeIn(peer, Policy::newsOf(book, now), now);
        CPPUNIT_ASSERT(standing(peer, culprit, now) == RequestStanding::Quarantined);
    }

    void lapsedQuarantineIsRenewedByOneEnd()
    {
        CrashBook book;
        auto now = settle(book, endUnder(book, {culprit}, 3));
        now += Policy::firstQuarantine + Milliseconds(1000);
        Policy::judge(book, now);
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Free);
        now = settle(book, endUnder(book, {culprit}, 1, now));
        CPPUNIT_ASSERT(standing(book, culprit, now) == RequestStanding::Quarantined);
        CPPUNIT_ASSERT(Policy::inForceUntil(book.quarantines_.at(culprit)) - now
                       > Policy::firstQuarantine);
    }

    void newsInAnyOrderLeadsToTheSameVerdicts()
    {
        Support::assertProperty("the order of updates makes no difference", [] {
            // Three instances see a part each; one receives all parts in any order, some twice.
            std::vector<CrashBook> seen(3);
            const int ends = *rc::gen::inRange(3, 12);
            for (int i = 0; i < ends; ++i) {
                auto &book = seen[static_cast<std::size_t>(*rc::gen::inRange(0, 3))];
                std::vector<RequestPrint> prints = {culprit};
                if (*rc::gen::inRange(0, 3) == 0)
                    prints.push_back(innocent);
                Policy::noteEnded(book, run(static_cast<std::uint64_t>(i + 1)), prints,
                                  start + i * step);
            }
            const auto now = start + ends * step;
            const auto listen = [&](CrashBook &book, std::vector<std::size_t> order) {
                for (const auto from : order)
                    Policy::takeIn(book, Policy::newsOf(seen[from], now), now);
                Policy::noteAnswered(book, innocent, now);
                settle(book, now);
            };
            CrashBook one;
            CrashBook other;
            listen(one, {0, 1, 2});
            listen(other, {2, 0, 2, 1, 0});
            RC_ASSERT(one.runs_.size() == other.runs_.size());
            RC_ASSERT(one.quarantines_.contains(culprit));
            RC_ASSERT(other.quarantines_.contains(culprit));
            RC_ASSERT(!one.quarantines_.contains(innocent));
            // A repeated update changes nothing.
            RC_ASSERT(!Policy::takeIn(other, Policy::newsOf(one, now), now));
        });
    }

    void whoStartsLateHearsOfQuarantines()
    {
        CrashBook book;
        auto now = settle(book, endUnder(book, {culprit}, 3)) + Milliseconds(300000);
        CrashBook fresh;
        CPPUNIT_ASSERT(Policy::takeIn(fresh, Policy::newsOf(book, now), now));
        CPPUNIT_ASSERT(standing(fresh, culprit, now) == RequestStanding::Quarantined);
        const auto left = Policy::inForceUntil(fresh.quarantines_.at(culprit)) - now;
        CPPUNIT_ASSERT(left < Policy::firstQuarantine - Milliseconds(290000));
    }

    // Guards against memory use and messages that grow with callers' input.
    void bookAndMessagesStaySmall()
    {
        CrashBook book;
        auto now = start;
        std::uint64_t number = 0;
        for (int i = 0; i < 2000; ++i) {
            std::vector<RequestPrint> prints;
            for (int j = 0; j < 200; ++j)
                prints.push_back({++number, 1});
            Policy::noteEnded(book, run(number), prints, now);
            now += Milliseconds(10);
        }
        for (std::uint64_t i = 0; i < 1000; ++i) {
            Policy::CrashNews news;
            news.quarantines_.push_back({{i << 32U, 1}, 1, 0, Milliseconds(0)});
            Policy::takeIn(book, news, now);
        }
        Policy::judge(book, now);
        CPPUNIT_ASSERT(book.runs_.size() <= Policy::mostRuns);
        for (const auto &[key, ended] : book.runs_)
            CPPUNIT_ASSERT(ended.suspects_.size() <= Policy::mostSuspects);
        CPPUNIT_ASSERT(book.quarantines_.size() <= Policy::mostQuarantines);
        const auto news = Policy::newsOf(book, now);
        CPPUNIT_ASSERT(news.runs_.size() <= Policy::mostRunsTold);
        CPPUNIT_ASSERT(news.quarantines_.size() <= Policy::mostQuarantinesTold);
        CPPUNIT_ASSERT(Policy::viewOf(book, now).heads_.size()
                       <= Policy::mostRuns * Policy::mostSuspects + Policy::mostQuarantines);
    }

    // Guards against a quarantine that reaches some instances of a large fleet too late.
    void verdictReachesALargeFleetInTime()
    {
        for (const std::size_t perDomain : {std::size_t(2), std::size_t(33)}) {
            Simulated::Fleet fleet(perDomain);
            fleet.playRounds(30);
            fleet.crashesTold_ = 0;
            // Three crashes, each seen by an instance in another region.
            const auto at = fleet.now_;
            for (std::size_t i = 0; i < 3; ++i) {
                auto &node = fleet.nodes_[i * fleet.nodes_.size() / 3];
                Policy::noteEnded(node.crashes_, run(i + 1), {culprit},
                                  at - Milliseconds(600) + i * step);
            }
            int rounds = 0;
            const auto isKnown = [&] {
                return std::all_of(fleet.nodes_.begin(), fleet.nodes_.end(), [&](const auto &node) {
                    return standing(node.crashes_, culprit, fleet.now_) >= RequestStanding::Pending;
                });
            };
            while (!isKnown() && rounds < 20) {
                fleet.playRounds(1);
                ++rounds;
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(rounds) + " rounds", rounds <= 9);
            // Updates that have reached all instances are no longer sent.
            fleet.playRounds(40);
            const auto before = fleet.crashesTold_;
            const auto exchanges = fleet.exchanges_;
            fleet.playRounds(10);
            CPPUNIT_ASSERT_EQUAL(2 * (fleet.exchanges_ - exchanges), fleet.crashesTold_ - before);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestCrashEvidence);
