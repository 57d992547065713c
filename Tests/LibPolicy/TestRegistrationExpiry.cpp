#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;
using Policy::RemovedRegistration;
using Policy::StoreContact;
using Policy::StoreEvidence;
using Policy::StoreStanding;

constexpr std::uint64_t removedIn = 65;
const SteadyTime noticed{std::chrono::hours(1)};
const SteadyTime longBefore = noticed - std::chrono::minutes(10);

class TestRegistrationExpiry : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRegistrationExpiry);
    CPPUNIT_TEST(refusedInstanceFollowsAnInstanceThatTheStoreServed);
    CPPUNIT_TEST(graceEndsTwoSecondsAfterRecovery);
    CPPUNIT_TEST(earliestRecoveryCounts);
    CPPUNIT_TEST(removalReceivedFromAPeerIsNoEvidence);
    CPPUNIT_TEST(nonReaderConsidersARemovalALeave);
    CPPUNIT_TEST(freshInstanceConsidersARemovalALeaveAndIsNoEvidenceForOthers);
    CPPUNIT_TEST(simultaneousRemovalsAreKeptForTheGracePeriod);
    CPPUNIT_TEST(graceIsAtMostTheExpiryGrace);
    CPPUNIT_TEST(silentPeersAreNoEvidence);
    CPPUNIT_TEST_SUITE_END();

public:
    /// An instance that the store has answered since \a returned.
    static StoreStanding reached(SteadyTime recovered, std::uint64_t targetsRead)
    {
        return {StoreContact::Reached, recovered, recovered, targetsRead};
    }

    static StoreStanding refused() { return {.contact_ = StoreContact::Refused}; }

    static RemovedRegistration removal(bool isOneOfMany = false)
    {
        return {removedIn, noticed, isOneOfMany};
    }

    // Guards against taking an instance's own failed calls for an outage of the store.
    void refusedInstanceFollowsAnInstanceThatTheStoreServed()
    {
        const StoreEvidence alone{refused(), {}};
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), alone)
                       == noticed + Policy::registrationExpiryGrace);
        const StoreEvidence informed{refused(), {refused(), reached(longBefore, removedIn)}};
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), informed) < noticed);
    }

    // Guards against a grace period that is counted from the receipt of a removal.
    void graceEndsTwoSecondsAfterRecovery()
    {
        const auto recovered = noticed - Milliseconds(900);
        const StoreEvidence evidence{reached(recovered, removedIn), {}};
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), evidence)
                       == recovered + Policy::registrationExpiryGrace);
    }

    // Guards against waiting longer if another instance saw the store recover before this one.
    void earliestRecoveryCounts()
    {
        const auto first = noticed - Milliseconds(1500);
        const auto own = noticed - Milliseconds(200);
        const StoreEvidence evidence{reached(own, removedIn), {reached(first, removedIn)}};
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), evidence)
                       == first + Policy::registrationExpiryGrace);
    }

    // Guards against dropping expired targets on the report of a peer whose own call still hangs.
    void removalReceivedFromAPeerIsNoEvidence()
    {
        const auto hanging = reached(longBefore, removedIn - 5);
        const auto recovered = noticed - Milliseconds(100);
        const StoreEvidence reader{reached(recovered, removedIn), {hanging}};
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), reader)
                       == recovered + Policy::registrationExpiryGrace);
        // The instance with the hanging call follows the reader's report.
        const StoreEvidence follower{hanging, {reached(recovered, removedIn)}};
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), follower)
                       == recovered + Policy::registrationExpiryGrace);
    }

    void nonReaderConsidersARemovalALeave()
    {
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), {}) < noticed);
        const StoreEvidence evidence{{}, {reached(noticed, removedIn)}};
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), evidence)
                       == noticed + Policy::registrationExpiryGrace);
    }

    // Guards against considering an instance's start the store's recovery, or evidence that the
    // store was reachable.
    void freshInstanceConsidersARemovalALeaveAndIsNoEvidenceForOthers()
    {
        const auto started = noticed - Milliseconds(300);
        const StoreStanding fresh{StoreContact::Reached, started, Model::distantPast, removedIn};
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), {fresh, {}}) < noticed);
        const StoreEvidence other{refused(), {fresh}};
        CPPUNIT_ASSERT(Policy::usableUntil(removal(), other)
                       == started + Policy::registrationExpiryGrace);
    }

    // Guards against dropping all targets at once after an outage during which calls kept waiting.
    void simultaneousRemovalsAreKeptForTheGracePeriod()
    {
        const StoreEvidence calm{reached(longBefore, removedIn), {}};
        const auto until = Policy::usableUntil(removal(true), calm);
        CPPUNIT_ASSERT(until == noticed + Policy::unobservedExpiryGrace);
    }

    void graceIsAtMostTheExpiryGrace()
    {
        Support::assertProperty("a removed target is used for at most two seconds", [] {
            const auto standing = [] {
                const auto contact = *rc::gen::element(
                    StoreContact::NotAsked, StoreContact::Reached, StoreContact::Refused);
                const Milliseconds since(*rc::gen::inRange(-5000, 5000));
                const auto read = *rc::gen::inRange<std::uint64_t>(removedIn - 2, removedIn + 3);
                return StoreStanding{contact, noticed + since, noticed + since, read};
            };
            StoreEvidence evidence{standing(), {}};
            const int others = *rc::gen::inRange(0, 5);
            for (int i = 0; i < others; ++i)
                evidence.others_.push_back(standing());
            const auto until = Policy::usableUntil(removal(*rc::gen::arbitrary<bool>()), evidence);
            RC_ASSERT(until <= noticed + Policy::registrationExpiryGrace);
        });
    }

    // Guards against using the report of an instance that may have failed before the store did.
    void silentPeersAreNoEvidence()
    {
        Policy::Members members;
        for (const char *name : {"own", "living", "silent"}) {
            Policy::Member &member = members[Model::InstanceId(name)];
            member.instance_.id_ = Model::InstanceId(name);
            member.heartbeatAt_ = noticed - Milliseconds(100);
            member.heartbeatRecord_.store_ = StoreContact::Reached;
            member.heartbeatRecord_.storeAnswered_ = Milliseconds(5000);
            member.heartbeatRecord_.targetsRead_ = removedIn;
        }
        members[Model::InstanceId("silent")].heartbeatAt_ = longBefore;
        const auto standings = Policy::standingsOf(members, Model::InstanceId("own"), noticed);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), standings.size());
        CPPUNIT_ASSERT(standings[0].answeredSince_ == noticed - Milliseconds(5100));
        CPPUNIT_ASSERT_EQUAL(removedIn, standings[0].targetsRead_);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestRegistrationExpiry);
