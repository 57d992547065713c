#include <LibPeers/LibPeers.h>
#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;

const Peers::ShareRamps::Key key{Model::ServiceId("s"), Model::RegionId("r1")};

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

/// The summary of r2, whose entries report that all callers of r1 are served in r2.
Peers::RegionSummary summaryServedRemotely()
{
    Peers::RegionSummary summary;
    summary.region_ = Model::RegionId("r2");
    Peers::WalkedShares walked{key.first, key.second, {}};
    walked.shares_.push_back({Model::FailureDomainId("r2a"), Model::Share(1)});
    summary.walked_.push_back(walked);
    return summary;
}

class TestShareRamps : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestShareRamps);
    CPPUNIT_TEST(updateThatEndsTheStartIsUsed);
    CPPUNIT_TEST(localReportIsIgnored);
    CPPUNIT_TEST(pausedProcessRestartsItsRamps);
    CPPUNIT_TEST(sharesAreMappedByIdToAnotherTable);
    CPPUNIT_TEST_SUITE_END();

public:
    static constexpr SteadyTime start{std::chrono::hours(1)};
    const Policy::ShareVector allLocal_{{1, 0}};
    const Policy::ShareVector allRemote_{{0, 1}};

    // Guards against a jump when a region recovers: one of its four entries serves all of its
    // callers locally from its first second, and the region's share rises by 0.55 in two seconds
    // where 0.4 is allowed. A new entry makes steps while it knows no other region. One answer of a
    // peer then lists all regions, which ends the start, and has the current shares; the ramp that
    // the previous step began from the plan must not be kept.
    void updateThatEndsTheStartIsUsed()
    {
        Peers::InstanceView view;
        view.table_ = twoRegions();
        Peers::ShareRamps ramps;
        Peers::beginRampStep(ramps, true, start);
        Peers::rampFor(ramps, view, ownInstance(), key, allLocal_);

        view.summaries_.push_back(summaryServedRemotely());
        const auto elapsed = Peers::beginRampStep(ramps, false, start + Milliseconds(50));
        const auto &ramp = Peers::rampFor(ramps, view, ownInstance(), key, allLocal_);
        CPPUNIT_ASSERT(ramp.shares_ == allRemote_);
        CPPUNIT_ASSERT(elapsed == Milliseconds(0));

        // Later steps continue the entry's own ramp.
        view.summaries_.clear();
        const auto next = Peers::beginRampStep(ramps, false, start + Milliseconds(100));
        CPPUNIT_ASSERT(next == Milliseconds(50));
        CPPUNIT_ASSERT(Peers::rampFor(ramps, view, ownInstance(), key, allLocal_).shares_
                       == allRemote_);
    }

    void localReportIsIgnored()
    {
        Peers::InstanceView view;
        view.table_ = twoRegions();
        Peers::InstanceRecord record;
        record.instance_ = ownInstance();
        record.walked_ = summaryServedRemotely().walked_;
        view.members_.push_back(record);
        Peers::ShareRamps ramps;
        Peers::beginRampStep(ramps, false, start);
        CPPUNIT_ASSERT(Peers::rampFor(ramps, view, ownInstance(), key, allLocal_).shares_
                       == allLocal_);
        // The report of a peer in the region counts, before that of another region.
        view.members_[0].instance_.id_ = Model::InstanceId("r1-2");
        ramps = {};
        Peers::beginRampStep(ramps, false, start);
        CPPUNIT_ASSERT(Peers::rampFor(ramps, view, ownInstance(), key, allLocal_).shares_
                       == allRemote_);
    }

    // Guards against a jump after the process was paused for seconds between two steps: if the
    // whole pause counts as shift time, traffic jumps by what the cap allows for the pause.
    void pausedProcessRestartsItsRamps()
    {
        Peers::InstanceView view;
        view.table_ = twoRegions();
        Peers::ShareRamps ramps;
        Peers::beginRampStep(ramps, false, start);
        Peers::rampFor(ramps, view, ownInstance(), key, allLocal_).shares_ = {{0.5, 0.5}};
        const auto elapsed = Peers::beginRampStep(ramps, false, start + Milliseconds(3000));
        CPPUNIT_ASSERT(elapsed == Milliseconds(0));
        CPPUNIT_ASSERT(Peers::rampFor(ramps, view, ownInstance(), key, allLocal_).shares_
                       == allLocal_);
    }

    void sharesAreMappedByIdToAnotherTable()
    {
        Peers::InstanceView view;
        view.table_ = twoRegions();
        Peers::ShareRamps ramps;
        Peers::beginRampStep(ramps, false, start);
        Peers::rampFor(ramps, view, ownInstance(), key, allRemote_);
        std::vector<Model::Row> rows;
        rows.push_back(row(Model::RowKind::Service, "s", {}));
        for (const std::string region : {"r0", "r1", "r2"}) {
            rows.push_back(row(Model::RowKind::Region, region, {}));
            rows.push_back(row(Model::RowKind::Domain, region + "a", {{"region", region}}));
        }
        auto table = Model::Table::build(Model::TableVersion(2), std::move(rows), {});
        CPPUNIT_ASSERT(table);
        view.table_ = std::make_shared<const Model::Table>(std::move(*table));
        const auto &ramp = Peers::rampFor(ramps, view, ownInstance(), key, allLocal_);
        CPPUNIT_ASSERT(ramp.shares_ == (Policy::ShareVector{{0, 0, 1}}));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestShareRamps);
