#include <LibPeers/LibPeers.h>
#include <Support/Property.h>
#include <random>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;

Peers::GossipState stateOf(const std::string &id, const std::string &region)
{
    Peers::GossipState state;
    auto &instance = state.self_.instance_;
    instance.id_ = Model::InstanceId(id);
    instance.region_ = Model::RegionId(region);
    instance.domain_ = Model::FailureDomainId(region + "-a");
    const Model::Address address{"127.0.0.1", 1};
    instance.addresses_ = {address, address, address, address, address};
    state.self_.incarnation_ = Model::Incarnation(1);
    state.self_.heartbeat_ = 1;
    return state;
}

void pull(Peers::GossipState &requester, Peers::GossipState &responder, SteadyTime now)
{
    const bool isSame = requester.self_.instance_.region_ == responder.self_.instance_.region_;
    const auto answer = Peers::answerPull(responder, Peers::makePull(requester, isSame, now), now);
    Peers::mergePullAnswer(requester, answer, now);
}

class TestGossip : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestGossip);
    CPPUNIT_TEST(changeReachesAllInstancesInAFewRounds);
    CPPUNIT_TEST(recordsStayInTheirRegion);
    CPPUNIT_TEST(leavingIsPermanentForTheIncarnation);
    CPPUNIT_TEST(oldRecordsAndSummariesAreRefused);
    CPPUNIT_TEST(failedMembersAreNotListed);
    CPPUNIT_TEST(lastSummaryOfAFailedRegionKeepsItsAge);
    CPPUNIT_TEST(regionIsKnownOnceItListsEntriesOrExpires);
    CPPUNIT_TEST(summaryHasCurrentShares);
    CPPUNIT_TEST(badMessagesAreDroppedWhole);
    CPPUNIT_TEST(olderSnapshotIsRefusedByTheProcesses);
    CPPUNIT_TEST_SUITE_END();

public:
    void changeReachesAllInstancesInAFewRounds()
    {
        for (std::uint64_t seed = 0; seed < 100; ++seed) {
            const int rounds = roundsToReachAll(seed);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(seed) + ": " + std::to_string(rounds),
                                   rounds <= 8);
        }
    }

    /// 12 instances of 3 regions pull from 2 random peers per round; 1 exchange in 10 is lost.
    static int roundsToReachAll(std::uint64_t seed)
    {
        std::mt19937_64 random(seed);
        std::vector<Peers::GossipState> states;
        for (int i = 0; i < 12; ++i)
            states.push_back(stateOf("i" + std::to_string(i), "r" + std::to_string(i / 4)));
        Model::Row row;
        row.key_ = {Model::RowKind::Region, "r"};
        row.changedAt_ = Model::TableVersion(1);
        states[0].table_.rows_[row.key_] = row;
        states[0].table_.version_ = Model::TableVersion(1);
        const auto isUpdated = [](const auto &state) {
            return state.table_.version_ == Model::TableVersion(1);
        };
        int rounds = 0;
        while (!std::all_of(states.begin(), states.end(), isUpdated)) {
            ++rounds;
            for (std::size_t i = 0; i < states.size(); ++i) {
                for (int attempt = 0; attempt < 2; ++attempt) {
                    const std::size_t other = random() % states.size();
                    if (other != i && random() % 10 != 0)
                        pull(states[i], states[other], SteadyTime());
                }
            }
        }
        return rounds;
    }

    void recordsStayInTheirRegion()
    {
        auto local = stateOf("near", "r");
        auto other = stateOf("other", "r");
        auto remote = stateOf("far", "q");
        pull(local, other, SteadyTime());
        pull(local, remote, SteadyTime());
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), local.members_.members_.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), remote.members_.members_.size());
    }

    // Guards against look-ups that list a stopping instance: an instance announces that it is
    // leaving, and a later record of the same incarnation without the flag clears it.
    void leavingIsPermanentForTheIncarnation()
    {
        Peers::Members members;
        auto record = stateOf("i", "r").self_;
        record.instance_.isLeaving_ = true;
        CPPUNIT_ASSERT(Peers::mergeIfNewer(members, record, SteadyTime()));
        record.instance_.isLeaving_ = false;
        record.heartbeat_ = 2;
        Peers::mergeIfNewer(members, record, SteadyTime());
        const auto &current = members.members_.at(Model::InstanceId("i")).record_;
        CPPUNIT_ASSERT(current.instance_.isLeaving_);
        record.incarnation_ = Model::Incarnation(2);
        Peers::mergeIfNewer(members, record, SteadyTime());
        CPPUNIT_ASSERT(!current.instance_.isLeaving_);
    }

    void oldRecordsAndSummariesAreRefused()
    {
        Peers::Members members;
        auto record = stateOf("i", "r").self_;
        record.heartbeat_ = 5;
        CPPUNIT_ASSERT(Peers::mergeIfNewer(members, record, SteadyTime()));
        record.heartbeat_ = 4;
        CPPUNIT_ASSERT(!Peers::mergeIfNewer(members, record, SteadyTime()));
        Peers::RegionSummary summary;
        summary.region_ = Model::RegionId("q");
        summary.madeAt_ = Model::WallTime(Milliseconds(5));
        CPPUNIT_ASSERT(Peers::mergeIfNewer(members, summary, SteadyTime()));
        CPPUNIT_ASSERT(!Peers::mergeIfNewer(members, summary, SteadyTime()));
    }

    void failedMembersAreNotListed()
    {
        Peers::Members members;
        auto record = stateOf("i", "r").self_;
        record.isReady_ = true;
        record.entryVersion_ = Model::TableVersion(1);
        Peers::mergeIfNewer(members, record, SteadyTime());
        const Model::RegionId region("r");
        const auto contactsAt = [&](Milliseconds at) {
            return Peers::summarise(members, region, Model::WallTime(), SteadyTime(at))
                .contacts_.size();
        };
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), contactsAt(Milliseconds(0)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), contactsAt(Peers::memberLifetime + Milliseconds(1)));
    }

    // Guards against an instance, replaced during a region's outage, that sends requests to the
    // failed region for a whole summaryLifetime. The region's last summary still spreads; a new
    // instance that counts its age from the local receipt considers it fresh.
    void lastSummaryOfAFailedRegionKeepsItsAge()
    {
        auto peer = stateOf("peer", "r");
        auto fresh = stateOf("fresh", "r");
        Peers::RegionSummary summary;
        summary.region_ = Model::RegionId("q");
        summary.madeAt_ = Model::WallTime(Milliseconds(5));
        const SteadyTime receivedAt(std::chrono::hours(1));
        Peers::mergeIfNewer(peer.members_, summary, receivedAt);
        pull(fresh, peer, receivedAt + Peers::summaryLifetime);
        const auto isFreshAt = [&](Milliseconds later) {
            const SteadyTime at = receivedAt + Peers::summaryLifetime + later;
            return Peers::isFresh(fresh.members_, summary.region_, at);
        };
        CPPUNIT_ASSERT(isFreshAt(Milliseconds(0)));
        CPPUNIT_ASSERT(!isFreshAt(Milliseconds(1)));
    }

    void regionIsKnownOnceItListsEntriesOrExpires()
    {
        Peers::Members members;
        const Model::RegionId region("q");
        const SteadyTime receivedAt(std::chrono::hours(1));
        CPPUNIT_ASSERT(!Peers::isKnown(members, region, receivedAt));
        Peers::RegionSummary summary;
        summary.region_ = region;
        summary.madeAt_ = Model::WallTime(Milliseconds(5));
        Peers::mergeIfNewer(members, summary, receivedAt);
        CPPUNIT_ASSERT(!Peers::isKnown(members, region, receivedAt));
        const SteadyTime expiredAt = receivedAt + Peers::summaryLifetime + Milliseconds(1);
        CPPUNIT_ASSERT(Peers::isKnown(members, region, expiredAt));
        summary.madeAt_ = Model::WallTime(Milliseconds(6));
        summary.contacts_.push_back(stateOf("i", "q").self_.instance_);
        Peers::mergeIfNewer(members, summary, receivedAt);
        CPPUNIT_ASSERT(Peers::isKnown(members, region, receivedAt));
    }

    void summaryHasCurrentShares()
    {
        Peers::Members members;
        auto record = stateOf("i", "r").self_;
        record.walked_.push_back({Model::ServiceId("s"),
                                  Model::RegionId("q"),
                                  {{Model::FailureDomainId("r-a"), Model::Share(0.25)}}});
        Peers::mergeIfNewer(members, record, SteadyTime());
        record.instance_.id_ = Model::InstanceId("j");
        Peers::mergeIfNewer(members, record, SteadyTime());
        const auto summary
            = Peers::summarise(members, Model::RegionId("r"), Model::WallTime(), SteadyTime());
        const auto copy = Peers::fromMessage(Peers::toMessage(summary));
        CPPUNIT_ASSERT(copy);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), copy->walked_.size());
        CPPUNIT_ASSERT(copy->walked_.front() == record.walked_.front());
    }

    void badMessagesAreDroppedWhole()
    {
        auto state = stateOf("i", "r");
        cassiacrank::PullAnswer answer;
        answer.mutable_delta()->set_version(9);
        answer.mutable_delta()->add_rows()->set_key("nonsense");
        answer.add_records()->mutable_instance()->set_id("x");
        const auto result = Peers::mergePullAnswer(state, answer, SteadyTime());
        CPPUNIT_ASSERT(!result.tableChanged_ && !result.liveChanged_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(0), state.table_.version_.value());
    }

    void olderSnapshotIsRefusedByTheProcesses()
    {
        Peers::InstanceView view;
        cassiacrank::Snapshot snapshot;
        snapshot.mutable_table()->set_version(5);
        CPPUNIT_ASSERT(Peers::applySnapshot(view, snapshot).tableChanged_);
        snapshot.mutable_table()->set_version(4);
        CPPUNIT_ASSERT(Peers::applySnapshot(view, snapshot).tableRefused_);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(5), view.table_->version().value());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestGossip);
