#include "QueueFleet.h"

#include <Support/Property.h>

#include <chrono>
#include <iostream>
#include <numeric>

namespace {

using Fakes::FleetModel;
using Fakes::FleetResult;
using Fakes::Waiting;
using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;
using Policy::QueueVerdict;

constexpr SteadyTime start{std::chrono::hours(1)};
constexpr Milliseconds loadStart{0};
constexpr Milliseconds loadEnd{20000};
/// Compared with one common queue.
constexpr double maxTailRatio = 2;
constexpr double minGoodputRatio = 0.95;

Policy::WaitingRequest item(Policy::WaiterId id, int rank, const std::string &workspace,
                            Milliseconds goalStart = Milliseconds(1000),
                            Milliseconds deadlineStart = Milliseconds(3000))
{
    Policy::WaitingRequest request;
    request.id_ = id;
    request.rank_ = rank;
    request.workspace_ = Model::WorkspaceId(workspace);
    request.goalStart_ = start + goalStart;
    request.deadlineStart_ = start + deadlineStart;
    return request;
}

Policy::QueueLimits boundOf(std::size_t bound)
{
    return {bound, 0, 0};
}

Policy::WaiterId takeNext(Policy::WaitingQueue &queue)
{
    const auto id = Policy::next(queue);
    CPPUNIT_ASSERT(id);
    CPPUNIT_ASSERT(Policy::take(queue, *id));
    return *id;
}

void add(std::vector<Fakes::Arrival> &all, const std::vector<Fakes::Arrival> &more)
{
    all.insert(all.end(), more.begin(), more.end());
}

/// Returns requests of the ranks 0 to 2 in equal parts from four workspaces.
std::vector<Fakes::Arrival> mixedLoad(const FleetModel &model, double load, std::uint64_t seed)
{
    std::vector<Fakes::Arrival> arrivals;
    for (int i = 0; i < 12; ++i) {
        add(arrivals, Fakes::poisson(load * model.capacity() / 12, loadStart, loadEnd, i % 3, i / 3,
                                     seed * 100 + static_cast<std::uint64_t>(i)));
    }
    return arrivals;
}

template <typename Filter>
double goodputOf(const FleetModel &model, const FleetResult &result, Filter isCounted)
{
    double all = 0;
    double good = 0;
    for (const auto &request : result.requests_) {
        if (!isCounted(request.arrival_))
            continue;
        all += 1;
        good += request.isAnswered_ && request.took_ <= model.goal_ ? 1 : 0;
    }
    return good / all;
}

double goodputOf(const FleetModel &model, const FleetResult &result)
{
    return goodputOf(model, result, [](const auto &) {
        return true;
    });
}

/// Returns the response time that 99 of 100 arrivals do not exceed. A refused one has none and
/// counts as the longest.
Microseconds tailOf(const FleetResult &result)
{
    std::vector<Microseconds> times;
    for (const auto &request : result.requests_)
        times.push_back(request.isAnswered_ ? request.took_ : Microseconds::max());
    const auto rank = times.begin() + static_cast<std::ptrdiff_t>(times.size() * 99 / 100);
    std::nth_element(times.begin(), rank, times.end());
    return *rank;
}

void assertTruth(const FleetResult &result)
{
    for (const auto &request : result.requests_) {
        CPPUNIT_ASSERT(request.isAnswered_ != request.isRefused_);
        CPPUNIT_ASSERT(!(request.isRefused_ && request.wasSent_));
    }
    const double empty = Model::inSeconds(result.emptyAt_ - loadEnd);
    CPPUNIT_ASSERT_MESSAGE("empty after " + std::to_string(empty) + " s", empty <= 2);
}

class TestWaitingQueue : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWaitingQueue);
    CPPUNIT_TEST(moreUrgentRankStartsFirst);
    CPPUNIT_TEST(leastServedWorkspaceStartsFirst);
    CPPUNIT_TEST(workspacesShareByWeight);
    CPPUNIT_TEST(workspaceGainsNothingByLeavingTheQueue);
    CPPUNIT_TEST(timeLeftOrdersTheRequestsOfAWorkspace);
    CPPUNIT_TEST(requestThatCannotStartInTimeIsRefusedAtOnce);
    CPPUNIT_TEST(lateRequestWaitsUntilItsDeadline);
    CPPUNIT_TEST(fullQueueDisplacesTheLeastUrgentOfTheLargestBacklog);
    CPPUNIT_TEST(reservedPlacesAreNotGiven);
    CPPUNIT_TEST(longestWaitFollowsTheTimeLeft);
    CPPUNIT_TEST(nextRequestsAreInTheOrderOfTaking);
    CPPUNIT_TEST(everyRequestLeavesOnce);
    CPPUNIT_TEST(tailIsAtMostTwiceThatOfACommonQueue);
    CPPUNIT_TEST(goodputIsThatOfACommonQueue);
    CPPUNIT_TEST(ranksAreServedInOrderUnderOverload);
    CPPUNIT_TEST(floodOfOneWorkspaceIsNotNoticedByOthers);
    CPPUNIT_TEST(burstInWhichEverybodyReturns);
    CPPUNIT_TEST(decisionTakesUnderTwentyMicroseconds);
    CPPUNIT_TEST_SUITE_END();

public:
    // A first-in, first-out queue keeps an urgent request behind less urgent ones.
    void moreUrgentRankStartsFirst()
    {
        Policy::WaitingQueue queue;
        for (Policy::WaiterId id = 1; id <= 30; ++id)
            Policy::enqueue(queue, item(id, id % 2 ? 2 : 1, "w"), boundOf(100), start);
        Policy::enqueue(queue, item(99, 0, "w"), boundOf(100), start);
        CPPUNIT_ASSERT_EQUAL(Policy::WaiterId(99), takeNext(queue));
        for (int i = 0; i < 15; ++i)
            CPPUNIT_ASSERT(takeNext(queue) % 2 == 0);
    }

    // One workspace that sends ten times as much must not keep the others waiting.
    void leastServedWorkspaceStartsFirst()
    {
        Policy::WaitingQueue queue;
        for (Policy::WaiterId id = 1; id <= 100; ++id)
            Policy::enqueue(queue, item(id, 0, "large"), boundOf(200), start);
        for (int i = 0; i < 10; ++i)
            takeNext(queue);
        for (Policy::WaiterId id = 201; id <= 210; ++id)
            Policy::enqueue(queue, item(id, 0, "small"), boundOf(200), start);
        int small = 0;
        for (int i = 0; i < 20; ++i)
            small += takeNext(queue) > 200 ? 1 : 0;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(small), small >= 9);
    }

    void workspacesShareByWeight()
    {
        Policy::WaitingQueue queue;
        for (Policy::WaiterId id = 1; id <= 400; ++id) {
            auto request = item(id, 0, id % 2 ? "three" : "one");
            request.shareWeight_ = id % 2 ? 3 : 1;
            Policy::enqueue(queue, request, boundOf(1000), start);
        }
        int three = 0;
        for (int i = 0; i < 200; ++i)
            three += takeNext(queue) % 2 ? 1 : 0;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(three), three >= 149 && three <= 151);
    }

    // A workspace whose requests wait one at a time would be served first each time if what it has
    // received were forgotten with its last waiting request.
    void workspaceGainsNothingByLeavingTheQueue()
    {
        Policy::WaitingQueue queue;
        for (Policy::WaiterId id = 1; id <= 100; ++id)
            Policy::enqueue(queue, item(id, 0, "steady"), boundOf(200), start);
        int single = 0;
        for (Policy::WaiterId id = 1001; id <= 1060; ++id) {
            Policy::remove(queue, id - 1);
            Policy::enqueue(queue, item(id, 0, "alternating"), boundOf(200), start);
            single += takeNext(queue) > 1000 ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(single), single >= 28 && single <= 32);
    }

    void timeLeftOrdersTheRequestsOfAWorkspace()
    {
        Policy::WaitingQueue queue;
        Policy::enqueue(queue, item(1, 0, "w", Milliseconds(900)), boundOf(9), start);
        Policy::enqueue(queue, item(2, 0, "w", Milliseconds(200)), boundOf(9), start);
        Policy::enqueue(queue, item(3, 0, "w", Milliseconds(900), Milliseconds(950)), boundOf(9),
                        start);
        CPPUNIT_ASSERT_EQUAL(Policy::WaiterId(2), takeNext(queue));
        CPPUNIT_ASSERT_EQUAL(Policy::WaiterId(3), takeNext(queue));
        CPPUNIT_ASSERT_EQUAL(Policy::WaiterId(1), takeNext(queue));
    }

    // A request that waits in vain loses the time that its caller needs for a second try.
    void requestThatCannotStartInTimeIsRefusedAtOnce()
    {
        Policy::WaitingQueue queue;
        const auto past = item(1, 0, "w", Milliseconds(-10), Milliseconds(-1));
        CPPUNIT_ASSERT(Policy::enqueue(queue, past, boundOf(9), start).verdict_
                       == QueueVerdict::TooLate);
        for (Policy::WaiterId id = 1; id <= 50; ++id)
            Policy::enqueue(queue, item(id, 1, "w"), boundOf(100), start);
        Policy::QueueLimits limits = boundOf(100);
        limits.drainPerSecond_ = 40;
        CPPUNIT_ASSERT(Policy::enqueue(queue, item(51, 1, "w"), limits, start).verdict_
                       == QueueVerdict::TooLate);
        CPPUNIT_ASSERT(Policy::enqueue(queue, item(52, 1, "other"), limits, start).verdict_
                       == QueueVerdict::Waits);
        CPPUNIT_ASSERT(Policy::enqueue(queue, item(53, 0, "w"), limits, start).verdict_
                       == QueueVerdict::Waits);
    }

    void lateRequestWaitsUntilItsDeadline()
    {
        Policy::WaitingQueue queue;
        Policy::enqueue(queue, item(1, 0, "w", Milliseconds(-10), Milliseconds(400)), boundOf(9),
                        start);
        Policy::enqueue(queue, item(2, 0, "w", Milliseconds(100), Milliseconds(400)), boundOf(9),
                        start);
        CPPUNIT_ASSERT(!Policy::takeExpired(queue, start + Milliseconds(99)));
        CPPUNIT_ASSERT(Policy::takeExpired(queue, start + Milliseconds(100)) == 2);
        CPPUNIT_ASSERT(!Policy::takeExpired(queue, start + Milliseconds(399)));
        CPPUNIT_ASSERT(Policy::takeExpired(queue, start + Milliseconds(400)) == 1);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), Policy::size(queue));
    }

    // The queue would otherwise stay full of requests that arrived first, however little urgent.
    void fullQueueDisplacesTheLeastUrgentOfTheLargestBacklog()
    {
        Policy::WaitingQueue queue;
        for (Policy::WaiterId id = 1; id <= 6; ++id)
            Policy::enqueue(queue, item(id, 2, id <= 4 ? "large" : "small"), boundOf(8), start);
        Policy::enqueue(queue, item(7, 1, "huge"), boundOf(8), start);
        Policy::enqueue(queue, item(8, 1, "huge"), boundOf(8), start);
        const auto urgent = Policy::enqueue(queue, item(9, 0, "w"), boundOf(8), start);
        CPPUNIT_ASSERT(urgent.displaced_ == 4);
        CPPUNIT_ASSERT(Policy::enqueue(queue, item(10, 2, "large"), boundOf(8), start).verdict_
                       == QueueVerdict::Full);
        CPPUNIT_ASSERT(Policy::enqueue(queue, item(11, 3, "new"), boundOf(8), start).verdict_
                       == QueueVerdict::Full);
        // Of the same rank, a workspace below the largest backlog goes first.
        const auto fair = Policy::enqueue(queue, item(12, 2, "new"), boundOf(8), start);
        CPPUNIT_ASSERT(fair.displaced_ == 3);
        CPPUNIT_ASSERT_EQUAL(std::size_t(8), Policy::size(queue));
    }

    void reservedPlacesAreNotGiven()
    {
        Policy::WaitingQueue queue;
        for (Policy::WaiterId id = 1; id <= 6; ++id)
            Policy::enqueue(queue, item(id, 0, "w"), boundOf(8), start);
        Policy::QueueLimits limits = boundOf(8);
        limits.reserved_ = 2;
        CPPUNIT_ASSERT(Policy::enqueue(queue, item(7, 0, "w"), limits, start).verdict_
                       == QueueVerdict::Full);
        limits.reserved_ = 1;
        CPPUNIT_ASSERT(Policy::enqueue(queue, item(7, 0, "w"), limits, start).verdict_
                       == QueueVerdict::Waits);
    }

    void longestWaitFollowsTheTimeLeft()
    {
        const Milliseconds goal(1000);
        CPPUNIT_ASSERT(Policy::longestWait(goal, Milliseconds(100)) == Milliseconds(125));
        CPPUNIT_ASSERT(Policy::longestWait(goal, Milliseconds(1000)) == Milliseconds(250));
        CPPUNIT_ASSERT(Policy::longestWait(goal, Milliseconds(9000)) == Milliseconds(500));
    }

    // Requests that are woken together would be placed in another order than one at a time.
    void nextRequestsAreInTheOrderOfTaking()
    {
        Support::assertProperty("order of taking", [] {
            Policy::WaitingQueue queue;
            const auto count = *rc::gen::inRange<Policy::WaiterId>(1, 40);
            for (Policy::WaiterId id = 1; id <= count; ++id) {
                auto request
                    = item(id, *rc::gen::inRange(0, 3), std::to_string(*rc::gen::inRange(0, 4)),
                           Milliseconds(*rc::gen::inRange(1, 1000)));
                request.shareWeight_ = *rc::gen::inRange(1, 4);
                Policy::enqueue(queue, request, boundOf(100), start);
            }
            for (const auto id : Policy::nextRequests(queue, 12)) {
                RC_ASSERT(Policy::next(queue) == id);
                RC_ASSERT(Policy::take(queue, id));
            }
        });
    }

    // A request that left twice would be both sent and refused, which breaks the promise of 503.
    void everyRequestLeavesOnce()
    {
        Support::assertProperty("each request leaves once", [] {
            Policy::WaitingQueue queue;
            std::set<Policy::WaiterId> inside;
            const auto leaves = [&](Policy::WaiterId id) {
                RC_ASSERT(inside.erase(id) == 1);
            };
            SteadyTime now = start;
            const auto steps = *rc::gen::inRange(1, 120);
            for (int step = 0; step < steps; ++step) {
                const auto kind = *rc::gen::inRange(0, 6);
                if (kind < 3) {
                    const auto id = static_cast<Policy::WaiterId>(step + 1);
                    const auto goal = *rc::gen::inRange(-50, 500);
                    auto request
                        = item(id, *rc::gen::inRange(0, 3), std::to_string(*rc::gen::inRange(0, 4)),
                               Milliseconds(goal), Milliseconds(goal + 100));
                    request.shareWeight_ = *rc::gen::inRange(1, 4);
                    const auto result = Policy::enqueue(queue, request, boundOf(10), now);
                    if (result.verdict_ == QueueVerdict::Waits)
                        inside.insert(id);
                    if (result.displaced_)
                        leaves(*result.displaced_);
                } else if (kind == 3) {
                    if (const auto id = Policy::next(queue)) {
                        RC_ASSERT(Policy::take(queue, *id));
                        leaves(*id);
                    }
                } else if (kind == 4) {
                    now += Milliseconds(*rc::gen::inRange(0, 100));
                    while (const auto id = Policy::takeExpired(queue, now))
                        leaves(*id);
                } else if (!inside.empty()) {
                    const auto id = *inside.begin();
                    RC_ASSERT(Policy::remove(queue, id));
                    RC_ASSERT(!Policy::remove(queue, id));
                    leaves(id);
                }
                RC_ASSERT(Policy::size(queue) == inside.size());
                RC_ASSERT(Policy::size(queue) <= 10U);
            }
            while (const auto id = Policy::next(queue)) {
                RC_ASSERT(Policy::take(queue, *id));
                leaves(*id);
            }
            RC_ASSERT(inside.empty());
        });
    }

    // Waiting at the instances leaves slots idle while another instance has requests waiting.
    void tailIsAtMostTwiceThatOfACommonQueue()
    {
        const FleetModel model;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto arrivals = mixedLoad(model, 0.85, seed);
            const auto own = Fakes::simulate(model, Waiting::AtInstances, arrivals, seed);
            const auto common = Fakes::simulate(model, Waiting::Common, arrivals, seed);
            assertTruth(own);
            const double ratio = Model::inSeconds(tailOf(own)) / Model::inSeconds(tailOf(common));
            std::cout << "p99 at 85%: " << Model::inSeconds(tailOf(own)) << " s, ratio " << ratio
                      << "\n";
            CPPUNIT_ASSERT_MESSAGE(std::to_string(ratio), ratio <= maxTailRatio);
        }
    }

    void goodputIsThatOfACommonQueue()
    {
        const FleetModel model;
        for (std::uint64_t seed = 1; seed <= 3; ++seed) {
            const auto arrivals = mixedLoad(model, 2, seed);
            const auto own = Fakes::simulate(model, Waiting::AtInstances, arrivals, seed);
            const auto common = Fakes::simulate(model, Waiting::Common, arrivals, seed);
            assertTruth(own);
            const double ratio = goodputOf(model, own) / goodputOf(model, common);
            std::cout << "goodput at twice the capacity: " << goodputOf(model, own) << ", ratio "
                      << ratio << "\n";
            CPPUNIT_ASSERT_MESSAGE(std::to_string(ratio), ratio >= minGoodputRatio);
            CPPUNIT_ASSERT(goodputOf(model, own) * 2 >= minGoodputRatio);
        }
    }

    // Under overload, a first-in, first-out queue refuses all ranks alike.
    void ranksAreServedInOrderUnderOverload()
    {
        const FleetModel model;
        for (const double load : {1.3, 4.0}) {
            const auto result
                = Fakes::simulate(model, Waiting::AtInstances, mixedLoad(model, load, 1), 1);
            assertTruth(result);
            std::vector<double> served;
            for (int rank = 0; rank < 3; ++rank) {
                served.push_back(goodputOf(model, result, [rank](const auto &arrival) {
                    return arrival.rank_ == rank;
                }));
            }
            std::cout << "goodput by rank at " << load << ": " << served[0] << " " << served[1]
                      << " " << served[2] << "\n";
            // What the rank can get if it is served before all others.
            CPPUNIT_ASSERT_MESSAGE(std::to_string(served[0]),
                                   served[0] >= minGoodputRatio * std::min(1.0, 3 / load));
            CPPUNIT_ASSERT(served[0] >= served[1] && served[1] >= served[2]);
            const double all = goodputOf(model, result) * load;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(all), all >= minGoodputRatio);
        }
    }

    // Ten times the usual load of one workspace, at 1.52 times the capacity in all.
    void floodOfOneWorkspaceIsNotNoticedByOthers()
    {
        const FleetModel model;
        std::vector<Fakes::Arrival> arrivals;
        for (int workspace = 0; workspace < 10; ++workspace) {
            const double usual = 0.08 * model.capacity();
            add(arrivals, Fakes::poisson(workspace == 0 ? 10 * usual : usual, loadStart, loadEnd, 0,
                                         workspace, static_cast<std::uint64_t>(workspace + 1)));
        }
        const auto result = Fakes::simulate(model, Waiting::AtInstances, arrivals, 1);
        assertTruth(result);
        const double others = goodputOf(model, result, [](const auto &arrival) {
            return arrival.workspace_ != 0;
        });
        const double flooding = goodputOf(model, result, [](const auto &arrival) {
            return arrival.workspace_ == 0;
        });
        std::cout << "goodput beside a flood: " << others << ", of the flood: " << flooding << "\n";
        CPPUNIT_ASSERT_MESSAGE(std::to_string(others), others >= 0.99);
        // What the others leave free of the slots.
        CPPUNIT_ASSERT_MESSAGE(std::to_string(flooding), flooding >= 0.9 * (1 - 0.72) / 0.8);
    }

    // Callers that are refused together would return together and be refused again.
    void burstInWhichEverybodyReturns()
    {
        FleetModel model;
        model.returnsOnce_ = true;
        std::vector<Fakes::Arrival> arrivals = mixedLoad(model, 0.7, 1);
        add(arrivals,
            Fakes::poisson(4 * model.capacity(), Milliseconds(5000), Milliseconds(5500), 0, 7, 99));
        const auto result = Fakes::simulate(model, Waiting::AtInstances, arrivals, 1);
        assertTruth(result);
        // From the first to the last return of the burst.
        const auto &returns = result.returnsByTenth_;
        const auto isBusy = [](int count) {
            return count > 20;
        };
        const auto first = std::find_if(returns.begin(), returns.end(), isBusy);
        const auto last = std::find_if(returns.rbegin(), returns.rend(), isBusy).base();
        const int most = *std::max_element(first, last);
        const double mean = std::accumulate(first, last, 0.0) / static_cast<double>(last - first);
        const Milliseconds from(5100);
        const Milliseconds until(6400);
        double answered = 0;
        for (const auto &request : result.requests_) {
            const auto at = request.arrival_.at_ + request.took_;
            answered += request.isAnswered_ && at >= from && at < until ? 1 : 0;
        }
        const double use = answered / model.capacity() / Model::inSeconds(until - from);
        std::cout << "burst: returns in 100 ms: mean " << mean << ", most " << most
                  << "; use of the slots while they return " << use << "\n";
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most / mean), most <= 2 * mean);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(use), use >= 0.95);
    }

    void decisionTakesUnderTwentyMicroseconds()
    {
        Policy::WaitingQueue queue;
        Policy::ReturnSchedule schedule;
        for (Policy::WaiterId id = 1; id <= 1000; ++id) {
            Policy::enqueue(queue, item(id, 1, std::to_string(id)), boundOf(1000), start);
            Policy::announceReturn(schedule, {id, 1, Milliseconds(9000), std::nullopt}, 500, start);
        }
        constexpr int rounds = 1000;
        const auto before = std::chrono::steady_clock::now();
        for (int i = 0; i < rounds; ++i) {
            const auto id = static_cast<Policy::WaiterId>(2000 + i);
            Policy::enqueue(queue, item(id, 0, "w"), boundOf(1000), start);
            Policy::take(queue, *Policy::next(queue));
            Policy::announceReturn(schedule, {id, 1, Milliseconds(9000), std::nullopt}, 500, start);
            Policy::keepReturn(schedule, id, start);
        }
        const auto each
            = std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - before)
              / rounds;
        std::cout << "enqueue, take, announce and keep: " << each.count() << " us\n";
        CPPUNIT_ASSERT_MESSAGE(std::to_string(each.count()), each.count() < 20);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestWaitingQueue);

} // namespace
