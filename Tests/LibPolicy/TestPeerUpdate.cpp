#include "SimulatedFleet.h"

#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Policy::StoreContact;
using Simulated::Fleet;
using Simulated::Node;

/// Returns the age of the oldest heartbeat record that any running instance has of local members,
/// or of remote ones.
Milliseconds oldestHeartbeatAge(const Fleet &fleet, bool ofRemoteMembers)
{
    Milliseconds oldest{0};
    for (const auto &node : fleet.nodes_) {
        if (!node.isRunning_)
            continue;
        for (const auto &[id, member] : node.members_) {
            if (member.isRemote_ == ofRemoteMembers && !member.isUnconfirmed_)
                oldest = std::max(oldest, Policy::heartbeatRecordAt(member, fleet.now_).age_);
        }
    }
    return oldest;
}

std::size_t aliveOf(const Fleet &fleet, const Node &node, const std::string &region)
{
    std::size_t count = 0;
    for (const auto &[id, member] : node.members_) {
        count += member.instance_.region_.value() == region && Policy::isAlive(member, fleet.now_);
    }
    return count;
}

std::size_t consideredFailed(const Fleet &fleet, const Node &node)
{
    return static_cast<std::size_t>(
        std::count_if(node.members_.begin(), node.members_.end(), [&](const auto &entry) {
            return !entry.second.isUnconfirmed_ && !Policy::isAlive(entry.second, fleet.now_);
        }));
}

class TestPeerUpdate : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPeerUpdate);
    CPPUNIT_TEST(eachInstanceKnowsItsRegionInAFewRounds);
    CPPUNIT_TEST(liveInstancesAreNeverConsideredFailed);
    CPPUNIT_TEST(liveRemoteInstancesAreNeverConsideredFailed);
    CPPUNIT_TEST(exchangesStayInTheRegionAndMessagesStaySmall);
    CPPUNIT_TEST(lastHeartbeatOfAFailedInstanceDoesNotKeepItAlive);
    CPPUNIT_TEST(partitionedRegionsRejoin);
    CPPUNIT_TEST(remoteRegionsReportTheirOwnCounts);
    CPPUNIT_TEST(updatesCrossBetweenDomainsOnce);
    CPPUNIT_TEST(updatesAreFetchedFromTheNearestPeer);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr std::size_t sizes[] = {2, 10, 50};
    static constexpr std::size_t minKnownMembers = 4;
    /// Three regions of 66 instances, and fifteen of 20.
    static constexpr Simulated::FleetShape largeShapes[] = {{3, 3, 22}, {15, 4, 5}};

    void eachInstanceKnowsItsRegionInAFewRounds()
    {
        for (const std::size_t perDomain : sizes) {
            Fleet fleet(perDomain);
            fleet.playRounds(8);
            for (const auto &node : fleet.nodes_) {
                const auto &region = node.instance_.region_.value();
                CPPUNIT_ASSERT_EQUAL(2 * perDomain, aliveOf(fleet, node, region));
            }
        }
    }

    // Guards against live instances disappearing from look-ups for moments in a calm fleet, because
    // updates take longer than the time after which a silent instance is considered failed.
    void liveInstancesAreNeverConsideredFailed()
    {
        for (const std::size_t perDomain : sizes) {
            Fleet fleet(perDomain);
            fleet.playRounds(40);
            for (int i = 0; i < 100; ++i) {
                fleet.playRounds(1);
                const auto oldestLocal = oldestHeartbeatAge(fleet, false);
                CPPUNIT_ASSERT_MESSAGE(std::to_string(oldestLocal.count()),
                                       oldestLocal <= Policy::maxHeartbeatAge);
                for (const auto &node : fleet.nodes_) {
                    // Of a remote region, knowing some members suffices.
                    for (const char *region : {"r", "s", "t"}) {
                        CPPUNIT_ASSERT(aliveOf(fleet, node, region)
                                       >= std::min(perDomain, minKnownMembers));
                    }
                }
            }
        }
    }

    // Guards against a calm fleet in which a third of the log lines report instances that are lost
    // and return. Each instance receives records of any remote instance that contacts it or that a
    // peer names, and of most of them never again. It happens if all of these are kept, although
    // only a region's contacts are updated regularly, or if samples of the contacts' records omit
    // some for longer than they count as alive.
    void liveRemoteInstancesAreNeverConsideredFailed()
    {
        for (const Simulated::FleetShape &shape : largeShapes) {
            Fleet fleet(shape);
            fleet.playRounds(40);
            for (int i = 0; i < 250; ++i) {
                fleet.playRounds(1);
                for (const auto &node : fleet.nodes_)
                    CPPUNIT_ASSERT_EQUAL(std::size_t(0), consideredFailed(fleet, node));
            }
        }
    }

    // Guards against gossip making up five sixths of the traffic between regions, in a calm fleet
    // of 61 instances, because peers are drawn from the whole fleet and each message has the full
    // records of all members.
    void exchangesStayInTheRegionAndMessagesStaySmall()
    {
        for (const std::size_t perDomain : sizes) {
            Fleet fleet(perDomain);
            fleet.playRounds(10);
            fleet.exchanges_ = fleet.remoteExchanges_ = 0;
            fleet.maxMembersInMessage_ = 0;
            constexpr int rounds = 100;
            fleet.playRounds(rounds);
            const double remoteInRound = static_cast<double>(fleet.remoteExchanges_) / rounds;
            // Each of the three regions makes two on average, or remotePeerFraction of its
            // instances do.
            const double inRegion = std::max(Policy::remotePeersOfRegionInRound,
                                             Policy::remotePeerFraction * 2.0 * double(perDomain));
            CPPUNIT_ASSERT_MESSAGE(std::to_string(remoteInRound),
                                   remoteInRound < 3 * inRegion * 1.2);
            const std::size_t named
                = Policy::maxLocalRecords + Policy::contactsOfRegion + Policy::maxRemoteContacts;
            CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.maxMembersInMessage_),
                                   fleet.maxMembersInMessage_ <= named);
        }
    }

    // Guards against sending callers to an instance that lost power six seconds ago. Its last
    // heartbeat still spreads, and each instance that first receives it considers it current if the
    // heartbeat's age is counted from its arrival instead of from its increment.
    void lastHeartbeatOfAFailedInstanceDoesNotKeepItAlive()
    {
        for (const std::size_t perDomain : sizes) {
            Fleet fleet(perDomain);
            fleet.playRounds(20);
            Node &dead = fleet.nodes_.back();
            dead.isRunning_ = false;
            // Until local, and until remote, instances must have detected it, plus one round.
            const auto roundsIn = [](Milliseconds time) {
                return static_cast<int>(time / Fleet::roundPeriod) + 1;
            };
            fleet.playRounds(roundsIn(Policy::maxHeartbeatAge));
            assertDead(fleet, dead.instance_, false);
            fleet.playRounds(roundsIn(Policy::maxRemoteHeartbeatAge - Policy::maxHeartbeatAge));
            assertDead(fleet, dead.instance_, true);
        }
    }

    static void assertDead(const Fleet &fleet, const Model::Instance &dead, bool alsoRemote)
    {
        for (const auto &node : fleet.nodes_) {
            const auto found = node.members_.find(dead.id_);
            if (!node.isRunning_ || found == node.members_.end())
                continue;
            if (!found->second.isRemote_ || alsoRemote)
                CPPUNIT_ASSERT(!Policy::isAlive(found->second, fleet.now_));
        }
    }

    // Guards against two regions that never rejoin after an hour's partition. A region is
    // partitioned for a minute, and each side considers the other one failed; if failed members'
    // addresses are dropped, no instance contacts them again.
    void partitionedRegionsRejoin()
    {
        for (const std::size_t perDomain : sizes) {
            Fleet fleet(perDomain);
            fleet.playRounds(10);
            fleet.isLinked_ = [](const Model::Instance &a, const Model::Instance &b) {
                return (a.region_.value() == "r") == (b.region_.value() == "r");
            };
            fleet.playRounds(150);
            const Node &cutOff = fleet.nodes_.front();
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), aliveOf(fleet, cutOff, "s"));
            fleet.isLinked_ = nullptr;
            fleet.playRounds(15);
            for (const auto &node : fleet.nodes_) {
                for (const char *region : {"r", "s", "t"})
                    CPPUNIT_ASSERT(aliveOf(fleet, node, region) > 0);
            }
        }
    }

    static std::map<std::string, std::size_t> byDomain(const std::vector<Model::Instance> &list)
    {
        std::map<std::string, std::size_t> counts;
        for (const auto &instance : list)
            ++counts[instance.domain_.value()];
        return counts;
    }

    // Guards against the rows of targets being most of the traffic between failure domains in a
    // fleet of three hundred. Each registration is announced to peers of the whole region, each of
    // which fetches the rows from the announcer, so two fetches of three cross between domains
    // instead of one per domain.
    void updatesCrossBetweenDomainsOnce()
    {
        Fleet fleet(Simulated::FleetShape{3, 3, 22});
        fleet.playRounds(10);
        Node &reader = fleet.nodes_.front();
        Node &relay = fleet.nodes_[30];
        reader.members_[reader.instance_.id_].heartbeatRecord_.store_ = StoreContact::Reached;
        for (std::uint64_t random = 0; random < 50; ++random) {
            const auto told = byDomain(
                Policy::peersToAnnounceTo(reader.members_, reader.instance_, fleet.now_, random));
            const std::map<std::string, std::size_t> once{{"r-a", 1}, {"r-b", 1}, {"r-c", 1}};
            CPPUNIT_ASSERT(told == once);
            const auto passedOn = byDomain(
                Policy::peersToAnnounceTo(relay.members_, relay.instance_, fleet.now_, random));
            const std::map<std::string, std::size_t> inside{{"r-b", Policy::announcementFanout}};
            CPPUNIT_ASSERT(passedOn == inside);
        }
        // An instance that is alone in its domain announces it to the others.
        for (auto &[id, member] : relay.members_) {
            if (member.instance_.domain_ == relay.instance_.domain_)
                member.isUnconfirmed_ = id != relay.instance_.id_;
        }
        const auto beyond
            = Policy::peersToAnnounceTo(relay.members_, relay.instance_, fleet.now_, 1);
        CPPUNIT_ASSERT_EQUAL(Policy::announcementFanout, beyond.size());
    }

    void updatesAreFetchedFromTheNearestPeer()
    {
        Fleet fleet(Simulated::FleetShape{3, 3, 22});
        fleet.playRounds(10);
        const Node &node = fleet.nodes_.front();
        std::vector<std::string> informed = {"s-a", "r-b", "r-a"};
        for (; !informed.empty(); informed.pop_back()) {
            const auto knowsMore = [&](const Policy::Member &member) {
                return std::find(informed.begin(), informed.end(), member.instance_.domain_.value())
                       != informed.end();
            };
            for (std::uint64_t random = 0; random < 20; ++random) {
                const auto *chosen = Policy::nearestPeerWith(node.members_, node.instance_,
                                                             knowsMore, fleet.now_, random);
                CPPUNIT_ASSERT(chosen);
                CPPUNIT_ASSERT_EQUAL(informed.back(), chosen->instance_.domain_.value());
            }
        }
        const auto noMember = [](const Policy::Member &) {
            return false;
        };
        CPPUNIT_ASSERT(
            !Policy::nearestPeerWith(node.members_, node.instance_, noMember, fleet.now_, 1));
    }

    void remoteRegionsReportTheirOwnCounts()
    {
        Fleet fleet(50);
        fleet.playRounds(30);
        const Node &node = fleet.nodes_.front();
        for (const char *region : {"r", "s", "t"}) {
            CPPUNIT_ASSERT_EQUAL(
                std::size_t(100),
                Policy::entriesIn(node.members_, Model::RegionId(region), fleet.now_));
        }
        CPPUNIT_ASSERT(aliveOf(fleet, node, "s") < 100);
    }
};

class TestStoreReaders : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreReaders);
    CPPUNIT_TEST(eachInstanceOfASmallFleetReads);
    CPPUNIT_TEST(eachRegionHasAFewReadersInAllItsDomains);
    CPPUNIT_TEST(refusedReaderIsReplaced);
    CPPUNIT_TEST(failedReaderIsReplaced);
    CPPUNIT_TEST(allReadIfTheStoreRefusesAll);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::vector<const Node *> readers(const Fleet &fleet, const std::string &region)
    {
        std::vector<const Node *> result;
        for (const auto &node : fleet.nodes_) {
            const auto rank = Policy::readerRank(node.members_, node.instance_, fleet.now_);
            const bool isReader = node.isRunning_ && rank != Policy::ReaderRank::None;
            if (isReader && node.instance_.region_.value() == region)
                result.push_back(&node);
        }
        return result;
    }

    static void setContact(Fleet &fleet, const Model::InstanceId &id, StoreContact contact)
    {
        for (auto &node : fleet.nodes_) {
            if (node.instance_.id_ == id)
                node.members_[id].heartbeatRecord_.store_ = contact;
        }
    }

    void eachInstanceOfASmallFleetReads()
    {
        Fleet fleet(2);
        fleet.playRounds(5);
        for (const char *region : {"r", "s", "t"}) {
            CPPUNIT_ASSERT_EQUAL(std::size_t(4), readers(fleet, region).size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), firstReaders(fleet, region));
        }
    }

    static std::size_t firstReaders(const Fleet &fleet, const std::string &region)
    {
        std::size_t first = 0;
        for (const Node *node : readers(fleet, region)) {
            const auto rank = Policy::readerRank(node->members_, node->instance_, fleet.now_);
            first += rank == Policy::ReaderRank::Active ? 1 : 0;
        }
        return first;
    }

    void eachRegionHasAFewReadersInAllItsDomains()
    {
        Fleet fleet(10);
        fleet.playRounds(10);
        for (const char *region : {"r", "s", "t"}) {
            const auto chosen = readers(fleet, region);
            CPPUNIT_ASSERT_EQUAL(Policy::readersInRegion, chosen.size());
            std::map<std::string, std::size_t> byDomain;
            for (const Node *node : chosen)
                ++byDomain[node->instance_.domain_.value()];
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), byDomain.size());
            CPPUNIT_ASSERT_EQUAL(std::size_t(2), byDomain.begin()->second);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), firstReaders(fleet, region));
        }
    }

    // Guards against a region that keeps an old configuration while all others have the new one.
    // The store refuses all readers of the region but would serve its other instances; it happens
    // if refused instances remain readers.
    void refusedReaderIsReplaced()
    {
        Fleet fleet(10);
        fleet.playRounds(10);
        const auto before = readers(fleet, "r");
        for (const Node *node : before)
            setContact(fleet, node->instance_.id_, StoreContact::Refused);
        fleet.playRounds(5);
        const auto after = readers(fleet, "r");
        CPPUNIT_ASSERT_EQUAL(Policy::readersInRegion, after.size());
        for (const Node *node : after)
            CPPUNIT_ASSERT(std::find(before.begin(), before.end(), node) == before.end());
    }

    void failedReaderIsReplaced()
    {
        Fleet fleet(10);
        fleet.playRounds(10);
        for (auto &node : fleet.nodes_)
            node.isRunning_ = node.instance_.domain_.value() != "r-a";
        fleet.playRounds(8);
        CPPUNIT_ASSERT_EQUAL(Policy::readersInRegion, readers(fleet, "r").size());
    }

    void allReadIfTheStoreRefusesAll()
    {
        Fleet fleet(10);
        fleet.playRounds(10);
        for (const auto &node : fleet.nodes_)
            setContact(fleet, node.instance_.id_, StoreContact::Refused);
        fleet.playRounds(5);
        CPPUNIT_ASSERT_EQUAL(std::size_t(20), readers(fleet, "s").size());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPeerUpdate);
CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreReaders);
