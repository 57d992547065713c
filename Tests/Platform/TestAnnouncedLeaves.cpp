#include "Fleet.h"

#include <Support/Property.h>
#include <atomic>
#include <thread>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;
using PlatformStandIns::FleetInstance;

/// The platform's term: a request that a caller sends later than this after an instance has passed
/// on an answer that announces a leave does not reach the target from that instance.
constexpr Milliseconds leaveBound{2500};

class TestAnnouncedLeaves : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAnnouncedLeaves);
    CPPUNIT_TEST(targetThatAnnouncesItsLeaveInAnswersGetsNoMoreRequests);
    CPPUNIT_TEST(announcedLeaveHoldsWhileTheStoreIsSilent);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Sends requests to each instance for longer than the bound while a target announces in its
    /// answers that it leaves, and returns how many of those sent after the bound reach it.
    static int lateRequests(Fleet &fleet)
    {
        fleet.targets_[0]->setFaults({.announcesLeave_ = true});
        std::vector<std::thread> callers;
        for (const auto &instance : fleet.instances_) {
            callers.emplace_back([&fleet, &instance] {
                std::optional<Model::SteadyTime> announcedAt;
                for (int i = 0; i < 400; ++i) {
                    const auto sentAt = std::chrono::steady_clock::now();
                    const bool isLate = announcedAt && sentAt > *announcedAt + leaveBound;
                    const auto answer = fleet.send(*instance, i % 3 == 0 ? "order" : "read",
                                                   (isLate ? "late/" : "early/") + instance->name_
                                                       + "/" + std::to_string(i),
                                                   1000, std::to_string(i % 97));
                    if (!announcedAt && answer
                        && (*answer)["X-Cassiacrank-Server-Stamp"] == "stamp-t1")
                        announcedAt = std::chrono::steady_clock::now();
                    Harness::pause(Milliseconds(10));
                }
            });
        }
        for (auto &caller : callers)
            caller.join();
        int late = 0;
        for (const auto &arrival : fleet.targets_[0]->takeArrivals())
            late += arrival.request_.starts_with("late/") ? 1 : 0;
        return late;
    }

    // Guards against instances that go on sending requests to a target which has announced its
    // leave in the answers that they pass on, while its registration says otherwise.
    void targetThatAnnouncesItsLeaveInAnswersGetsNoMoreRequests()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(4, {"t1", "t2", "t3"}));
        CPPUNIT_ASSERT_EQUAL(0, lateRequests(fleet));
    }

    // The same where no news of the target can arrive from the store.
    void announcedLeaveHoldsWhileTheStoreIsSilent()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(4, {"t1", "t2", "t3"}));
        fleet.store_.setFaults({.isSilent_ = true});
        CPPUNIT_ASSERT_EQUAL(0, lateRequests(fleet));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnnouncedLeaves);
