#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Model::Microseconds;
using Model::Milliseconds;
using Model::ResultCode;
using Model::SteadyTime;

/// The number of requests that may wait before a drain rate is known.
constexpr int initialBound = 9;

/// A request that waits in the queue under test.
struct Caller
{
    Steering::RequestContext request_;
    Steering::Refusal refusal_{ResultCode::OverCapacity, Milliseconds(5), Microseconds(0)};
    std::optional<bool> isToBePlaced_;
};

struct QueueFixture
{
    explicit QueueFixture(bool isEnabled = true)
    {
        instance_.setOperatorRows(1, 1);
        queue_.setEnabled(isEnabled);
    }

    /// Adds a request that arrived \a age ago. The goal of rank 2 is 400 ms, that of rank 0 is
    /// 300 ms.
    Caller &add(int rank, const std::string &object, Milliseconds age = Milliseconds(0))
    {
        Caller &caller = callers_.emplace_back();
        caller.request_ = Fakes::requestContext(instance_, rank == 0 ? "order" : "read", 1);
        caller.request_.service_ = Model::ServiceId("gauging");
        Http::IncomingRequest incoming;
        incoming.message_.target("/" + object);
        caller.request_.incoming_ = std::make_shared<const Http::IncomingRequest>(incoming);
        caller.request_.arrivedAt_ = std::chrono::steady_clock::now() - age;
        caller.request_.deadline_ = caller.request_.arrivedAt_ + caller.request_.route_->timeout_;
        start(caller);
        return caller;
    }

    void start(Caller &caller)
    {
        caller.isToBePlaced_.reset();
        Http::asio::co_spawn(context_, wait(caller), Http::asio::detached);
        context_.poll();
        context_.restart();
    }

    Http::Task<void> wait(Caller &caller)
    {
        caller.isToBePlaced_ = co_await queue_.waitForRoom(caller.request_, caller.refusal_);
        if (*caller.isToBePlaced_)
            woken_.push_back(&caller);
    }

    void settle()
    {
        context_.poll();
        context_.restart();
    }

    Http::asio::io_context context_;
    Fakes::InstanceFixture instance_{"r-a"};
    Steering::RequestQueue queue_{context_, instance_.port_.headers_, instance_.log_};
    std::list<Caller> callers_;
    /// In the order in which they were woken.
    std::vector<Caller *> woken_;
};

class TestRequestQueue : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRequestQueue);
    CPPUNIT_TEST(nothingWaitsWithTheSettingOff);
    CPPUNIT_TEST(otherRefusalsDoNotWait);
    CPPUNIT_TEST(endOfAnAttemptWakesTheMostUrgent);
    CPPUNIT_TEST(wokenRequestWithoutRoomWaitsOn);
    CPPUNIT_TEST(displacedRequestIsRefusedAtOnce);
    CPPUNIT_TEST(expiredRequestIsRefusedWithItsOwnCode);
    CPPUNIT_TEST(requestWhoseCallerLeftLeavesTheQueue);
    CPPUNIT_TEST(announcedReturnIsRecognised);
    CPPUNIT_TEST(instanceStartsNoMoreThanItsPart);
    CPPUNIT_TEST(newcomerYieldsOnlyToRequestsAtLeastAsUrgent);
    CPPUNIT_TEST_SUITE_END();

public:
    // A deployment that has not asked for the queue must see no change.
    void nothingWaitsWithTheSettingOff()
    {
        QueueFixture fixture(false);
        const Caller &caller = fixture.add(0, "a");
        CPPUNIT_ASSERT(caller.isToBePlaced_ == false);
        CPPUNIT_ASSERT(caller.refusal_.code_ == ResultCode::OverCapacity);
        CPPUNIT_ASSERT(caller.refusal_.retryAfter_ == Milliseconds(5));
        CPPUNIT_ASSERT(!fixture.queue_.shouldYield(caller.request_));
        CPPUNIT_ASSERT(fixture.queue_.hasRoom(caller.request_, {8, 8, 1}));
    }

    // A slot that comes free does not help a request without a target.
    void otherRefusalsDoNotWait()
    {
        QueueFixture fixture;
        Caller caller;
        caller.request_ = Fakes::requestContext(fixture.instance_, "order", 1);
        caller.refusal_.code_ = ResultCode::NoTarget;
        fixture.start(caller);
        CPPUNIT_ASSERT(caller.isToBePlaced_ == false);
        CPPUNIT_ASSERT(caller.refusal_.retryAfter_ == Milliseconds(5));
    }

    void endOfAnAttemptWakesTheMostUrgent()
    {
        QueueFixture fixture;
        fixture.add(2, "a");
        fixture.add(2, "b");
        Caller &urgent = fixture.add(0, "c");
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), fixture.queue_.waiting());
        Caller placed;
        placed.request_ = Fakes::requestContext(fixture.instance_, "read", 1);
        fixture.queue_.notePlaced(placed.request_, std::chrono::steady_clock::now());
        CPPUNIT_ASSERT(fixture.woken_.empty());
        fixture.queue_.noteAttemptEnded(placed.request_.service_, true,
                                        std::chrono::steady_clock::now());
        fixture.settle();
        CPPUNIT_ASSERT(!fixture.woken_.empty());
        CPPUNIT_ASSERT(fixture.woken_.front() == &urgent);
        fixture.queue_.notePlaced(urgent.request_, std::chrono::steady_clock::now());
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), fixture.queue_.waiting());
    }

    // A request that is woken in vain would lose its place if it had to queue again.
    void wokenRequestWithoutRoomWaitsOn()
    {
        QueueFixture fixture;
        Caller &caller = fixture.add(0, "a");
        const auto id = caller.request_.waiter_;
        fixture.queue_.tick(std::chrono::steady_clock::now());
        fixture.settle();
        CPPUNIT_ASSERT(caller.isToBePlaced_ == true);
        fixture.start(caller);
        CPPUNIT_ASSERT(!caller.isToBePlaced_);
        CPPUNIT_ASSERT_EQUAL(id, caller.request_.waiter_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.queue_.counters().waited_);
    }

    // A displaced request that is refused only at its latest start loses its time for a retry.
    void displacedRequestIsRefusedAtOnce()
    {
        QueueFixture fixture;
        for (int i = 0; i < initialBound; ++i)
            fixture.add(2, std::to_string(i));
        const Caller &urgent = fixture.add(0, "urgent");
        fixture.settle();
        CPPUNIT_ASSERT(!urgent.isToBePlaced_);
        const Caller &last = *std::next(fixture.callers_.begin(), initialBound - 1);
        CPPUNIT_ASSERT(last.isToBePlaced_ == false);
        CPPUNIT_ASSERT(last.refusal_.code_ == ResultCode::DisplacedByFairShare);
        CPPUNIT_ASSERT(last.refusal_.retryAfter_ >= Policy::minRetryAfter);
        CPPUNIT_ASSERT_EQUAL(std::size_t(initialBound), fixture.queue_.waiting());
        const Caller &refused = fixture.add(2, "refused");
        CPPUNIT_ASSERT(refused.isToBePlaced_ == false);
        CPPUNIT_ASSERT(refused.refusal_.code_ == ResultCode::OverCapacity);
        const auto &counters = fixture.queue_.counters();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.displaced_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             counters.refused_.at({ResultCode::DisplacedByFairShare, 2}));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), counters.refused_.at({ResultCode::OverCapacity, 2}));
    }

    void expiredRequestIsRefusedWithItsOwnCode()
    {
        QueueFixture fixture;
        const Caller &caller = fixture.add(2, "a", Milliseconds(350));
        CPPUNIT_ASSERT(!caller.isToBePlaced_);
        fixture.context_.run_for(Milliseconds(1000));
        CPPUNIT_ASSERT(caller.isToBePlaced_ == false);
        CPPUNIT_ASSERT(caller.refusal_.code_ == ResultCode::OverCapacity);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.queue_.counters().expired_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), fixture.queue_.waiting());
    }

    // The place of a caller that has left is missing to those that still wait.
    void requestWhoseCallerLeftLeavesTheQueue()
    {
        QueueFixture fixture;
        constexpr std::size_t others = 6;
        for (std::size_t i = 0; i < others; ++i)
            fixture.add(0, std::to_string(i));
        // It is behind those that the tick wakes to be placed.
        Caller &caller = fixture.add(2, "a");
        caller.request_.isAbandoned_ = true;
        fixture.queue_.tick(std::chrono::steady_clock::now());
        fixture.settle();
        CPPUNIT_ASSERT(caller.isToBePlaced_ == false);
        CPPUNIT_ASSERT_EQUAL(others, fixture.queue_.waiting());
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.queue_.counters().left_);
    }

    // A return that is not recognised is treated as a newcomer and loses the room kept for it.
    void announcedReturnIsRecognised()
    {
        QueueFixture fixture;
        for (int i = 0; i < initialBound; ++i)
            fixture.add(0, std::to_string(i));
        const Caller &refused = fixture.add(2, "again");
        CPPUNIT_ASSERT(refused.isToBePlaced_ == false);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.queue_.counters().returnsAnnounced_);
        fixture.add(2, "other");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), fixture.queue_.counters().returnsKept_);
        const Caller &returned = fixture.add(2, "again");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1), fixture.queue_.counters().returnsKept_);
        CPPUNIT_ASSERT(returned.request_.firstRefusedAt_);
    }

    void instanceStartsNoMoreThanItsPart()
    {
        QueueFixture fixture;
        const Policy::RegionSlots full{8, 8, 2};
        const Policy::RegionSlots half{8, 4, 2};
        Caller caller;
        caller.request_ = Fakes::requestContext(fixture.instance_, "read", 1);
        const auto now = std::chrono::steady_clock::now();
        for (int i = 0; i < 4; ++i) {
            CPPUNIT_ASSERT(fixture.queue_.hasRoom(caller.request_, full));
            fixture.queue_.notePlaced(caller.request_, now);
        }
        CPPUNIT_ASSERT(!fixture.queue_.hasRoom(caller.request_, full));
        CPPUNIT_ASSERT(fixture.queue_.hasRoom(caller.request_, half));
        fixture.queue_.noteAttemptEnded(caller.request_.service_, true, now);
        CPPUNIT_ASSERT(fixture.queue_.hasRoom(caller.request_, full));
    }

    // An urgent request must not wait for the placement of less urgent ones.
    void newcomerYieldsOnlyToRequestsAtLeastAsUrgent()
    {
        QueueFixture fixture;
        fixture.add(2, "a");
        auto urgent = Fakes::requestContext(fixture.instance_, "order", 1);
        urgent.service_ = Model::ServiceId("gauging");
        CPPUNIT_ASSERT(!fixture.queue_.shouldYield(urgent));
        const auto same = Fakes::requestContext(fixture.instance_, "read", 1);
        CPPUNIT_ASSERT(fixture.queue_.shouldYield(same));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestQueue);

} // namespace
