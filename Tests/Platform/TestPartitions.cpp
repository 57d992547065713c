#include "Fleet.h"
#include "Link.h"

#include <Support/Property.h>
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
constexpr int requests = 100;
/// First tries that may fail at partitioned instances, beside one in fifty.
constexpr int allowedFailures = 10;
constexpr std::size_t targetCount = 6;
/// A peer that has not taken a request is not asked again for this long.
constexpr Milliseconds forwardingPause{1000};

class TestPartitions : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPartitions);
    CPPUNIT_TEST(callersAreServedWhereConnectionsToTargetsAreRefused);
    CPPUNIT_TEST(callersAreServedWhereConnectionsToTargetsHang);
    CPPUNIT_TEST(orderRunsOnceWhereAPeerTakesIt);
    CPPUNIT_TEST(targetsThatAreDownForAllAreNotForwardedOnAndOn);
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

        double metric(const FleetInstance &instance, const std::string &name)
        {
            Http::SimpleRequest request;
            request.address_ = instance.admin();
            request.target_ = "/metrics";
            const auto answer = Http::sendAndWait(request);
            CPPUNIT_ASSERT(answer);
            const auto at = answer->body().find("\n" + name + " ");
            CPPUNIT_ASSERT(at != std::string::npos);
            return std::stod(answer->body().substr(at + name.size() + 2));
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
        // Its own way is used again.
        CPPUNIT_ASSERT(Harness::waitUntil(recoveryTime, [&] {
            const double before = site.metric(*site.partitioned_, "cassiacrank_forwarded_total");
            const int back = site.served("back-");
            return back == requests
                   && site.metric(*site.partitioned_, "cassiacrank_forwarded_total") == before;
        }));
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
            before += site.metric(*instance, "cassiacrank_received_forwarded_total");
        const auto startedAt = std::chrono::steady_clock::now();
        CPPUNIT_ASSERT_EQUAL(0, site.served("down-"));
        const auto took = std::chrono::steady_clock::now() - startedAt;
        for (const auto &instance : site.fleet_.instances_)
            received += site.metric(*instance, "cassiacrank_received_forwarded_total");
        // Each peer is asked once in a pause, and refuses at once.
        const double pauses = Model::inSeconds(took) / Model::inSeconds(forwardingPause);
        const auto peers = static_cast<double>(site.fleet_.instances_.size() - 1);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(received - before),
                               received - before <= peers * (pauses + 2));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPartitions);
