#include "Callers.h"
#include "SoakSite.h"

#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>
#include <regex>

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
/// Shorter than any call that waits for changes. An instance that has been stalled considers its
/// peers failed and itself the region's first store reader, whose calls wait for two seconds only.
constexpr Milliseconds hangingTime{500};
/// A tick of the instance and the time that a process may wait for its share of the processor.
constexpr Milliseconds graceSlack{200};

/// Eight instances, two in each failure domain. The two below share a domain without its region's
/// first store reader; their store calls wait longest for updates.
constexpr std::size_t instances = 8;
constexpr std::size_t hanging = 2;
constexpr std::size_t partner = 6;

/// Returns the times, in milliseconds, at which an instance logged \a name, by target.
std::map<std::string, long long> timesOf(const std::string &name, const std::string &log)
{
    const std::regex line("t=([0-9]+) event=[0-9]+ name=" + name + " target=([^ ]+)");
    std::map<std::string, long long> times;
    for (std::sregex_iterator found(log.begin(), log.end(), line); found != std::sregex_iterator();
         ++found)
        times.emplace((*found)[2], std::stoll((*found)[1]));
    return times;
}

class TestLeaves : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLeaves);
    CPPUNIT_TEST(leaveIsInForceWhereTheStoreCallHangsAndThePeerThatKnowsStops);
    CPPUNIT_TEST(targetsThatLeaveTogetherGetNothingInTimeWhereTheStoreCallHangs);
    CPPUNIT_TEST(graceOfRemovedTargetsEndsInTimeWhereTheStoreCallHangs);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Starts a site with one instance whose store call hangs on a frozen connection, then waits
    /// for \a calm.
    static void startHanging(Soak::SoakSite &site, Milliseconds calm)
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
        Harness::pause(calm);
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
        startHanging(site, requiredCalm);
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

    // Guards against a grace period that starts anew at an instance whose store call hangs, when it
    // reads the removals later than its peers.
    void graceOfRemovedTargetsEndsInTimeWhereTheStoreCallHangs()
    {
        Soak::PlanSize size;
        size.instances_ = instances;
        Soak::SoakSite site(size);
        startHanging(site, hangingTime);
        for (std::size_t target = 0; target < Policy::minSimultaneousRemovals; ++target)
            site.begin({FaultKind::TargetLeaves, {}, {}, target, 0});
        Harness::pause(propagationLimit + Policy::unobservedExpiryGrace);

        auto &fleet = site.fleet();
        std::map<std::string, long long> noticedAt;
        for (const auto &instance : fleet.instances_) {
            for (const auto &[target, time] : timesOf("TargetMissing", instance->process_->log())) {
                if (!site.leftAt().contains(target))
                    continue;
                const auto [known, isNew] = noticedAt.emplace(target, time);
                known->second = std::min(known->second, time);
            }
        }
        const std::string log = fleet.instances_[hanging]->process_->log();
        const bool isJudged = log.find("name=StoreCallAbandoned") != std::string::npos;
        CPPUNIT_ASSERT_MESSAGE(fleet.directory() + ": no call hung", isJudged);
        const auto goneAt = timesOf("TargetGone", log);
        CPPUNIT_ASSERT_EQUAL(Policy::minSimultaneousRemovals, noticedAt.size());
        for (const auto &[target, time] : noticedAt) {
            CPPUNIT_ASSERT(goneAt.contains(target));
            const Milliseconds used(goneAt.at(target) - time);
            CPPUNIT_ASSERT_MESSAGE(target + " used for " + std::to_string(used.count()) + " ms",
                                   used <= Policy::unobservedExpiryGrace + graceSlack);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeaves);
