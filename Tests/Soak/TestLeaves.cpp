#include "Callers.h"
#include "SoakSite.h"

#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Soak::Fault;
using Soak::FaultKind;

/// A leave must be in force within this time at every undisturbed instance.
constexpr Milliseconds propagationLimit{2500};
constexpr Milliseconds requiredCalm{4000};
/// Instances batch target updates for this long before they query the store again.
constexpr Milliseconds batchTime{600};
constexpr Milliseconds freezeTime{100};

/// Eight instances, two in each failure domain. The two below share a domain without its region's
/// first store reader; their store calls wait longest for updates.
constexpr std::size_t instances = 8;
constexpr std::size_t hanging = 2;
constexpr std::size_t partner = 6;

class TestLeaves : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLeaves);
    CPPUNIT_TEST(leaveIsInForceWhereTheStoreCallHangsAndThePeerThatKnowsStops);
    CPPUNIT_TEST(targetsThatLeaveTogetherGetNothingInTimeWhereTheStoreCallHangs);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Starts a site with one instance whose store call hangs on a frozen connection, then waits
    /// for the required calm.
    static void startHanging(Soak::SoakSite &site)
    {
        CPPUNIT_ASSERT(site.start());
        Harness::pause(requiredCalm);
        // A target update makes all store calls start at the same time.
        site.begin({FaultKind::TargetReplaced, {}, {}, instances - 1, 0});
        Harness::pause(batchTime);
        const Fault frozen{FaultKind::StoreWay, {}, {}, hanging, 0};
        site.begin(frozen);
        Harness::pause(freezeTime);
        site.end(frozen);
        Harness::pause(requiredCalm);
    }

    /// Sends requests through the hanging instance for \a duration; returns those that reached a
    /// target after its leave had to be in force.
    static std::string lateArrivals(Soak::SoakSite &site, Milliseconds duration)
    {
        auto &fleet = site.fleet();
        const auto &instance = *fleet.instances_[hanging];
        const auto end = std::chrono::steady_clock::now() + duration;
        for (int i = 0; std::chrono::steady_clock::now() < end; ++i)
            fleet.send(instance, "read", "l" + std::to_string(i), 1500, std::to_string(i));
        std::string late;
        for (auto &target : fleet.targets_) {
            for (const auto &arrival : target->takeArrivals()) {
                const auto left = site.leftAt().find(arrival.run_);
                if (left == site.leftAt().end() || arrival.at_ <= left->second + propagationLimit)
                    continue;
                const auto after
                    = std::chrono::duration_cast<Milliseconds>(arrival.at_ - left->second);
                late += "\n" + arrival.run_ + " after " + std::to_string(after.count()) + " ms";
            }
        }
        return late;
    }

    /// Lets targets leave, then pauses the peer that the hanging instance queries first.
    static void assertLeaveIsInForce(std::size_t targets, std::size_t variant)
    {
        Soak::PlanSize size;
        size.instances_ = instances;
        Soak::SoakSite site(size);
        startHanging(site);
        for (std::size_t target = 0; target < targets; ++target)
            site.begin({FaultKind::TargetLeaves, {}, {}, target, variant});
        Harness::pause(batchTime);
        const Fault paused{FaultKind::InstancePaused, {}, {}, partner, 0};
        site.begin(paused);
        const std::string late = lateArrivals(site, propagationLimit + Milliseconds(1000));
        site.end(paused);
        CPPUNIT_ASSERT_MESSAGE(site.fleet().directory() + late, late.empty());
    }

    // Guards against consecutive timeouts: a store call hangs, then a peer stops answering after it
    // has reported a newer revision.
    void leaveIsInForceWhereTheStoreCallHangsAndThePeerThatKnowsStops()
    {
        assertLeaveIsInForce(1, 1);
    }

    // Guards against a grace period of expired registrations that starts only when a delayed update
    // arrives.
    void targetsThatLeaveTogetherGetNothingInTimeWhereTheStoreCallHangs()
    {
        assertLeaveIsInForce(3, 0);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeaves);
