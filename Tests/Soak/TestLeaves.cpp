#include "Callers.h"
#include "SoakSite.h"

#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Soak::Fault;
using Soak::FaultKind;

/// After this a leave is in force at every instance to which nothing was done for a while.
constexpr Milliseconds knownWithin{2500};
constexpr Milliseconds calmBefore{4000};
/// Instances gather news of targets for so long before they ask the store again.
constexpr Milliseconds gathered{600};
constexpr Milliseconds freezeTime{100};

/// Eight instances, two in each failure domain. Two of one domain that does not hold its region's
/// first reader: calls of these wait for news longest.
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
    /// A site one of whose instances waits for the store on a connection that carries nothing any
    /// more, and to which nothing was done for long enough since.
    static void startHanging(Soak::SoakSite &site)
    {
        CPPUNIT_ASSERT(site.start());
        Harness::pause(calmBefore);
        // News of a target makes all calls begin at the same time.
        site.begin({FaultKind::TargetReplaced, {}, {}, instances - 1, 0});
        Harness::pause(gathered);
        const Fault frozen{FaultKind::StoreWay, {}, {}, hanging, 0};
        site.begin(frozen);
        Harness::pause(freezeTime);
        site.end(frozen);
        Harness::pause(calmBefore);
    }

    /// Sends through the hanging instance for a while; returns what reached a target that had left
    /// too long before.
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
                if (left == site.leftAt().end() || arrival.at_ <= left->second + knownWithin)
                    continue;
                const auto after
                    = std::chrono::duration_cast<Milliseconds>(arrival.at_ - left->second);
                late += "\n" + arrival.run_ + " after " + std::to_string(after.count()) + " ms";
            }
        }
        return late;
    }

    /// Lets targets leave, and then pauses the peer that is asked first by the hanging instance.
    static void assertLeaveIsInForce(std::size_t targets, std::size_t variant)
    {
        Soak::PlanSize size;
        size.instances_ = instances;
        Soak::SoakSite site(size);
        startHanging(site);
        for (std::size_t target = 0; target < targets; ++target)
            site.begin({FaultKind::TargetLeaves, {}, {}, target, variant});
        Harness::pause(gathered);
        const Fault paused{FaultKind::InstancePaused, {}, {}, partner, 0};
        site.begin(paused);
        const std::string late = lateArrivals(site, knownWithin + Milliseconds(1000));
        site.end(paused);
        CPPUNIT_ASSERT_MESSAGE(site.fleet().directory() + late, late.empty());
    }

    // Guards against time limits in series: a call that hangs, and then a peer that stops answering
    // after it has told that it knows more.
    void leaveIsInForceWhereTheStoreCallHangsAndThePeerThatKnowsStops()
    {
        assertLeaveIsInForce(1, 1);
    }

    // Guards against a grace for lapsed registrations that begins only when late news has come.
    void targetsThatLeaveTogetherGetNothingInTimeWhereTheStoreCallHangs()
    {
        assertLeaveIsInForce(3, 0);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeaves);
