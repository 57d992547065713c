#include "Fleet.h"
#include "Link.h"

#include <Support/Property.h>
#include <csignal>
#include <future>
#include <thread>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;
using PlatformStandIns::FleetInstance;
using PlatformStandIns::Link;
using PlatformStandIns::LinkState;

/// From this time after the start of a partition on, callers are served as elsewhere.
constexpr Milliseconds contactTime{4000};
/// The time that the platform gives a recovery.
constexpr Milliseconds recoveryTime{15000};
/// A leave is in force within this time, and a planned stop ends within the other.
constexpr Milliseconds leaveBound{2500};
constexpr Milliseconds stopGrace{6000};
/// Longer than a stopping instance goes on without any request in progress.
constexpr Milliseconds longWork{3500};
constexpr int requests = 100;
/// First tries that may fail at partitioned instances, beside one in fifty.
constexpr int allowedFailures = 10;
constexpr std::size_t targetCount = 6;
/// A target that names a limit of five a second gets at most one and a half times as many in this
/// time, and five more.
constexpr Milliseconds limitWindow{4000};
constexpr std::size_t limitedRequests = 35;
/// A peer that has not taken a request is not asked again for this long.
constexpr Milliseconds forwardingPause{1000};

class TestPartitions : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPartitions);
    CPPUNIT_TEST(callersAreServedWhereConnectionsToTargetsAreRefused);
    CPPUNIT_TEST(callersAreServedWhereConnectionsToTargetsHang);
    CPPUNIT_TEST(orderRunsOnceWhereAPeerTakesIt);
    CPPUNIT_TEST(targetsThatAreDownForAllAreNotForwardedOnAndOn);
    CPPUNIT_TEST(homesHoldForForwardedRequests);
    CPPUNIT_TEST(quotaHoldsForForwardedRequests);
    CPPUNIT_TEST(limitHoldsForForwardedRequests);
    CPPUNIT_TEST(leavingTargetGetsNoForwardedRequests);
    CPPUNIT_TEST(leaveAnnouncedThroughAPeerHoldsAfterThePartition);
    CPPUNIT_TEST(stoppingPeerFinishesForwardedRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A fleet of which one instance reaches the targets over a link.
    struct PartitionedFleet
    {
        PartitionedFleet()
        {
            std::vector<std::string> ids;
            for (std::size_t i = 0; i < targetCount; ++i)
                ids.push_back("t" + std::to_string(i));
            CPPUNIT_ASSERT(fleet_.serve(3, ids));
            std::string settings = "[dial]\n";
            for (const auto &target : fleet_.targets_) {
                settings += toText(target->address()) + " = " + toText(link_.to(target->address()))
                            + "\n";
            }
            partitioned_ = &fleet_.startOne(std::nullopt, settings);
            CPPUNIT_ASSERT(fleet_.waitUntilServing());
        }

        /// Sends requests to the partitioned instance for \a duration, so that it finds out.
        void useFor(Milliseconds duration)
        {
            const auto end = std::chrono::steady_clock::now() + duration;
            std::vector<std::thread> callers;
            for (int caller = 0; caller < 4; ++caller) {
                callers.emplace_back([&, caller] {
                    for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
                        const std::string id = std::to_string(caller) + "-" + std::to_string(i);
                        fleet_.send(*partitioned_, i % 2 == 0 ? "read" : "order", "w" + id, 1000,
                                    id);
                        Harness::pause(Milliseconds(20));
                    }
                });
            }
            for (auto &caller : callers)
                caller.join();
        }

        /// Returns how many of some first tries are served.
        int served(const std::string &prefix)
        {
            int count = 0;
            for (int i = 0; i < requests; ++i) {
                const std::string id = prefix + std::to_string(i);
                const auto answer
                    = fleet_.send(*partitioned_, i % 2 == 0 ? "read" : "order", id, 1000, id);
                count += answer && answer->result() == status::ok ? 1 : 0;
            }
            return count;
        }

        /// Waits until requests to the partitioned instance are served without a peer.
        bool usesItsOwnWayAgain()
        {
            return Harness::waitUntil(recoveryTime, [this] {
                const double before = fleet_.metric(*partitioned_, "cassiacrank_forwarded_total");
                return served("back-") == requests
                       && fleet_.metric(*partitioned_, "cassiacrank_forwarded_total") == before;
            });
        }

        int mostRuns(const std::string &prefix)
        {
            std::map<std::string, int> runs;
            for (const auto &target : fleet_.targets_) {
                for (const auto &[id, count] : target->runs())
                    runs[id] += id.starts_with(prefix) ? count : 0;
            }
            int most = 0;
            for (const auto &[id, count] : runs)
                most = std::max(most, count);
            return most;
        }

        Fleet fleet_;
        Link link_;
        FleetInstance *partitioned_ = nullptr;
    };

    static void serveDuring(LinkState state)
    {
        PartitionedFleet site;
        site.link_.setState(state);
        site.useFor(contactTime);
        const int served = site.served("cut-");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served) + " served",
                               requests - served <= allowedFailures + requests / 50);
        site.link_.setState(LinkState::Open);
        CPPUNIT_ASSERT(site.usesItsOwnWayAgain());
    }

    // Guards against refusing the callers of an instance whose connections to the targets are
    // refused although its peers reach them.
    void callersAreServedWhereConnectionsToTargetsAreRefused() { serveDuring(LinkState::Refusing); }

    // Guards against the same where the connections hang.
    void callersAreServedWhereConnectionsToTargetsHang() { serveDuring(LinkState::Silent); }

    // Guards against running a request twice that is forwarded after an attempt of the instance's
    // own, or to two peers.
    void orderRunsOnceWhereAPeerTakesIt()
    {
        PartitionedFleet site;
        site.link_.setState(LinkState::Silent);
        for (int i = 0; i < requests; ++i)
            site.fleet_.send(*site.partitioned_, "order", "once-" + std::to_string(i), 200);
        site.link_.setState(LinkState::Refusing);
        site.useFor(Milliseconds(1000));
        site.served("once-more-");
        CPPUNIT_ASSERT_EQUAL(1, site.mostRuns("once-"));
    }

    // Guards against requests that go from instance to instance while the targets are down for all.
    void targetsThatAreDownForAllAreNotForwardedOnAndOn()
    {
        PartitionedFleet site;
        for (const auto &target : site.fleet_.targets_) {
            PlatformStandIns::TargetFaults faults;
            faults.restartDelay_ = Milliseconds(60000);
            target->setFaults(faults);
            target->kill();
        }
        site.useFor(contactTime);
        double received = 0;
        double before = 0;
        for (const auto &instance : site.fleet_.instances_)
            before += site.fleet_.metric(*instance, "cassiacrank_received_forwarded_total");
        const auto startedAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(0, site.served("down-"));
        const auto took = std::chrono::steady_clock::now() - startedAt;
        for (const auto &instance : site.fleet_.instances_)
            received += site.fleet_.metric(*instance, "cassiacrank_received_forwarded_total");
        // Each peer is asked once in a pause, and refuses at once.
        const double pauses = Model::inSeconds(took) / Model::inSeconds(forwardingPause);
        const auto peers = static_cast<double>(site.fleet_.instances_.size() - 1);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(received - before),
                               received - before <= peers * (pauses + 2));
    }

    // Guards against a body that leaves the home regions of its route on the way to a peer.
    void homesHoldForForwardedRequests()
    {
        PartitionedFleet site;
        site.fleet_.setHomeRegions({"r"});
        site.fleet_.configure(2, "added");
        site.link_.setState(LinkState::Refusing);
        site.useFor(contactTime);
        std::vector<const FleetInstance *> outside;
        double before = 0;
        double inside = 0;
        for (const auto &instance : site.fleet_.instances_) {
            const double received
                = site.fleet_.metric(*instance, "cassiacrank_received_forwarded_total");
            if (instance->domain_.starts_with("r-")) {
                inside -= received;
            } else {
                outside.push_back(instance.get());
                before += received;
            }
        }
        int count = 0;
        for (int i = 0; i < requests; ++i) {
            const std::string id = "home-" + std::to_string(i);
            const auto answer = site.fleet_.send(*site.partitioned_, "added", id, 1000, id);
            count += answer && answer->result() == status::ok ? 1 : 0;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " served",
                               requests - count <= allowedFailures + requests / 50);
        double after = 0;
        for (const auto *instance : outside)
            after += site.fleet_.metric(*instance, "cassiacrank_received_forwarded_total");
        CPPUNIT_ASSERT_EQUAL(before, after);
        for (const auto &instance : site.fleet_.instances_) {
            if (instance->domain_.starts_with("r-"))
                inside += site.fleet_.metric(*instance, "cassiacrank_received_forwarded_total");
        }
        CPPUNIT_ASSERT(inside >= count);
    }

    // Guards against charging a forwarded request to its workspace's quota twice, or never.
    void quotaHoldsForForwardedRequests()
    {
        constexpr double ratePerSecond = 20;
        constexpr double burst = 5;
        constexpr Milliseconds window{5000};
        PartitionedFleet site;
        site.link_.setState(LinkState::Refusing);
        site.useFor(contactTime);
        site.fleet_.setWorkspaces(R"([{"name":"w","apiKeys":["k"],"ratePerS":20,"burst":5}])");
        site.fleet_.configure(2);
        Harness::pause(contactTime);
        int served = 0;
        const auto end = std::chrono::steady_clock::now() + window;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i) {
            const auto answer = site.fleet_.sendWithKey(*site.partitioned_, "read",
                                                        "quota-" + std::to_string(i), "k");
            served += answer && answer->result() == status::ok ? 1 : 0;
            Harness::pause(Milliseconds(5));
        }
        const double allowed = ratePerSecond * Model::inSeconds(window) + burst;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served <= allowed * 1.1 + 20);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(served), served >= allowed / 2);
    }

    // Guards against sending to a target that has left, because a request is on its way to a peer.
    void leavingTargetGetsNoForwardedRequests()
    {
        PartitionedFleet site;
        site.link_.setState(LinkState::Refusing);
        site.useFor(contactTime);
        auto &leaving = *site.fleet_.targets_[0];
        site.fleet_.registerTarget(leaving, "r-a", "draining");
        Harness::pause(leaveBound);
        const auto runs = leaving.runCount();
        const int count = site.served("leave-");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " served",
                               requests - count <= allowedFailures + requests / 50);
        CPPUNIT_ASSERT_EQUAL(runs, leaving.runCount());
    }

    // Guards against a target that gets more than the rate limit it names, because an instance
    // passes requests to peers, or returns to its own way and uses a part of its own beside theirs.
    void limitHoldsForForwardedRequests()
    {
        PartitionedFleet site;
        site.link_.setState(LinkState::Refusing);
        site.useFor(contactTime);
        auto &limited = *site.fleet_.targets_[0];
        limited.setFaults({.limit_ = "5.0"});
        site.useFor(limitWindow);
        for (const auto state : {LinkState::Refusing, LinkState::Open}) {
            site.link_.setState(state);
            limited.takeArrivals();
            site.useFor(limitWindow);
            const auto count = limited.takeArrivals().size();
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " requests", count <= limitedRequests);
        }
    }

    // Guards against an instance that has passed on, from a peer, the answer of a target that
    // leaves, and sends it requests once it reaches targets again.
    void leaveAnnouncedThroughAPeerHoldsAfterThePartition()
    {
        PartitionedFleet site;
        site.link_.setState(LinkState::Refusing);
        site.useFor(contactTime);
        auto &leaving = *site.fleet_.targets_[0];
        leaving.takeArrivals();
        leaving.setFaults({.announcesLeave_ = true});
        site.useFor(Milliseconds(2000));
        CPPUNIT_ASSERT(!leaving.takeArrivals().empty());
        Harness::pause(leaveBound);
        site.link_.setState(LinkState::Open);
        CPPUNIT_ASSERT(site.usesItsOwnWayAgain());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), leaving.takeArrivals().size());
    }

    // Guards against a planned stop of a peer that cuts requests which were forwarded to it.
    void stoppingPeerFinishesForwardedRequests()
    {
        PartitionedFleet site;
        site.fleet_.setRouteTimeout(longWork + Milliseconds(1500));
        site.fleet_.configure(2);
        site.link_.setState(LinkState::Refusing);
        site.useFor(contactTime);
        std::size_t before = 0;
        const auto runs = [&] {
            std::size_t sum = 0;
            for (const auto &target : site.fleet_.targets_)
                sum += target->runCount();
            return sum;
        };
        for (const auto &target : site.fleet_.targets_)
            target->setFaults({.work_ = longWork});
        before = runs();
        auto answer = std::async(std::launch::async, [&] {
            return site.fleet_.send(*site.partitioned_, "order", "stop-1",
                                    static_cast<int>(longWork.count()) + 1500);
        });
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(3000), [&] {
            return runs() > before;
        }));
        for (const auto &instance : site.fleet_.instances_) {
            if (instance.get() != site.partitioned_)
                instance->process_->signal(SIGTERM);
        }
        const auto received = answer.get();
        CPPUNIT_ASSERT(received && received->result() == status::ok);
        for (const auto &instance : site.fleet_.instances_) {
            if (instance.get() != site.partitioned_)
                CPPUNIT_ASSERT_EQUAL(0, instance->process_->wait(stopGrace).value_or(-1));
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPartitions);
