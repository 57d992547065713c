#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Fakes::InstanceFixture;
using Model::Milliseconds;
using Steering::StoreTable;

class TestPlatformState : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlatformState);
    CPPUNIT_TEST(lowerVersionIsNeverApplied);
    CPPUNIT_TEST(invalidTableKeepsThePreviousOneInForce);
    CPPUNIT_TEST(valueOutOfRangeCostsNoOtherChange);
    CPPUNIT_TEST(drainHoldsBesideAnUnusableTable);
    CPPUNIT_TEST(drainHoldsBesideAnOlderVersion);
    CPPUNIT_TEST(changedTermsReachTheTable);
    CPPUNIT_TEST(peersSendNewerRows);
    CPPUNIT_TEST(binaryRowsReachPeers);
    CPPUNIT_TEST(peerWithTheSameRowsIsNotBehind);
    CPPUNIT_TEST(staleStoreAnswerIsIgnored);
    CPPUNIT_TEST(leavingTargetGetsNoRequestsAfterAStaleRow);
    CPPUNIT_TEST(unregisteredTargetIsDroppedAtOnce);
    CPPUNIT_TEST(expiredTargetsAreUsedUntilTheyRegisterAgain);
    CPPUNIT_TEST(expiredTargetsThatDoNotReturnAreDropped);
    CPPUNIT_TEST(targetsThatUnregisterTogetherAreDroppedInTime);
    CPPUNIT_TEST(lateRemovalUpdateDoesNotExtendTheGracePeriod);
    CPPUNIT_TEST(newRegistrationResetsTheRemovalAge);
    CPPUNIT_TEST(removalAgeIsKeptUntilTheRemovalIsRead);
    CPPUNIT_TEST(removalAgesReachPeersAndInvalidOnesAreIgnored);
    CPPUNIT_TEST(removalLongAfterAnOutageHasNoGracePeriod);
    CPPUNIT_TEST(targetThatLeavesAfterTheStoreReturnsIsDroppedInTime);
    CPPUNIT_TEST(drainedDomainGetsNoRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::size_t usable(const InstanceFixture &instance, const char *service)
    {
        const auto *targets = instance.targetRegistry_.service(Model::ServiceId(service));
        std::size_t count = 0;
        for (std::size_t i = 0; targets && i < targets->byDomain_.size(); ++i)
            count += targets->byDomain_[i].size();
        return count;
    }

    static std::vector<Platform::StoredRow> fourTargets()
    {
        return {Fakes::target("a", "gauging", "r-a", 1), Fakes::target("b", "gauging", "r-b", 1),
                Fakes::target("c", "gauging", "s-a", 1), Fakes::target("d", "gauging", "t-b", 1)};
    }

    // Guards against the loss of an accepted edit at one instance: the store's answer is refused
    // here, a peer that is behind offers its older table, and the last table received replaces the
    // newest.
    void lowerVersionIsNeverApplied()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        instance.setOperatorRows(5, 10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), instance.platformState_.table()->version().value());
        // A lower version in a newer row is also refused.
        instance.setOperatorRows(6, 30);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), instance.platformState_.table()->version().value());
    }

    void invalidTableKeepsThePreviousOneInForce()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        instance.platformState_.replace(
            StoreTable::Operators,
            Fakes::rows(30, {Fakes::row("table", "version 8\n[route x]\nhost = h\n", 30)}), "test");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), instance.platformState_.table()->version().value());
    }

    // Guards against the loss of an accepted table for one value beyond its column's range.
    void valueOutOfRangeCostsNoOtherChange()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        instance.platformState_.replace(
            StoreTable::Operators,
            Fakes::rows(30, {Fakes::row("table",
                                        Fakes::operatorsText(8)
                                            + "[route report]\nhost = h\nprefix = /report/\n"
                                              "services = gauging\ntimeout_ms = 900000000\n",
                                        30)}),
            "test");
        const auto &table = *instance.platformState_.table();
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(8), table.version().value());
        const auto *route = table.routes().find("h", "/report/7");
        CPPUNIT_ASSERT(route);
        CPPUNIT_ASSERT(route->timeout_ == Milliseconds(86400000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), instance.platformState_.fittedCells());
    }

    // Guards against requests to a drained domain because the drain came with a table that cannot
    // be used.
    void drainHoldsBesideAnUnusableTable()
    {
        for (const char *table : {"version 8\n[route x]\nhost = h\n", "no version"}) {
            InstanceFixture instance("r-a");
            instance.setOperatorRows(7, 20);
            instance.platformState_.replace(
                StoreTable::Operators,
                Fakes::rows(30, {Fakes::row("table", table, 30), Fakes::row("drain s-a", "", 30)}),
                "test");
            CPPUNIT_ASSERT_EQUAL(std::uint64_t(7),
                                 instance.platformState_.table()->version().value());
            CPPUNIT_ASSERT(
                instance.platformState_.drained().contains(Model::FailureDomainId("s-a")));
            const auto *domain
                = instance.platformState_.table()->domain(Model::FailureDomainId("s-a"));
            CPPUNIT_ASSERT(domain && domain->drainStart_);
            instance.platformState_.replace(
                StoreTable::Operators, Fakes::rows(31, {Fakes::row("table", table, 30)}), "test");
            CPPUNIT_ASSERT(instance.platformState_.drained().empty());
        }
    }

    // Guards against the same beside a table of a lower version.
    void drainHoldsBesideAnOlderVersion()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        instance.setOperatorRows(6, 30, {"s-a"});
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), instance.platformState_.table()->version().value());
        CPPUNIT_ASSERT(instance.platformState_.drained().contains(Model::FailureDomainId("s-a")));
    }

    // Guards against a shift cap that changes only with the next configuration.
    void changedTermsReachTheTable()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        instance.port_.terms_.regionShiftCap_ = Model::SharePerSecond(0.02);
        instance.platformState_.termsChanged();
        const auto *service = instance.platformState_.table()->service(Model::ServiceId("gauging"));
        CPPUNIT_ASSERT(service);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.02, service->regionShiftCap_.value(), 1e-9);
    }

    void peersSendNewerRows()
    {
        InstanceFixture upToDate("r-a");
        upToDate.setOperatorRows(7, 20, {"s-a"});
        upToDate.setTargetRows(21, fourTargets());
        InstanceFixture partitioned("r-b");
        partitioned.setOperatorRows(6, 12);
        const std::string encoded
            = upToDate.platformState_.encodeForPeer(partitioned.platformState_.knownRevisions());
        CPPUNIT_ASSERT(partitioned.platformState_.applyFromPeer(encoded, "peer"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7),
                             partitioned.platformState_.table()->version().value());
        CPPUNIT_ASSERT(
            partitioned.platformState_.drained().contains(Model::FailureDomainId("s-a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                             partitioned.platformState_.replica(StoreTable::Targets).rows().size());
        CPPUNIT_ASSERT(!partitioned.platformState_.applyFromPeer(encoded, "peer"));
        CPPUNIT_ASSERT(!partitioned.platformState_.applyFromPeer("nonsense", "peer"));
        CPPUNIT_ASSERT(
            !partitioned.platformState_.applyFromPeer(R"({"operators":{"rows":3}})", "peer"));
    }

    // Guards against instances that crash one after the other, each when a peer requests its rows:
    // another program has written a registration that is not valid text, which JSON cannot encode.
    void binaryRowsReachPeers()
    {
        InstanceFixture upToDate("r-a");
        upToDate.setOperatorRows(7, 20);
        auto list = fourTargets();
        list.push_back(Fakes::row("e", std::string("\xff\x00\xc3", 3), 21));
        upToDate.setTargetRows(21, list);
        InstanceFixture other("r-b");
        CPPUNIT_ASSERT(other.platformState_.applyFromPeer(
            upToDate.platformState_.encodeForPeer(other.platformState_.knownRevisions()), "peer"));
        const auto &rows = other.platformState_.replica(StoreTable::Targets).rows();
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("\xff\x00\xc3", 3), *rows.at("e").value_);
    }

    // Guards against instances that request rows from each other ten times a second although
    // nothing changes: two read the store at different moments, and the revisions of these reads
    // are compared.
    void peerWithTheSameRowsIsNotBehind()
    {
        const auto lastChanges = [](const InstanceFixture &instance) {
            return Steering::KnownRevisions{
                instance.platformState_.replica(StoreTable::Operators).lastChange(),
                instance.platformState_.replica(StoreTable::Targets).lastChange()};
        };
        InstanceFixture early("r-a");
        early.setOperatorRows(7, 20);
        early.setTargetRows(21, fourTargets());
        InstanceFixture late("r-b");
        late.setOperatorRows(7, 20);
        late.setTargetRows(40, fourTargets());
        CPPUNIT_ASSERT(!early.platformState_.isBehind(lastChanges(late)));
        CPPUNIT_ASSERT(!late.platformState_.isBehind(lastChanges(early)));
        late.platformState_.apply(StoreTable::Targets,
                                  Fakes::rows(45, {Fakes::target("e", "gauging", "r-a", 45)}),
                                  "test");
        CPPUNIT_ASSERT(early.platformState_.isBehind(lastChanges(late)));
        CPPUNIT_ASSERT(early.platformState_.applyFromPeer(
            late.platformState_.encodeForPeer(early.platformState_.knownRevisions()), "peer"));
        CPPUNIT_ASSERT(!early.platformState_.isBehind(lastChanges(late)));
    }

    // Guards against using a target again that has left: while a call waits at the store, a peer
    // reports the leaving; the call's late answer, at an older revision, has the older row.
    void staleStoreAnswerIsIgnored()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        instance.setTargetRows(21, fourTargets());
        auto list = fourTargets();
        list[0] = Fakes::target("a", "gauging", "r-a", 40, "draining");
        instance.setTargetRows(40, list);
        instance.platformState_.apply(StoreTable::Targets,
                                      Fakes::rows(30, {Fakes::target("a", "gauging", "r-a", 30)}),
                                      "test");
        instance.update();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(instance, "gauging"));
    }

    void leavingTargetGetsNoRequestsAfterAStaleRow()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        instance.setTargetRows(21, {Fakes::target("a", "gauging", "r-a", 21, "draining")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable(instance, "gauging"));
        instance.setTargetRows(22, {Fakes::target("a", "gauging", "r-a", 20)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable(instance, "gauging"));
    }

    void unregisteredTargetIsDroppedAtOnce()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        auto list = fourTargets();
        instance.setTargetRows(21, list);
        list.pop_back();
        instance.setTargetRows(22, list);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(instance, "gauging"));
    }

    // Guards against refusing every request for two seconds after a store outage: the outage
    // outlasts the registrations' time to live, the store returns without them, and the targets,
    // which never stopped, register again within two seconds. An expired registration is not a
    // departure.
    void expiredTargetsAreUsedUntilTheyRegisterAgain()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        instance.setTargetRows(21, fourTargets());
        instance.disconnectStore();
        instance.now_ += Milliseconds(5000);
        instance.reconnectStore();
        instance.setTargetRows(22, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(instance, "gauging"));
        instance.now_ += Milliseconds(1800);
        instance.dropMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(instance, "gauging"));
        instance.setTargetRows(30, fourTargets());
        instance.now_ += Milliseconds(5000);
        instance.dropMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(instance, "gauging"));
    }

    // Guards against sending requests to a target that left during a store outage: as above, but
    // one target does not register again, and the wait for it has no limit.
    void expiredTargetsThatDoNotReturnAreDropped()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        instance.setTargetRows(21, fourTargets());
        instance.disconnectStore();
        instance.reconnectStore();
        instance.setTargetRows(22, {});
        instance.now_ += Milliseconds(1000);
        auto list = fourTargets();
        list.pop_back();
        instance.setTargetRows(23, list);
        instance.now_ += Policy::registrationExpiryGrace;
        CPPUNIT_ASSERT(instance.dropMissing());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(instance, "gauging"));
    }

    // Guards against a request that reaches a target 2.52 s after the store recorded its removal;
    // the limit is 2.5 s. Three targets unregister at the same moment without announcing it, the
    // store has not failed, and changes are batched for half a second. Two seconds of grace for
    // apparently expired registrations, on top of the propagation time, exceed the limit.
    void targetsThatUnregisterTogetherAreDroppedInTime()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        auto list = fourTargets();
        instance.setTargetRows(21, list);
        list.resize(1);
        instance.setTargetRows(22, list);
        const auto propagationTime = Milliseconds(700);
        instance.now_ += Milliseconds(2500) - propagationTime - Milliseconds(300);
        instance.dropMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable(instance, "gauging"));
    }

    // Guards against a grace period that begins when the update arrives, although peers have
    // noticed the removal before.
    void lateRemovalUpdateDoesNotExtendTheGracePeriod()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        auto list = fourTargets();
        instance.setTargetRows(21, list);
        Steering::RemovalAges ages;
        for (std::size_t i = 1; i < list.size(); ++i)
            ages[list[i].key_] = Policy::unobservedExpiryGrace;
        instance.targetRegistry_.receiveRemovals(ages, instance.now_);
        list.resize(1);
        instance.setTargetRows(22, list);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable(instance, "gauging"));
    }

    // Guards against a grace period that starts with a late read, because the age that a peer sent
    // before was forgotten at another update.
    void removalAgeIsKeptUntilTheRemovalIsRead()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        auto list = fourTargets();
        instance.setTargetRows(21, list);
        Steering::RemovalAges ages;
        for (std::size_t i = 1; i < list.size(); ++i)
            ages[list[i].key_] = Policy::unobservedExpiryGrace;
        instance.targetRegistry_.receiveRemovals(ages, instance.now_);
        instance.update();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(instance, "gauging"));
        list.resize(1);
        instance.setTargetRows(22, list);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable(instance, "gauging"));
    }

    // Guards against a grace period that is shortened by the age of an earlier removal.
    void newRegistrationResetsTheRemovalAge()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        const auto list = fourTargets();
        instance.setTargetRows(21, list);
        instance.setTargetRows(22, {list.front()});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3),
                             instance.targetRegistry_.removalsToSend(instance.now_).size());
        instance.setTargetRows(23, list);
        CPPUNIT_ASSERT(instance.targetRegistry_.removalsToSend(instance.now_).empty());
        instance.now_ += Policy::unobservedExpiryGrace;
        instance.setTargetRows(24, {list.front()});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(instance, "gauging"));
    }

    void removalAgesReachPeersAndInvalidOnesAreIgnored()
    {
        InstanceFixture instance("r-a");
        const Steering::RemovalAges ages = {{"a", Milliseconds(70)}, {"b", Milliseconds(0)}};
        CPPUNIT_ASSERT(Steering::parseRemovalAges(instance.platformState_.encodeForPeer({}, ages))
                       == ages);
        CPPUNIT_ASSERT(
            Steering::parseRemovalAges(instance.platformState_.encodeForPeer({})).empty());
        CPPUNIT_ASSERT(Steering::parseRemovalAges("damaged").empty());
    }

    // The same case three seconds after a store failure: by then every running target has
    // registered again, so a missing one gets no grace period.
    void removalLongAfterAnOutageHasNoGracePeriod()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        auto list = fourTargets();
        instance.setTargetRows(21, list);
        instance.disconnectStore();
        instance.reconnectStore();
        instance.now_ += Milliseconds(3000);
        list.pop_back();
        instance.setTargetRows(22, list);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(instance, "gauging"));
    }

    // Guards against a grace period that starts with the update on a removal, not with the store's
    // return.
    void targetThatLeavesAfterTheStoreReturnsIsDroppedInTime()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20);
        auto list = fourTargets();
        instance.setTargetRows(21, list);
        instance.disconnectStore();
        instance.now_ += Milliseconds(5000);
        instance.reconnectStore();
        const auto left = instance.now_ + Milliseconds(300);
        const auto propagationTime = Milliseconds(700);
        instance.now_ = left + propagationTime;
        list.pop_back();
        instance.setTargetRows(22, list);
        instance.now_ = left + Milliseconds(2500);
        instance.dropMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(instance, "gauging"));
    }

    void drainedDomainGetsNoRequests()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(7, 20, {"r-a"});
        instance.setTargetRows(21, fourTargets());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(instance, "gauging"));
        instance.setOperatorRows(7, 25);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(instance, "gauging"));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlatformState);
