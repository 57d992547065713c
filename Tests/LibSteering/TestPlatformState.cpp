#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Fakes::Brain;
using Model::Milliseconds;
using Steering::StoreTable;

class TestPlatformState : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlatformState);
    CPPUNIT_TEST(lowerVersionIsNeverApplied);
    CPPUNIT_TEST(invalidTableKeepsThePreviousOneInForce);
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
    CPPUNIT_TEST(removalAgesReachPeersAndInvalidOnesAreIgnored);
    CPPUNIT_TEST(removalLongAfterAnOutageHasNoGracePeriod);
    CPPUNIT_TEST(targetThatLeavesAfterTheStoreReturnsIsDroppedInTime);
    CPPUNIT_TEST(drainedDomainGetsNoRequests);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::size_t usable(const Brain &brain, const char *service)
    {
        const auto *targets = brain.book_.service(Model::ServiceId(service));
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
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        brain.tellOperators(5, 10);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), brain.knowledge_.table()->version().value());
        // A lower version in a newer row is also refused.
        brain.tellOperators(6, 30);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), brain.knowledge_.table()->version().value());
    }

    void invalidTableKeepsThePreviousOneInForce()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        brain.knowledge_.replace(
            StoreTable::Operators,
            Fakes::rows(30, {Fakes::row("table", "version 8\n[route x]\nhost = h\n", 30)}), "test");
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), brain.knowledge_.table()->version().value());
    }

    void peersSendNewerRows()
    {
        Brain upToDate("r-a");
        upToDate.tellOperators(7, 20, {"s-a"});
        upToDate.tellTargets(21, fourTargets());
        Brain partitioned("r-b");
        partitioned.tellOperators(6, 12);
        const std::string encoded
            = upToDate.knowledge_.encodeForPeer(partitioned.knowledge_.knownRevisions());
        CPPUNIT_ASSERT(partitioned.knowledge_.applyFromPeer(encoded, "peer"));
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(7), partitioned.knowledge_.table()->version().value());
        CPPUNIT_ASSERT(partitioned.knowledge_.drained().contains(Model::FailureDomainId("s-a")));
        CPPUNIT_ASSERT_EQUAL(std::size_t(4),
                             partitioned.knowledge_.mirror(StoreTable::Targets).rows().size());
        CPPUNIT_ASSERT(!partitioned.knowledge_.applyFromPeer(encoded, "peer"));
        CPPUNIT_ASSERT(!partitioned.knowledge_.applyFromPeer("nonsense", "peer"));
        CPPUNIT_ASSERT(
            !partitioned.knowledge_.applyFromPeer(R"({"operators":{"rows":3}})", "peer"));
    }

    // Guards against instances that crash one after the other, each when a peer requests its rows:
    // another program has written a registration that is not valid text, which JSON cannot encode.
    void binaryRowsReachPeers()
    {
        Brain upToDate("r-a");
        upToDate.tellOperators(7, 20);
        auto list = fourTargets();
        list.push_back(Fakes::row("e", std::string("\xff\x00\xc3", 3), 21));
        upToDate.tellTargets(21, list);
        Brain other("r-b");
        CPPUNIT_ASSERT(other.knowledge_.applyFromPeer(
            upToDate.knowledge_.encodeForPeer(other.knowledge_.knownRevisions()), "peer"));
        const auto &rows = other.knowledge_.mirror(StoreTable::Targets).rows();
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), rows.size());
        CPPUNIT_ASSERT_EQUAL(std::string("\xff\x00\xc3", 3), *rows.at("e").value_);
    }

    // Guards against instances that request rows from each other ten times a second although
    // nothing changes: two read the store at different moments, and the revisions of these reads
    // are compared.
    void peerWithTheSameRowsIsNotBehind()
    {
        const auto lastChanges = [](const Brain &brain) {
            return Steering::KnownRevisions{
                brain.knowledge_.mirror(StoreTable::Operators).lastChange(),
                brain.knowledge_.mirror(StoreTable::Targets).lastChange()};
        };
        Brain early("r-a");
        early.tellOperators(7, 20);
        early.tellTargets(21, fourTargets());
        Brain late("r-b");
        late.tellOperators(7, 20);
        late.tellTargets(40, fourTargets());
        CPPUNIT_ASSERT(!early.knowledge_.isBehind(lastChanges(late)));
        CPPUNIT_ASSERT(!late.knowledge_.isBehind(lastChanges(early)));
        late.knowledge_.apply(StoreTable::Targets,
                              Fakes::rows(45, {Fakes::target("e", "gauging", "r-a", 45)}), "test");
        CPPUNIT_ASSERT(early.knowledge_.isBehind(lastChanges(late)));
        CPPUNIT_ASSERT(early.knowledge_.applyFromPeer(
            late.knowledge_.encodeForPeer(early.knowledge_.knownRevisions()), "peer"));
        CPPUNIT_ASSERT(!early.knowledge_.isBehind(lastChanges(late)));
    }

    // Guards against using a target again that has left: while a call waits at the store, a peer
    // reports the leaving; the call's late answer, at an older revision, has the older row.
    void staleStoreAnswerIsIgnored()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        brain.tellTargets(21, fourTargets());
        auto list = fourTargets();
        list[0] = Fakes::target("a", "gauging", "r-a", 40, "draining");
        brain.tellTargets(40, list);
        brain.knowledge_.apply(StoreTable::Targets,
                               Fakes::rows(30, {Fakes::target("a", "gauging", "r-a", 30)}), "test");
        brain.update();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(brain, "gauging"));
    }

    void leavingTargetGetsNoRequestsAfterAStaleRow()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        brain.tellTargets(21, {Fakes::target("a", "gauging", "r-a", 21, "draining")});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable(brain, "gauging"));
        brain.tellTargets(22, {Fakes::target("a", "gauging", "r-a", 20)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), usable(brain, "gauging"));
    }

    void unregisteredTargetIsDroppedAtOnce()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        auto list = fourTargets();
        brain.tellTargets(21, list);
        list.pop_back();
        brain.tellTargets(22, list);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(brain, "gauging"));
    }

    // Guards against refusing every request for two seconds after a store outage: the outage
    // outlasts the registrations' time to live, the store returns without them, and the targets,
    // which never stopped, register again within two seconds. An expired registration is not a
    // departure.
    void expiredTargetsAreUsedUntilTheyRegisterAgain()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        brain.tellTargets(21, fourTargets());
        brain.loseStore();
        brain.now_ += Milliseconds(5000);
        brain.regainStore();
        brain.tellTargets(22, {});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(brain, "gauging"));
        brain.now_ += Milliseconds(1800);
        brain.dropMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(brain, "gauging"));
        brain.tellTargets(30, fourTargets());
        brain.now_ += Milliseconds(5000);
        brain.dropMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(brain, "gauging"));
    }

    // Guards against sending requests to a target that left during a store outage: as above, but
    // one target does not register again, and the wait for it has no limit.
    void expiredTargetsThatDoNotReturnAreDropped()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        brain.tellTargets(21, fourTargets());
        brain.loseStore();
        brain.regainStore();
        brain.tellTargets(22, {});
        brain.now_ += Milliseconds(1000);
        auto list = fourTargets();
        list.pop_back();
        brain.tellTargets(23, list);
        brain.now_ += Policy::registrationExpiryGrace;
        CPPUNIT_ASSERT(brain.dropMissing());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(brain, "gauging"));
    }

    // Guards against a request that reaches a target 2.52 s after the store recorded its removal;
    // the limit is 2.5 s. Three targets unregister at the same moment without announcing it, the
    // store has not failed, and changes are batched for half a second. Two seconds of grace for
    // apparently expired registrations, on top of the propagation time, exceed the limit.
    void targetsThatUnregisterTogetherAreDroppedInTime()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        auto list = fourTargets();
        brain.tellTargets(21, list);
        list.resize(1);
        brain.tellTargets(22, list);
        const auto propagationTime = Milliseconds(700);
        brain.now_ += Milliseconds(2500) - propagationTime - Milliseconds(300);
        brain.dropMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable(brain, "gauging"));
    }

    // Guards against a grace period that begins when the update arrives, although peers have
    // noticed the removal before.
    void lateRemovalUpdateDoesNotExtendTheGracePeriod()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        auto list = fourTargets();
        brain.tellTargets(21, list);
        Steering::RemovalAges ages;
        for (std::size_t i = 1; i < list.size(); ++i)
            ages[list[i].key_] = Policy::unobservedExpiryGrace;
        brain.book_.hearRemovals(ages, brain.now_);
        list.resize(1);
        brain.tellTargets(22, list);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), usable(brain, "gauging"));
    }

    // Guards against a grace period that is shortened by the age of an earlier removal.
    void newRegistrationResetsTheRemovalAge()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        const auto list = fourTargets();
        brain.tellTargets(21, list);
        brain.tellTargets(22, {list.front()});
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), brain.book_.removalsToTell(brain.now_).size());
        brain.tellTargets(23, list);
        CPPUNIT_ASSERT(brain.book_.removalsToTell(brain.now_).empty());
        brain.now_ += Policy::unobservedExpiryGrace;
        brain.tellTargets(24, {list.front()});
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(brain, "gauging"));
    }

    void removalAgesReachPeersAndInvalidOnesAreIgnored()
    {
        Brain brain("r-a");
        const Steering::RemovalAges ages = {{"a", Milliseconds(70)}, {"b", Milliseconds(0)}};
        CPPUNIT_ASSERT(Steering::parseRemovalAges(brain.knowledge_.encodeForPeer({}, ages))
                       == ages);
        CPPUNIT_ASSERT(Steering::parseRemovalAges(brain.knowledge_.encodeForPeer({})).empty());
        CPPUNIT_ASSERT(Steering::parseRemovalAges("damaged").empty());
    }

    // The same case three seconds after a store failure: by then every running target has
    // registered again, so a missing one gets no grace period.
    void removalLongAfterAnOutageHasNoGracePeriod()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        auto list = fourTargets();
        brain.tellTargets(21, list);
        brain.loseStore();
        brain.regainStore();
        brain.now_ += Milliseconds(3000);
        list.pop_back();
        brain.tellTargets(22, list);
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(brain, "gauging"));
    }

    // Guards against a grace period that starts with the update on a removal, not with the store's
    // return.
    void targetThatLeavesAfterTheStoreReturnsIsDroppedInTime()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20);
        auto list = fourTargets();
        brain.tellTargets(21, list);
        brain.loseStore();
        brain.now_ += Milliseconds(5000);
        brain.regainStore();
        const auto left = brain.now_ + Milliseconds(300);
        const auto propagationTime = Milliseconds(700);
        brain.now_ = left + propagationTime;
        list.pop_back();
        brain.tellTargets(22, list);
        brain.now_ = left + Milliseconds(2500);
        brain.dropMissing();
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(brain, "gauging"));
    }

    void drainedDomainGetsNoRequests()
    {
        Brain brain("r-a");
        brain.tellOperators(7, 20, {"r-a"});
        brain.tellTargets(21, fourTargets());
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), usable(brain, "gauging"));
        brain.tellOperators(7, 25);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), usable(brain, "gauging"));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlatformState);
