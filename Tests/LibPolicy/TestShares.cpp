#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>
#include <numeric>

namespace {

using Model::Milliseconds;
using Model::WallTime;

constexpr double tolerance = 1e-6;
const Model::ServiceId service("s");

struct RandomTable
{
    std::vector<Model::Row> rows_;
    double cap_ = 0;
    double regionCap_ = 0;
};

Model::Row row(Model::RowKind kind, const std::string &name,
               std::map<std::string, std::string> cells)
{
    return {{kind, name}, std::move(cells), Model::TableVersion(1), false};
}

/// Two regions of two failure domains with random weights, caps and drains.
RandomTable randomTable()
{
    RandomTable result;
    result.cap_ = *rc::gen::inRange(1, 50);
    result.regionCap_ = *rc::gen::inRange(1, 50);
    for (const char *region : {"r1", "r2"})
        result.rows_.push_back(row(Model::RowKind::Region, region, {}));
    result.rows_.push_back(
        row(Model::RowKind::Service, "s",
            {{"shift_cap", std::to_string(static_cast<int>(result.cap_))},
             {"region_shift_cap", std::to_string(static_cast<int>(result.regionCap_))}}));
    int number = 0;
    for (const char *domain : {"r1a", "r1b", "r2a", "r2b"}) {
        std::map<std::string, std::string> cells;
        cells["region"] = std::string(domain).substr(0, 2);
        cells["weight"] = std::to_string(*rc::gen::inRange(0, 5));
        if (*rc::gen::inRange(0, 2) == 1) {
            const long long start = *rc::gen::inRange(0, 60000);
            cells["drain_start"] = Model::toText(WallTime(Milliseconds(start)));
            if (*rc::gen::inRange(0, 2) == 1) {
                const long long end = start + *rc::gen::inRange(1, 60000);
                cells["drain_end"] = Model::toText(WallTime(Milliseconds(end)));
            }
        }
        result.rows_.push_back(row(Model::RowKind::Domain, domain, cells));
        const std::string address = "127.0.0.1:" + std::to_string(8000 + ++number);
        result.rows_.push_back(row(Model::RowKind::Target, "t-" + std::string(domain),
                                   {{"service", "s"}, {"domain", domain}, {"address", address}}));
    }
    return result;
}

double total(const Policy::ShareVector &shares)
{
    return std::accumulate(shares.shares_.begin(), shares.shares_.end(), 0.0);
}

/// The shares that moved between failure domains and between regions.
struct Movement
{
    double domains_ = 0;
    double regions_ = 0;
};

Movement movement(const Policy::ShareVector &from, const Policy::ShareVector &to)
{
    Movement result;
    double firstRegion = 0;
    for (std::size_t i = 0; i < from.shares_.size(); ++i) {
        result.domains_ += std::max(0.0, to.shares_[i] - from.shares_[i]);
        if (i < 2)
            firstRegion += to.shares_[i] - from.shares_[i];
    }
    result.regions_ = std::abs(firstRegion);
    return result;
}

void assertWithinCaps(const Policy::ShareVector &from, const Policy::ShareVector &to, double cap,
                      double regionCap, Milliseconds elapsed)
{
    if (total(from) < tolerance || total(to) < tolerance)
        return;
    const Movement moved = movement(from, to);
    const double seconds = Model::inSeconds(elapsed);
    RC_ASSERT(moved.domains_ <= cap / 100 * seconds + tolerance);
    RC_ASSERT(moved.regions_ <= regionCap / 100 * seconds + tolerance);
}

class TestShares : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestShares);
    CPPUNIT_TEST(plannedSharesNeverMoveFasterThanTheCaps);
    CPPUNIT_TEST(editsInTheMiddleOfAShiftDoNotMakeItJump);
    CPPUNIT_TEST(entriesThatUpdateAtAnyTimesStayWithinTheCaps);
    CPPUNIT_TEST(drainEndsWhenTheCapAllows);
    CPPUNIT_TEST(drainedRegionShiftsItsTrafficToOthers);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a scheduled drain that overloads the other failure domain, because the planned
    // shares jump to their goal instead of shifting gradually. Checks any schedule of drains
    // between any two times.
    void plannedSharesNeverMoveFasterThanTheCaps()
    {
        Support::assertProperty("planned shares keep the caps", [] {
            const RandomTable random = randomTable();
            const auto table = Model::Table::build(Model::TableVersion(1), random.rows_, {});
            RC_ASSERT(table.has_value());
            const Milliseconds at(*rc::gen::inRange(0, 150000));
            const Milliseconds elapsed(*rc::gen::inRange(0, 20000));
            const auto from
                = Policy::plannedShares(*table, service, Model::RegionId("r1"), WallTime(at));
            const auto to = Policy::plannedShares(*table, service, Model::RegionId("r1"),
                                                  WallTime(at + elapsed));
            RC_ASSERT(total(to) < tolerance || std::abs(total(to) - 1) < tolerance);
            assertWithinCaps(from, to, random.cap_, random.regionCap_, elapsed);
        });
    }

    // Guards against an edit of weights or drains during a shift that moves traffic at once,
    // because the new plan starts at its own goal instead of at the current shares.
    void editsInTheMiddleOfAShiftDoNotMakeItJump()
    {
        Support::assertProperty("an edit starts at the current shares", [] {
            const RandomTable random = randomTable();
            RandomTable changed = randomTable();
            // Caps stay the same, so that one cap applies before and after the edit.
            changed.rows_[2] = random.rows_[2];
            const auto before = Model::Table::build(Model::TableVersion(1), random.rows_, {});
            auto after = Model::Table::build(Model::TableVersion(2), changed.rows_, {});
            RC_ASSERT(before && after);
            const WallTime editAt(Milliseconds(*rc::gen::inRange(0, 90000)));
            const auto starts = Policy::shiftStartsForEdit(*before, *after, editAt);
            after = Model::Table::build(Model::TableVersion(2), changed.rows_, starts);
            const Milliseconds elapsed(*rc::gen::inRange(0, 20000));
            const Model::RegionId origin("r1");
            const auto from = Policy::plannedShares(*before, service, origin, editAt);
            if (total(from) < tolerance || starts.empty())
                return;
            const auto to = Policy::plannedShares(*after, service, origin, editAt + elapsed);
            assertWithinCaps(from, to, random.cap_, random.regionCap_, elapsed);
        });
    }

    // Guards against the sum over all entries moving faster than the cap after a crash, because an
    // entry jumps, or a fresh one starts at the goal. Several entries update at random times,
    // failure domains fail and recover, and entries restart from a peer's shares.
    void entriesThatUpdateAtAnyTimesStayWithinTheCaps()
    {
        Support::assertProperty("any interleaving of any number of entries keeps the caps", [] {
            const RandomTable random = randomTable();
            const auto table = Model::Table::build(Model::TableVersion(1), random.rows_, {});
            RC_ASSERT(table.has_value());
            const Policy::ShiftCaps caps{Model::SharePerSecond(random.cap_ / 100),
                                         Model::SharePerSecond(random.regionCap_ / 100)};
            const Model::RegionId origin("r1");
            const auto count = static_cast<std::size_t>(*rc::gen::inRange(1, 6));
            const auto start = Policy::plannedShares(*table, service, origin, WallTime());
            if (total(start) < tolerance)
                return;
            std::vector<Policy::ShareVector> entries(count, start);
            std::vector<Milliseconds> steppedAt(count, Milliseconds(0));
            Policy::DomainOutage outage;
            outage.isOut_.assign(4, false);
            Milliseconds now(0);
            for (int step = 0; step < 60; ++step) {
                now += Milliseconds(*rc::gen::inRange(0, 400));
                const auto which = static_cast<std::size_t>(*rc::gen::inRange(0, int(count)));
                const int event = *rc::gen::inRange(0, 10);
                if (event == 0) {
                    const auto domain = static_cast<std::size_t>(*rc::gen::inRange(0, 4));
                    outage.isOut_[domain] = !outage.isOut_[domain];
                }
                if (event == 1) {
                    entries[which] = entries[(which + 1) % count];
                    steppedAt[which] = steppedAt[(which + 1) % count];
                }
                const auto goal
                    = Policy::goalShares(*table, service, origin, WallTime(now), outage);
                const auto elapsed = now - steppedAt[which];
                const auto next = Policy::movedShares(*table, entries[which], goal, caps, elapsed);
                assertWithinCaps(entries[which], next, random.cap_, random.regionCap_, elapsed);
                RC_ASSERT(std::abs(total(next) - 1) < tolerance);
                entries[which] = next;
                steppedAt[which] = now;
            }
        });
    }

    void drainEndsWhenTheCapAllows()
    {
        const auto rows = Model::rowsFromText(
            "[region r]\n[service s]\nshift_cap = 10\nregion_shift_cap = 10\n"
            "[domain a]\nregion = r\ndrain_start = 1970-01-01T00:00:10Z\n[domain b]\nregion = r\n"
            "[target ta]\nservice = s\ndomain = a\naddress = 127.0.0.1:1\n"
            "[target tb]\nservice = s\ndomain = b\naddress = 127.0.0.1:2\n");
        const auto table = Model::Table::build(Model::TableVersion(1), *rows, {});
        CPPUNIT_ASSERT(table);
        const Model::RegionId origin("r");
        const auto shareOfA = [&](int ms) {
            return Policy::plannedShares(*table, service, origin, WallTime(Milliseconds(ms)))
                .shares_[0];
        };
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, shareOfA(10000), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.25, shareOfA(12500), tolerance);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.0, shareOfA(15000), tolerance);
        const auto left
            = Policy::timeToGoal(*table, service, origin, WallTime(Milliseconds(12500)));
        CPPUNIT_ASSERT(std::abs(left.count() - 2500) <= 20);
    }

    void drainedRegionShiftsItsTrafficToOthers()
    {
        const auto rows = Model::rowsFromText(
            "[region r]\n[region q]\n[service s]\n[domain a]\nregion = r\nweight = 0\n"
            "[domain b]\nregion = q\n"
            "[target ta]\nservice = s\ndomain = a\naddress = 127.0.0.1:1\n"
            "[target tb]\nservice = s\ndomain = b\naddress = 127.0.0.1:2\n");
        const auto table = Model::Table::build(Model::TableVersion(1), *rows, {});
        const auto goal = Policy::goalShares(*table, service, Model::RegionId("r"), WallTime(), {});
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1.0, goal.shares_[1], tolerance);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestShares);
