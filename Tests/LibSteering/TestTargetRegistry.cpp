#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Fakes::InstanceFixture;
using Model::Microseconds;
using Model::Milliseconds;
using Model::TargetId;
using Steering::Placement;
using Steering::StoreTable;

const TargetId id("a");

/// Returns the registration of target "a" by the incarnation that started at \a startedAt.
Platform::StoredRow registration(std::uint64_t revision, std::uint64_t startedAt,
                                 std::uint64_t reports, const std::string &state = "ready")
{
    auto row = Fakes::target(id.value(), "gauging", "r-a", revision, state);
    *row.value_ += " " + std::to_string(startedAt) + " " + std::to_string(reports);
    return row;
}

class TestTargetRegistry : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetRegistry);
    CPPUNIT_TEST(laterIncarnationStartsWithFreshState);
    CPPUNIT_TEST(answersOfAnEarlierIncarnationDoNotCountForALaterOne);
    CPPUNIT_TEST(earlierIncarnationNeverReplacesALaterOne);
    CPPUNIT_TEST(restartedReportCountShowsALaterIncarnation);
    CPPUNIT_TEST(laterReportsOfOneIncarnationAreApplied);
    CPPUNIT_TEST(unreadableRegistrationNamesNoTarget);
    CPPUNIT_TEST(unreadableRegistrationIsLoggedOnce);
    CPPUNIT_TEST(anyOrderOfRegistrationsEndsAtTheLatestIncarnation);
    CPPUNIT_TEST(laterRegistrationAtAnAddressReplacesTheEarlierOne);
    CPPUNIT_TEST(registrationAtAForeignAddressIsDisprovedByARejection);
    CPPUNIT_TEST(fullTargetIsKnownToOthersAndUnknownOnesAreIgnored);
    CPPUNIT_TEST(graceOfRemovalsCountsFromTheFirstNoticeOfAnyInstance);
    CPPUNIT_TEST_SUITE_END();

public:
    static InstanceFixture instanceWith(const Platform::StoredRow &row)
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(3, 1);
        instance.setTargetRows(row.revision_.value(), {row});
        return instance;
    }

    static std::shared_ptr<Steering::TargetState> stateIn(const InstanceFixture &instance)
    {
        return instance.targetRegistry_.all().at(id);
    }

    // Guards against identifying an incarnation by the target id alone. A target that crashed while
    // it was leaving, and that registers again under the same id as a later incarnation, would
    // never get work. One that crashed otherwise would get requests as if its objects were still
    // loaded, and each takes three times as long as estimated.
    void laterIncarnationStartsWithFreshState()
    {
        auto instance = instanceWith(registration(5, 1000, 40, "draining"));
        const auto before = stateIn(instance);
        before->objects_[7] = instance.now_;
        before->ownInFlight_ = 3;
        before->isReplaced_ = true;
        Policy::noteUnreachable(before->reachability_, instance.now_);
        instance.setTargetRows(6, {registration(6, 2000, 1)});
        const auto after = stateIn(instance);
        CPPUNIT_ASSERT(after->takesWork());
        CPPUNIT_ASSERT(after->objects_.empty());
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), after->ownInFlight_);
        CPPUNIT_ASSERT(Policy::mayTry(after->reachability_, instance.now_));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), instance.targetRegistry_.takeRestarted().size());
        CPPUNIT_ASSERT(instance.targetRegistry_.takeRestarted().empty());
    }

    // Guards against counting answers by target id: a request is sent, the target crashes and
    // registers again, and the answer that was in transit arrives. The restarted target would be
    // considered warm, and busy with requests that it never received.
    void answersOfAnEarlierIncarnationDoNotCountForALaterOne()
    {
        auto instance = instanceWith(registration(5, 1000, 40));
        const auto requestContext = Fakes::requestContext(instance, "read", 7);
        const auto placed
            = std::get<Placement>(instance.placementEngine_.place(requestContext, instance.now_));
        instance.setTargetRows(6, {registration(6, 2000, 1)});
        instance.placementEngine_.noteAnswer(requestContext, placed, Microseconds(150000),
                                             instance.now_);
        instance.placementEngine_.noteNoAnswer(placed, instance.now_, true, instance.now_);
        const auto after = stateIn(instance);
        CPPUNIT_ASSERT(after->objects_.empty());
        CPPUNIT_ASSERT(Policy::mayTry(after->reachability_, instance.now_));
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, after->pace_.failureRate_, 1e-9);
    }

    // Guards against considering the newest row the newest incarnation: a delayed write of the
    // earlier incarnation reaches the store after the later incarnation's registration. A live
    // target would be dropped, or get requests at an address that it left.
    void earlierIncarnationNeverReplacesALaterOne()
    {
        auto instance = instanceWith(registration(5, 2000, 1));
        instance.setTargetRows(6, {registration(6, 1000, 41, "draining")});
        CPPUNIT_ASSERT(stateIn(instance)->takesWork());
        instance.setTargetRows(7, {registration(7, 2000, 2)});
        CPPUNIT_ASSERT(stateIn(instance)->takesWork());
        CPPUNIT_ASSERT(instance.targetRegistry_.takeRestarted().empty());
    }

    // The same as the first test, with targets that do not report their start time.
    void restartedReportCountShowsALaterIncarnation()
    {
        auto instance = instanceWith(registration(5, 0, 40, "draining"));
        instance.setTargetRows(6, {registration(6, 0, 41)});
        CPPUNIT_ASSERT(!stateIn(instance)->takesWork());
        instance.setTargetRows(7, {registration(7, 0, 1)});
        CPPUNIT_ASSERT(stateIn(instance)->takesWork());
    }

    // Guards against requests that reach a target 2.5 s after it reported that it is leaving. A
    // target that does not report its start time reports repeatedly, at last that it is leaving;
    // the lower count of the held report is mistaken for that of a later incarnation.
    void laterReportsOfOneIncarnationAreApplied()
    {
        for (const std::uint64_t startedAt : {0, 1000}) {
            auto instance = instanceWith(registration(5, startedAt, 40));
            instance.setTargetRows(6, {registration(6, startedAt, 41, "draining")});
            CPPUNIT_ASSERT(!stateIn(instance)->takesWork());
            CPPUNIT_ASSERT(instance.targetRegistry_.takeRestarted().empty());
        }
    }

    // Guards against sending requests to an address that no registration confirms, and against
    // losing all targets because of one damaged row. Another writer overwrites a target's
    // registration, and the target writes it again. The first happens if the previous row stays in
    // use, the second if one bad row rejects all.
    void unreadableRegistrationNamesNoTarget()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(3, 1);
        const auto other = Fakes::target("b", "gauging", "r-b", 4);
        instance.setTargetRows(5, {registration(5, 1000, 1), other});
        stateIn(instance)->objects_[7] = instance.now_;
        instance.setTargetRows(6, {Fakes::row("a", "\xff\xfe nonsense", 6), other});
        CPPUNIT_ASSERT(!stateIn(instance)->takesWork());
        CPPUNIT_ASSERT(instance.targetRegistry_.all().at(TargetId("b"))->takesWork());
        instance.setTargetRows(7, {registration(7, 1000, 2), other});
        CPPUNIT_ASSERT(stateIn(instance)->takesWork());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), stateIn(instance)->objects_.size());
    }

    // Guards against a log line for each damaged row on each change of any other row: a damaged row
    // stays in the store for hours, and each update would decode it again.
    void unreadableRegistrationIsLoggedOnce()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(3, 1);
        int decoded = 0;
        const auto decode = instance.port_.decodeTarget_;
        instance.port_.decodeTarget_ = [&](const Platform::StoredRow &row) {
            decoded += row.key_ == "bad" ? 1 : 0;
            return decode(row);
        };
        const auto bad = Fakes::row("bad", "", 2);
        for (std::uint64_t revision = 5; revision < 25; ++revision)
            instance.setTargetRows(revision, {registration(revision, 1000, revision), bad});
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

    static bool takesWork(const InstanceFixture &instance, const std::string &target)
    {
        return instance.targetRegistry_.all().at(TargetId(target))->takesWork();
    }

    // Guards against refusing a third of all callers for four seconds while slots are free. The
    // targets of a failure domain crash and restart at their addresses under new ids; the old
    // registrations stay until they expire, and requests for the old ids are rejected one by one at
    // each of 200 instances. This happens if an old registration stays valid although a later one
    // names its address.
    void laterRegistrationAtAnAddressReplacesTheEarlierOne()
    {
        for (const std::uint64_t startedAt : {0, 1000}) {
            auto instance = instanceWith(registration(5, startedAt, 40));
            const std::uint64_t later = startedAt == 0 ? 0 : startedAt + 1;
            const std::vector<Platform::StoredRow> both
                = {registration(5, startedAt, 40), atTheAddressOfA("z", 6, later)};
            instance.setTargetRows(6, both);
            CPPUNIT_ASSERT(!takesWork(instance, "a"));
            CPPUNIT_ASSERT(takesWork(instance, "z"));
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), instance.targetRegistry_.takeRestarted().size());
            // A late write of the earlier registration does not change that.
            instance.setTargetRows(7, {registration(7, startedAt, 41), both[1]});
            CPPUNIT_ASSERT(!takesWork(instance, "a"));
            CPPUNIT_ASSERT(instance.targetRegistry_.takeRestarted().empty());
        }
    }

    // Guards against a healthy target that gets no more work: another process registers a target
    // that does not exist at its address, the first request for that target is rejected there, and
    // the disproved registration stays in force.
    void registrationAtAForeignAddressIsDisprovedByARejection()
    {
        auto instance = instanceWith(registration(5, 1000, 40));
        instance.setTargetRows(6, {registration(5, 1000, 40), atTheAddressOfA("z", 6, 2000)});
        instance.targetRegistry_.all().at(TargetId("z"))->isReplaced_ = true;
        instance.dropMissing();
        CPPUNIT_ASSERT(takesWork(instance, "a"));
        const auto placed = instance.placementEngine_.place(
            Fakes::requestContext(instance, "read", 7), instance.now_);
        CPPUNIT_ASSERT(std::get<Placement>(placed).target_ == stateIn(instance));
    }

    void fullTargetIsKnownToOthersAndUnknownOnesAreIgnored()
    {
        auto sender = instanceWith(registration(5, 1000, 40));
        auto receiver = instanceWith(registration(5, 1000, 40));
        const auto &slots = stateIn(sender)->record_.slots_;
        Policy::learnLoad(stateIn(sender)->sharedLoad_, 9, slots, sender.now_);
        auto loads = sender.targetRegistry_.loadsToSend(sender.now_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), loads.size());
        loads.push_back({12345, 9, Milliseconds(0)});
        receiver.targetRegistry_.receiveLoads(loads, receiver.now_);
        const auto &receivedLoad = stateIn(receiver)->sharedLoad_;
        CPPUNIT_ASSERT_DOUBLES_EQUAL(9, Policy::peerLoadByUpdates(receivedLoad, 0, receiver.now_),
                                     1e-9);
        // A request would now have to wait there.
        const auto placed = receiver.placementEngine_.place(
            Fakes::requestContext(receiver, "read", 7), receiver.now_);
        const auto *placement = std::get_if<Placement>(&placed);
        CPPUNIT_ASSERT(!placement || placement->load_ >= 9);
    }

    // Guards against a grace period that starts with a late update: the store's rows arrive first,
    // and only then a peer reports that it noticed the removals much earlier.
    void graceOfRemovalsCountsFromTheFirstNoticeOfAnyInstance()
    {
        const std::vector<std::string> removed = {"a", "b", "c"};
        InstanceFixture instance("r-a");
        instance.setOperatorRows(3, 1);
        std::vector<Platform::StoredRow> registrations;
        for (const auto &target : removed)
            registrations.push_back(Fakes::target(target, "gauging", "r-a", 4));
        instance.setTargetRows(4, registrations);
        instance.setTargetRows(5, {});
        CPPUNIT_ASSERT(takesWork(instance, "a"));
        const Milliseconds noticedBefore = Policy::unobservedExpiryGrace - Milliseconds(100);
        Steering::RemovalAges ages;
        for (const auto &target : removed)
            ages[target] = noticedBefore;
        instance.targetRegistry_.receiveRemovals(ages, instance.now_);
        instance.now_ += Milliseconds(100);
        CPPUNIT_ASSERT(instance.dropMissing());
        CPPUNIT_ASSERT(instance.targetRegistry_.all().empty());
    }

    void anyOrderOfRegistrationsEndsAtTheLatestIncarnation()
    {
        Support::assertProperty("the latest run is in force, unless it is leaving", [] {
            InstanceFixture instance("r-a");
            instance.setOperatorRows(3, 1);
            std::uint64_t latest = 0;
            bool isLeaving = false;
            for (std::uint64_t revision = 5; revision < 15; ++revision) {
                const auto startedAt = *rc::gen::inRange<std::uint64_t>(1, 5);
                const bool leaves = *rc::gen::arbitrary<bool>();
                const bool isDamaged = *rc::gen::inRange(0, 4) == 0;
                if (isDamaged) {
                    instance.setTargetRows(revision, {Fakes::row("a", "?", revision)});
                    continue;
                }
                instance.setTargetRows(revision, {registration(revision, startedAt, revision,
                                                               leaves ? "draining" : "ready")});
                if (startedAt >= latest) {
                    isLeaving = leaves || (startedAt == latest && isLeaving);
                    latest = startedAt;
                }
                const auto &record = stateIn(instance)->record_;
                RC_ASSERT(record.incarnation_.value() == latest);
                RC_ASSERT(record.isLeaving_ == isLeaving);
            }
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetRegistry);
