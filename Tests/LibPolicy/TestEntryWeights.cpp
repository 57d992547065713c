#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;
using Policy::SizedEntry;

constexpr SteadyTime start{std::chrono::hours(1)};

SizedEntry entryWith(double mbps, std::optional<double> use = std::nullopt)
{
    SizedEntry entry;
    entry.size_.cpu_ = Model::CpuShare(mbps >= 100 ? 0.5 : 0.1);
    entry.size_.link_ = Model::MegabitsPerSecond(mbps);
    entry.use_ = use;
    return entry;
}

/// Two wide entries with \a use and six narrow ones.
std::vector<SizedEntry> mixedEntries(double use)
{
    std::vector<SizedEntry> entries(6, entryWith(10, 0.2));
    entries.push_back(entryWith(200, use));
    entries.push_back(entryWith(200, use));
    return entries;
}

double weightAfter(const std::vector<SizedEntry> &entries, Milliseconds duration)
{
    Policy::NarrowWeight weight;
    const auto isWide = Policy::wideEntries(entries);
    Policy::updateNarrowWeight(weight, mixedEntries(0), Policy::wideEntries(mixedEntries(0)),
                               start);
    Policy::updateNarrowWeight(weight, entries, isWide, start + duration);
    return weight.weight_;
}

class TestEntryWeights : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEntryWeights);
    CPPUNIT_TEST(largeAnswersGoToWideLinks);
    CPPUNIT_TEST(equalEntriesAreAllListed);
    CPPUNIT_TEST(unknownSizesListAllEntries);
    CPPUNIT_TEST(narrowEntriesComeInAsUseRises);
    CPPUNIT_TEST(weightMovesFewCallersAtATime);
    CPPUNIT_TEST(lossOfWideEntriesListsAllAtOnce);
    CPPUNIT_TEST(someEntryIsAlwaysListed);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers of half a megabyte on links that take half a second for them.
    void largeAnswersGoToWideLinks()
    {
        const auto entries = mixedEntries(0.1);
        const auto isWide = Policy::wideEntries(entries);
        Policy::NarrowWeight weight;
        Policy::updateNarrowWeight(weight, entries, isWide, start);
        const auto listed = Policy::entriesToList(isWide, weight, std::vector<double>(8, 0));
        CPPUNIT_ASSERT(listed == std::vector<std::size_t>({6, 7}));
    }

    void equalEntriesAreAllListed()
    {
        const std::vector<SizedEntry> entries(4, entryWith(10, 0.1));
        const auto isWide = Policy::wideEntries(entries);
        CPPUNIT_ASSERT(isWide == std::vector<bool>(4, true));
    }

    // Guards against leaving out instances of an earlier version, which do not tell their size.
    void unknownSizesListAllEntries()
    {
        auto entries = mixedEntries(0.1);
        entries[0].size_ = {};
        CPPUNIT_ASSERT(Policy::wideEntries(entries) == std::vector<bool>(8, true));
    }

    void narrowEntriesComeInAsUseRises()
    {
        const Milliseconds minute(60000);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, weightAfter(mixedEntries(0.6), minute), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.5, weightAfter(mixedEntries(0.75), minute), 1e-9);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, weightAfter(mixedEntries(0.95), minute), 1e-9);
    }

    // Guards against callers that move to and fro together between two groups of entries.
    void weightMovesFewCallersAtATime()
    {
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.1, weightAfter(mixedEntries(0.95), Milliseconds(1000)),
                                     1e-9);
    }

    // Guards against callers without an entry after one of two wide ones has failed.
    void lossOfWideEntriesListsAllAtOnce()
    {
        auto entries = mixedEntries(0.1);
        entries.pop_back();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(1, weightAfter(entries, Milliseconds(1)), 1e-9);
    }

    void someEntryIsAlwaysListed()
    {
        Support::assertProperty("at least two entries are listed where there are two", [] {
            const auto links = *rc::gen::nonEmpty(
                rc::gen::container<std::vector<int>>(rc::gen::element(0, 10, 20, 100, 200, 1000)));
            std::vector<SizedEntry> entries;
            std::vector<double> draws;
            for (const int mbps : links) {
                entries.push_back(entryWith(mbps, *rc::gen::inRange(0, 256) / 100.0));
                draws.push_back(*rc::gen::inRange(0, 1000) / 1000.0);
            }
            const auto isWide = Policy::wideEntries(entries);
            Policy::NarrowWeight weight;
            Policy::updateNarrowWeight(weight, entries, isWide, start);
            const auto listed = Policy::entriesToList(isWide, weight, draws);
            RC_ASSERT(listed.size() >= std::min<std::size_t>(2, entries.size()));
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestEntryWeights);
