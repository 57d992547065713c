#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Fakes::Brain;
using Model::Microseconds;
using Model::Milliseconds;
using Model::TargetId;
using Steering::Placement;
using Steering::StoreTable;

const TargetId id("a");

/// The registration of target "a" by the run that started at \a startedAt.
Platform::StoredRow registration(std::uint64_t revision, std::uint64_t startedAt,
                                 std::uint64_t reports, const std::string &state = "ready")
{
    auto row = Fakes::target(id.value(), "gauging", "r-a", revision, state);
    *row.value_ += " " + std::to_string(startedAt) + " " + std::to_string(reports);
    return row;
}

class TestTargetBook : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetBook);
    CPPUNIT_TEST(laterRunStartsWithNothingHeldForOrAgainstIt);
    CPPUNIT_TEST(answersOfTheEarlierRunTeachNothingOfTheLater);
    CPPUNIT_TEST(earlierRunNeverReplacesALaterOne);
    CPPUNIT_TEST(reportsCountedAnewShowALaterRun);
    CPPUNIT_TEST(laterReportsOfOneRunAreTakenIn);
    CPPUNIT_TEST(unreadableRegistrationNamesNoTarget);
    CPPUNIT_TEST(unreadableRegistrationIsLoggedOnce);
    CPPUNIT_TEST(anyOrderOfRegistrationsEndsAtTheLatestRun);
    CPPUNIT_TEST(laterRegistrationAtAnAddressEndsTheOneBefore);
    CPPUNIT_TEST(registrationAtAForeignAddressHarmsNobodyForLong);
    CPPUNIT_TEST(fullTargetIsKnownToOthersAndUnknownOnesAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    static Brain informed(const Platform::StoredRow &row)
    {
        Brain brain("r-a");
        brain.tellOperators(3, 1);
        brain.tellTargets(row.revision_.value(), {row});
        return brain;
    }

    static std::shared_ptr<Steering::TargetState> stateIn(const Brain &brain)
    {
        return brain.book_.all().at(id);
    }

    // Symptom: a target that crashed while it was leaving and came back gets no work for ever;
    // another one gets requests as if it still knew their objects, and each takes three times as
    // long as was promised.
    // Sequence: it registers again under the id that it had, as a later run.
    // Cause: taking the id for the run.
    void laterRunStartsWithNothingHeldForOrAgainstIt()
    {
        auto brain = informed(registration(5, 1000, 40, "draining"));
        const auto before = stateIn(brain);
        before->objects_[7] = brain.now_;
        before->ownInFlight_ = 3;
        before->isReplaced_ = true;
        Policy::noteUnreachable(before->reachability_, brain.now_);
        brain.tellTargets(6, {registration(6, 2000, 1)});
        const auto after = stateIn(brain);
        CPPUNIT_ASSERT(after->takesWork());
        CPPUNIT_ASSERT(after->objects_.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), after->ownInFlight_);
        CPPUNIT_ASSERT(Policy::mayTry(after->reachability_, brain.now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), brain.book_.takeRestarted().size());
        CPPUNIT_ASSERT(brain.book_.takeRestarted().empty());
    }

    // Symptom: a restarted target is taken for warm, and for busy with requests that it never got.
    // Sequence: a request is sent; the target crashes and registers again; the answer, which was on
    // its way, comes in.
    // Cause: answers counted by the target's id.
    void answersOfTheEarlierRunTeachNothingOfTheLater()
    {
        auto brain = informed(registration(5, 1000, 40));
        const auto job = Fakes::job(brain, "read", 7);
        const auto placed = std::get<Placement>(brain.placer_.place(job, brain.now_));
        brain.tellTargets(6, {registration(6, 2000, 1)});
        brain.placer_.noteAnswer(job, placed, Microseconds(150000), brain.now_);
        brain.placer_.noteSilence(placed, brain.now_, true, brain.now_);
        const auto after = stateIn(brain);
        CPPUNIT_ASSERT(after->objects_.empty());
        CPPUNIT_ASSERT(Policy::mayTry(after->reachability_, brain.now_));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, after->pace_.failureRate_, 1e-9);
    }

    // Symptom: a live target is given up, or gets requests at an address that it left.
    // Sequence: a write of its earlier run, which was held up, reaches the store after the later
    // run's registration.
    // Cause: the newest row taken for the newest run.
    void earlierRunNeverReplacesALaterOne()
    {
        auto brain = informed(registration(5, 2000, 1));
        brain.tellTargets(6, {registration(6, 1000, 41, "draining")});
        CPPUNIT_ASSERT(stateIn(brain)->takesWork());
        brain.tellTargets(7, {registration(7, 2000, 2)});
        CPPUNIT_ASSERT(stateIn(brain)->takesWork());
        CPPUNIT_ASSERT(brain.book_.takeRestarted().empty());
    }

    // The same as the first, where targets do not tell when they started.
    void reportsCountedAnewShowALaterRun()
    {
        auto brain = informed(registration(5, 0, 40, "draining"));
        brain.tellTargets(6, {registration(6, 0, 41)});
        CPPUNIT_ASSERT(!stateIn(brain)->takesWork());
        brain.tellTargets(7, {registration(7, 0, 1)});
        CPPUNIT_ASSERT(stateIn(brain)->takesWork());
    }

    // Symptom: requests reach a target 2.5 s after it said that it leaves.
    // Sequence: a target that does not tell when it started reports again and again, at last that
    // it leaves.
    // Cause: a held report with a lower count taken for that of a later run.
    void laterReportsOfOneRunAreTakenIn()
    {
        for (const std::uint64_t startedAt : {0, 1000}) {
            auto brain = informed(registration(5, startedAt, 40));
            brain.tellTargets(6, {registration(6, startedAt, 41, "draining")});
            CPPUNIT_ASSERT(!stateIn(brain)->takesWork());
            CPPUNIT_ASSERT(brain.book_.takeRestarted().empty());
        }
    }

    // Symptom: requests go to an address that nobody vouches for; or all targets are lost because
    // one row is damaged.
    // Sequence: somebody else writes over a target's registration; the target writes it again.
    // Cause: using on what was known before, or refusing all rows for one.
    void unreadableRegistrationNamesNoTarget()
    {
        Brain brain("r-a");
        brain.tellOperators(3, 1);
        const auto other = Fakes::target("b", "gauging", "r-b", 4);
        brain.tellTargets(5, {registration(5, 1000, 1), other});
        stateIn(brain)->objects_[7] = brain.now_;
        brain.tellTargets(6, {Fakes::row("a", "\xff\xfe nonsense", 6), other});
        CPPUNIT_ASSERT(!stateIn(brain)->takesWork());
        CPPUNIT_ASSERT(brain.book_.all().at(TargetId("b"))->takesWork());
        brain.tellTargets(7, {registration(7, 1000, 2), other});
        CPPUNIT_ASSERT(stateIn(brain)->takesWork());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stateIn(brain)->objects_.size());
    }

    // Symptom: the log fills with one line for each damaged row at each change of any other.
    // Sequence: a damaged row stays in the store for hours.
    // Cause: reading it again with every update.
    void unreadableRegistrationIsLoggedOnce()
    {
        Brain brain("r-a");
        brain.tellOperators(3, 1);
        int decoded = 0;
        const auto decode = brain.port_.decodeTarget_;
        brain.port_.decodeTarget_ = [&](const Platform::StoredRow &row) {
            decoded += row.key_ == "bad" ? 1 : 0;
            return decode(row);
        };
        const auto bad = Fakes::row("bad", "", 2);
        for (std::uint64_t revision = 5; revision < 25; ++revision)
            brain.tellTargets(revision, {registration(revision, 1000, revision), bad});
        CPPUNIT_ASSERT_EQUAL(1, decoded);
    }

    /// Registers target \a newer at the address of target "a".
    static Platform::StoredRow atTheAddressOfA(const std::string &newer, std::uint64_t revision,
                                               std::uint64_t startedAt)
    {
        auto row = registration(revision, startedAt, 1);
        row.key_ = newer;
        return row;
    }

    static bool takesWork(const Brain &brain, const std::string &target)
    {
        return brain.book_.all().at(TargetId(target))->takesWork();
    }

    // Symptom: a third of all callers is refused for four seconds beside free slots.
    // Sequence: the targets of a failure domain crash and come back at their addresses under new
    //   ids; the old registrations stay until they lapse, and requests meant for the old ids are
    //   turned away one by one at each of two hundred instances.
    // Cause: believing an old registration though a later one names its address.
    void laterRegistrationAtAnAddressEndsTheOneBefore()
    {
        for (const std::uint64_t startedAt : {0, 1000}) {
            auto brain = informed(registration(5, startedAt, 40));
            const std::uint64_t later = startedAt == 0 ? 0 : startedAt + 1;
            const std::vector<Platform::StoredRow> both
                = {registration(5, startedAt, 40), atTheAddressOfA("z", 6, later)};
            brain.tellTargets(6, both);
            CPPUNIT_ASSERT(!takesWork(brain, "a"));
            CPPUNIT_ASSERT(takesWork(brain, "z"));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), brain.book_.takeRestarted().size());
            // A late write of the first one changes nothing of that.
            brain.tellTargets(7, {registration(7, startedAt, 41), both[1]});
            CPPUNIT_ASSERT(!takesWork(brain, "a"));
            CPPUNIT_ASSERT(brain.book_.takeRestarted().empty());
        }
    }

    // Symptom: a sound target gets no work any more.
    // Sequence: somebody registers a target that does not exist at its address; the first request
    //   for that one is turned away there.
    // Cause: keeping to a registration that has shown to be wrong.
    void registrationAtAForeignAddressHarmsNobodyForLong()
    {
        auto brain = informed(registration(5, 1000, 40));
        brain.tellTargets(6, {registration(5, 1000, 40), atTheAddressOfA("z", 6, 2000)});
        brain.book_.all().at(TargetId("z"))->isReplaced_ = true;
        brain.dropMissing();
        CPPUNIT_ASSERT(takesWork(brain, "a"));
        const auto placed = brain.placer_.place(Fakes::job(brain, "read", 7), brain.now_);
        CPPUNIT_ASSERT(std::get<Placement>(placed).target_ == stateIn(brain));
    }

    void fullTargetIsKnownToOthersAndUnknownOnesAreIgnored()
    {
        auto teller = informed(registration(5, 1000, 40));
        auto hearer = informed(registration(5, 1000, 40));
        const auto &slots = stateIn(teller)->record_.slots_;
        Policy::learnLoad(stateIn(teller)->sharedLoad_, 9, slots, teller.now_);
        auto told = teller.book_.loadsToTell(teller.now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), told.size());
        told.push_back({12345, 9, Milliseconds(0)});
        hearer.book_.hearLoads(told, hearer.now_);
        const auto &heard = stateIn(hearer)->sharedLoad_;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9, Policy::othersByNews(heard, 0, hearer.now_), 1e-9);
        // A request is expected to wait there now.
        const auto placed = hearer.placer_.place(Fakes::job(hearer, "read", 7), hearer.now_);
        const auto *placement = std::get_if<Placement>(&placed);
        CPPUNIT_ASSERT(!placement || placement->load_ >= 9);
    }

    void anyOrderOfRegistrationsEndsAtTheLatestRun()
    {
        Support::assertProperty("the latest run is in force, unless it is leaving", [] {
            Brain brain("r-a");
            brain.tellOperators(3, 1);
            std::uint64_t latest = 0;
            bool isLeaving = false;
            for (std::uint64_t revision = 5; revision < 15; ++revision) {
                const auto startedAt = *rc::gen::inRange<std::uint64_t>(1, 5);
                const bool leaves = *rc::gen::arbitrary<bool>();
                const bool isDamaged = *rc::gen::inRange(0, 4) == 0;
                if (isDamaged) {
                    brain.tellTargets(revision, {Fakes::row("a", "?", revision)});
                    continue;
                }
                brain.tellTargets(revision, {registration(revision, startedAt, revision,
                                                          leaves ? "draining" : "ready")});
                if (startedAt >= latest) {
                    isLeaving = leaves || (startedAt == latest && isLeaving);
                    latest = startedAt;
                }
                const auto &record = stateIn(brain)->record_;
                RC_ASSERT(record.incarnation_.value() == latest);
                RC_ASSERT(record.isLeaving_ == isLeaving);
            }
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetBook);
