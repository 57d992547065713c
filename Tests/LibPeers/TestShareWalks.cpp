#include <LibPeers/LibPeers.h>
#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;

const Peers::ShareWalks::Key key{Model::ServiceId("s"), Model::RegionId("r1")};

Model::Row row(Model::RowKind kind, const std::string &name,
               std::map<std::string, std::string> cells)
{
    return {{kind, name}, std::move(cells), Model::TableVersion(1), false};
}

/// Two regions of one failure domain each, and a service with a target in both.
std::shared_ptr<const Model::Table> twoRegions()
{
    std::vector<Model::Row> rows;
    rows.push_back(row(Model::RowKind::Service, "s", {}));
    int number = 0;
    for (const std::string region : {"r1", "r2"}) {
        rows.push_back(row(Model::RowKind::Region, region, {}));
        rows.push_back(row(Model::RowKind::Domain, region + "a", {{"region", region}}));
        rows.push_back(row(Model::RowKind::Target, "t" + region,
                           {{"service", "s"},
                            {"domain", region + "a"},
                            {"address", "127.0.0.1:" + std::to_string(8000 + ++number)}}));
    }
    auto table = Model::Table::build(Model::TableVersion(1), std::move(rows), {});
    CPPUNIT_ASSERT_MESSAGE(toText(Model::lastReason()), table);
    return std::make_shared<const Model::Table>(std::move(*table));
}

Model::Instance ownInstance()
{
    Model::Instance own;
    own.id_ = Model::InstanceId("r1-1");
    own.region_ = Model::RegionId("r1");
    return own;
}

/// What the entries of r2 say: all callers of r1 are served in r2.
Peers::RegionSummary servedElsewhere()
{
    Peers::RegionSummary summary;
    summary.region_ = Model::RegionId("r2");
    Peers::WalkedShares walked{key.first, key.second, {}};
    walked.shares_.push_back({Model::FailureDomainId("r2a"), Model::Share(1)});
    summary.walked_.push_back(walked);
    return summary;
}

class TestShareWalks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestShareWalks);
    CPPUNIT_TEST(newsThatEndsTheStartStillCounts);
    CPPUNIT_TEST(ownWordDoesNotCount);
    CPPUNIT_TEST(pausedProcessBeginsAnew);
    CPPUNIT_TEST(sharesFollowTheirNamesToAnotherTable);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr SteadyTime start{std::chrono::hours(1)};
    const Policy::ShareVector allAtHome_{{1, 0}};
    const Policy::ShareVector allElsewhere_{{0, 1}};

    // Symptom: one of four entries of a returning region serves all of its callers at home from its
    //   first second on; the region's share rises by 0.55 in two seconds where 0.4 is allowed.
    // Sequence: a fresh entry makes steps while it knows of no other region. One answer of a peer
    //   names all of them, and so ends the start, and says where the traffic stands.
    // Cause: the walk that the step before had begun from the plan was kept.
    void newsThatEndsTheStartStillCounts()
    {
        Peers::InstanceView view;
        view.table_ = twoRegions();
        Peers::ShareWalks walks;
        Peers::beginStep(walks, true, start);
        Peers::walkFor(walks, view, ownInstance(), key, allAtHome_);

        view.summaries_.push_back(servedElsewhere());
        const auto elapsed = Peers::beginStep(walks, false, start + Milliseconds(50));
        const auto &walk = Peers::walkFor(walks, view, ownInstance(), key, allAtHome_);
        CPPUNIT_ASSERT(walk.shares_ == allElsewhere_);
        CPPUNIT_ASSERT(elapsed == Milliseconds(0));

        // From then on the walk is the entry's own.
        view.summaries_.clear();
        const auto next = Peers::beginStep(walks, false, start + Milliseconds(100));
        CPPUNIT_ASSERT(next == Milliseconds(50));
        CPPUNIT_ASSERT(Peers::walkFor(walks, view, ownInstance(), key, allAtHome_).shares_
                       == allElsewhere_);
    }

    void ownWordDoesNotCount()
    {
        Peers::InstanceView view;
        view.table_ = twoRegions();
        Peers::InstanceRecord record;
        record.instance_ = ownInstance();
        record.walked_ = servedElsewhere().walked_;
        view.members_.push_back(record);
        Peers::ShareWalks walks;
        Peers::beginStep(walks, false, start);
        CPPUNIT_ASSERT(Peers::walkFor(walks, view, ownInstance(), key, allAtHome_).shares_
                       == allAtHome_);
        // A neighbour's does, before that of another region.
        view.members_[0].instance_.id_ = Model::InstanceId("r1-2");
        walks = {};
        Peers::beginStep(walks, false, start);
        CPPUNIT_ASSERT(Peers::walkFor(walks, view, ownInstance(), key, allAtHome_).shares_
                       == allElsewhere_);
    }

    // Symptom: after a pause of the process its traffic jumps by what the cap allows in the pause.
    // Sequence: a process stands still for seconds between two steps.
    // Cause: taking the whole time as time in which traffic moved.
    void pausedProcessBeginsAnew()
    {
        Peers::InstanceView view;
        view.table_ = twoRegions();
        Peers::ShareWalks walks;
        Peers::beginStep(walks, false, start);
        Peers::walkFor(walks, view, ownInstance(), key, allAtHome_).shares_ = {{0.5, 0.5}};
        const auto elapsed = Peers::beginStep(walks, false, start + Milliseconds(3000));
        CPPUNIT_ASSERT(elapsed == Milliseconds(0));
        CPPUNIT_ASSERT(Peers::walkFor(walks, view, ownInstance(), key, allAtHome_).shares_
                       == allAtHome_);
    }

    void sharesFollowTheirNamesToAnotherTable()
    {
        Peers::InstanceView view;
        view.table_ = twoRegions();
        Peers::ShareWalks walks;
        Peers::beginStep(walks, false, start);
        Peers::walkFor(walks, view, ownInstance(), key, allElsewhere_);
        std::vector<Model::Row> rows;
        rows.push_back(row(Model::RowKind::Service, "s", {}));
        for (const std::string region : {"r0", "r1", "r2"}) {
            rows.push_back(row(Model::RowKind::Region, region, {}));
            rows.push_back(row(Model::RowKind::Domain, region + "a", {{"region", region}}));
        }
        auto table = Model::Table::build(Model::TableVersion(2), std::move(rows), {});
        CPPUNIT_ASSERT(table);
        view.table_ = std::make_shared<const Model::Table>(std::move(*table));
        const auto &walk = Peers::walkFor(walks, view, ownInstance(), key, allAtHome_);
        CPPUNIT_ASSERT(walk.shares_ == (Policy::ShareVector{{0, 0, 1}}));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestShareWalks);
