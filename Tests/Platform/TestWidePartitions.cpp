#include "Fleet.h"
#include "Link.h"

#include <Support/Property.h>
#include <future>

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
constexpr std::size_t targetCount = 240;
/// Five requests a second at each partitioned instance.
constexpr Milliseconds requestInterval{200};
constexpr int requests = 40;
/// First tries that may fail at a partitioned instance: as many in a hundred as beside few targets.
constexpr double allowedFailures = 0.12;
constexpr int callerTimeoutMs = 2000;
const std::vector<std::string> domains = {"r-a", "r-b", "s-a", "s-b"};

class TestWidePartitions : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestWidePartitions);
    CPPUNIT_TEST(callersAreServedWhereHundredsOfTargetsRefuse);
    CPPUNIT_TEST(callersAreServedWhereHundredsOfTargetsHang);
    CPPUNIT_TEST(callersAreServedWhereHalfOfTheInstancesArePartitioned);
    CPPUNIT_TEST(callersAreServedWhereOneRegionsTargetsHang);
    CPPUNIT_TEST(callersAreServedWhereAnInstanceStartsPartitioned);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A fleet with targets in all failure domains, some of whose instances reach them over links.
    struct WideFleet
    {
        WideFleet(std::size_t whole, std::size_t partitioned,
                  LinkState initialState = LinkState::Open)
        {
            fleet_.configure(1);
            std::string near = "[dial]\n";
            for (std::size_t i = 0; i < targetCount; ++i) {
                const std::string &domain = domains[i % domains.size()];
                const auto &target = fleet_.addTarget("t" + std::to_string(i), domain);
                Link &link = domain.starts_with("r-") ? nearLink_ : farLink_;
                near += toText(target.address()) + " = " + toText(link.to(target.address())) + "\n";
            }
            fleet_.start(whole);
            CPPUNIT_ASSERT(fleet_.waitUntilServing());
            nearLink_.setState(initialState);
            farLink_.setState(initialState);
            for (std::size_t i = 0; i < partitioned; ++i)
                partitioned_.push_back(&fleet_.startOne(std::nullopt, near));
            for (const auto *instance : partitioned_) {
                CPPUNIT_ASSERT(Harness::waitUntil(recoveryTime, [&] {
                    return fleet_.isReady(*instance);
                }));
            }
            if (initialState == LinkState::Open)
                CPPUNIT_ASSERT(fleet_.waitUntilServing());
        }

        void setState(LinkState state)
        {
            nearLink_.setState(state);
            farLink_.setState(state);
        }

        /// Sends first tries to every partitioned instance at a steady rate, and returns how many
        /// of them are served.
        int served(const std::string &prefix, int count)
        {
            std::vector<std::future<bool>> answers;
            for (int i = 0; i < count; ++i) {
                for (std::size_t at = 0; at < partitioned_.size(); ++at) {
                    const std::string id = prefix + std::to_string(at) + "-" + std::to_string(i);
                    answers.push_back(std::async(std::launch::async, [this, at, i, id] {
                        const auto answer
                            = fleet_.send(*partitioned_[at], i % 2 == 0 ? "read" : "order", id,
                                          callerTimeoutMs, id);
                        return answer && answer->result() == status::ok;
                    }));
                }
                Harness::pause(requestInterval);
            }
            int sum = 0;
            for (auto &answer : answers)
                sum += answer.get() ? 1 : 0;
            return sum;
        }

        /// Uses the partitioned instances for the contact time, then requires that their callers
        /// are served.
        void requireService()
        {
            const int early = served("early-", static_cast<int>(contactTime / requestInterval));
            const int sent = requests * static_cast<int>(partitioned_.size());
            const int count = served("cut-", sent / static_cast<int>(partitioned_.size()));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(count) + " of " + std::to_string(sent)
                                       + " served, " + std::to_string(early)
                                       + " in the contact time",
                                   sent - count <= allowedFailures * sent);
        }

        /// Waits until the partitioned instances serve their callers without a peer.
        void requireOwnWay()
        {
            const auto forwarded = [this] {
                double sum = 0;
                for (const auto *instance : partitioned_)
                    sum += fleet_.metric(*instance, "cassiacrank_forwarded_total");
                return sum;
            };
            CPPUNIT_ASSERT(Harness::waitUntil(recoveryTime, [&] {
                constexpr int sent = 10;
                const double before = forwarded();
                return served("back-", sent) == sent * static_cast<int>(partitioned_.size())
                       && forwarded() == before;
            }));
        }

        Link nearLink_;
        Link farLink_;
        Fleet fleet_;
        std::vector<FleetInstance *> partitioned_;
    };

    static void serveDuring(LinkState state)
    {
        WideFleet site(3, 1);
        site.setState(state);
        site.requireService();
        site.setState(LinkState::Open);
        site.requireOwnWay();
    }

    // Guards against an instance that has to fail at most of hundreds of targets, one by one with
    // its callers' requests, before it passes the first request to a peer.
    void callersAreServedWhereHundredsOfTargetsRefuse() { serveDuring(LinkState::Refusing); }

    // Guards against the same where connections to the targets hang.
    void callersAreServedWhereHundredsOfTargetsHang() { serveDuring(LinkState::Silent); }

    // Guards against requests that go from one partitioned instance to another and are refused.
    void callersAreServedWhereHalfOfTheInstancesArePartitioned()
    {
        WideFleet site(4, 4);
        site.setState(LinkState::Silent);
        site.requireService();
    }

    // Guards against an instance that goes on to try the targets of a region it has lost.
    void callersAreServedWhereOneRegionsTargetsHang()
    {
        WideFleet site(3, 1);
        site.nearLink_.setState(LinkState::Silent);
        site.requireService();
        site.setState(LinkState::Open);
        site.requireOwnWay();
    }

    // Guards against an instance that starts in a partition, and so has never reached a target.
    void callersAreServedWhereAnInstanceStartsPartitioned()
    {
        WideFleet site(3, 1, LinkState::Silent);
        site.requireService();
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestWidePartitions);
