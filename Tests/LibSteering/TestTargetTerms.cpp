#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Fakes::InstanceFixture;
using Model::Milliseconds;
using Steering::Placement;
using Steering::Refusal;

constexpr Milliseconds pause{3000};

/// The registrations of targets "a", "b" and "c", each by the incarnation that started at
/// \a startedAt.
std::vector<Platform::StoredRow> registrations(std::uint64_t revision, std::uint64_t startedAt)
{
    std::vector<Platform::StoredRow> rows;
    for (const char *id : {"a", "b", "c"}) {
        rows.push_back(Fakes::target(id, "gauging", "r-a", revision));
        *rows.back().value_ += " " + std::to_string(startedAt) + " 40";
    }
    return rows;
}

class TestTargetTerms : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetTerms);
    CPPUNIT_TEST(pausingTargetIsNotChosen);
    CPPUNIT_TEST(callersAreToldTheSoonestEndIfAllTargetsPause);
    CPPUNIT_TEST(targetThatWasTriedIsNoReasonToWaitForAPause);
    CPPUNIT_TEST(oneRequestShowsWhetherATargetTakesWorkAgain);
    CPPUNIT_TEST(termsOutliveALapsedRegistration);
    CPPUNIT_TEST(laterIncarnationOwesNothing);
    CPPUNIT_TEST(announcedLeaveOutlivesEveryRegistrationOfItsIncarnation);
    CPPUNIT_TEST_SUITE_END();

public:
    static InstanceFixture instanceWithTargets()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(3, 1);
        instance.setTargetRows(5, registrations(5, 1000));
        return instance;
    }

    static Steering::TargetState &target(const InstanceFixture &instance, const std::string &id)
    {
        return *instance.targetRegistry_.all().at(Model::TargetId(id));
    }

    static void pauseTarget(const InstanceFixture &instance, const std::string &id,
                            Milliseconds time)
    {
        Policy::notePause(target(instance, id).pause_, time, Policy::initialReturnWindow,
                          instance.now_);
    }

    static std::variant<Placement, Refusal> place(InstanceFixture &instance, std::uint64_t object)
    {
        const auto request = Fakes::requestContext(instance, "read", object);
        return instance.placementEngine_.place(request, instance.now_);
    }

    // Guards against sending requests to a target that refuses at once and so looks idle.
    void pausingTargetIsNotChosen()
    {
        auto instance = instanceWithTargets();
        pauseTarget(instance, "a", pause);
        instance.now_ += pause - Milliseconds(1);
        for (std::uint64_t object = 0; object < 50; ++object) {
            const auto placed = place(instance, object);
            CPPUNIT_ASSERT(std::get<Placement>(placed).target_->record_.id_.value() != "a");
        }
    }

    // Guards against a refusal that tells callers to come back before any target takes a request.
    void callersAreToldTheSoonestEndIfAllTargetsPause()
    {
        auto instance = instanceWithTargets();
        for (const char *id : {"a", "b", "c"})
            pauseTarget(instance, id, pause + (id[0] == 'b' ? Milliseconds(0) : Milliseconds(900)));
        instance.now_ += Milliseconds(1000);
        const auto placed = place(instance, 7);
        const auto &refusal = std::get<Refusal>(placed);
        CPPUNIT_ASSERT(refusal.code_ == Model::ResultCode::NoTarget);
        CPPUNIT_ASSERT(refusal.retryAfter_ >= Milliseconds(2000));
        CPPUNIT_ASSERT(refusal.retryAfter_ <= Milliseconds(2000) + Policy::pauseReturnSpread);
    }

    // Guards against holding a caller off for the pauses of other targets although one that takes
    // work has only refused this attempt.
    void targetThatWasTriedIsNoReasonToWaitForAPause()
    {
        auto instance = instanceWithTargets();
        pauseTarget(instance, "a", pause);
        pauseTarget(instance, "b", pause);
        auto request = Fakes::requestContext(instance, "read", 7);
        request.tried_.emplace_back("c");
        const auto placed = instance.placementEngine_.place(request, instance.now_);
        CPPUNIT_ASSERT(std::get<Refusal>(placed).retryAfter_ < Milliseconds(1000));
    }

    // Guards against sending all waiting requests to a target as soon as its pause ends.
    void oneRequestShowsWhetherATargetTakesWorkAgain()
    {
        auto instance = instanceWithTargets();
        for (const char *id : {"a", "b", "c"})
            pauseTarget(instance, id, pause);
        instance.now_ += pause;
        std::map<std::string, int> placed;
        for (std::uint64_t object = 0; object < 50; ++object) {
            const auto result = place(instance, object);
            if (const auto *placement = std::get_if<Placement>(&result)) {
                ++placement->target_->ownInFlight_;
                ++placed[placement->target_->record_.id_.value()];
            }
        }
        for (const char *id : {"a", "b", "c"})
            CPPUNIT_ASSERT_EQUAL(1, placed[id]);
    }

    /// Has the registrations expire during an outage of the store, beyond the grace period, and
    /// return.
    static void lapseAndReturn(InstanceFixture &instance, std::uint64_t startedAt)
    {
        instance.setTargetRows(6, {});
        instance.now_ += Milliseconds(1500);
        instance.dropMissing();
        CPPUNIT_ASSERT(instance.targetRegistry_.all().empty());
        instance.setTargetRows(7, registrations(7, startedAt));
    }

    // Guards against forgetting what a target asked for while its registration is missing: under
    // the same id the same incarnation returns.
    void termsOutliveALapsedRegistration()
    {
        auto instance = instanceWithTargets();
        pauseTarget(instance, "a", pause);
        Policy::learnLimit(target(instance, "b").limit_, Model::RequestsPerSecond(2), instance.now_,
                           instance.now_, instance.now_);
        lapseAndReturn(instance, 1000);
        CPPUNIT_ASSERT(Policy::pauseLeft(target(instance, "a").pause_, instance.now_)
                       == pause - Milliseconds(1500));
        CPPUNIT_ASSERT(target(instance, "b").limit_.rate_);
        CPPUNIT_ASSERT(!target(instance, "c").limit_.rate_);
    }

    // Guards against a registration, old or renewed, that takes back a leave which the target has
    // announced in an answer.
    void announcedLeaveOutlivesEveryRegistrationOfItsIncarnation()
    {
        auto instance = instanceWithTargets();
        instance.targetRegistry_.noteLeave(Model::TargetId("a"), "answer at a peer", instance.now_);
        CPPUNIT_ASSERT(!target(instance, "a").takesWork());
        instance.dropMissing();
        const auto *targets = instance.targetRegistry_.service(Model::ServiceId("gauging"));
        std::size_t inUse = 0;
        for (const auto &domain : targets->byDomain_)
            inUse += domain.size();
        CPPUNIT_ASSERT_EQUAL(std::size_t(2), inUse);
        instance.setTargetRows(6, registrations(6, 1000));
        CPPUNIT_ASSERT(!target(instance, "a").takesWork());
        instance.setTargetRows(7, {});
        instance.now_ += Milliseconds(1500);
        instance.dropMissing();
        CPPUNIT_ASSERT(instance.targetRegistry_.all().empty());
        instance.setTargetRows(8, registrations(8, 1000));
        CPPUNIT_ASSERT(!target(instance, "a").takesWork());
        CPPUNIT_ASSERT(target(instance, "b").takesWork());
    }

    // Guards against holding a restarted target to what an earlier incarnation asked for.
    void laterIncarnationOwesNothing()
    {
        auto instance = instanceWithTargets();
        pauseTarget(instance, "a", pause);
        instance.targetRegistry_.noteLeave(target(instance, "a"), "answer", instance.now_);
        lapseAndReturn(instance, 2000);
        CPPUNIT_ASSERT(target(instance, "a").takesWork());
        CPPUNIT_ASSERT(Policy::isPauseOver(target(instance, "a").pause_, 0, instance.now_));
        pauseTarget(instance, "a", pause);
        instance.setTargetRows(8, registrations(8, 3000));
        CPPUNIT_ASSERT(Policy::isPauseOver(target(instance, "a").pause_, 0, instance.now_));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetTerms);
