#include "Run.h"

#include <Support/Property.h>

namespace {

class TestSoak : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestSoak);
    CPPUNIT_TEST(planIsTheSameForASeed);
    CPPUNIT_TEST(promisesAreKeptUnderASeriesOfFaults);
    CPPUNIT_TEST(refusalAfterALostAnswerIsTrue);
    CPPUNIT_TEST(requestsThatEndTargetsAreKeptFromThemAmongOtherFaults);
    CPPUNIT_TEST_SUITE_END();

public:
    void planIsTheSameForASeed()
    {
        const auto once = Soak::planOf(7, {});
        const auto again = Soak::planOf(7, {});
        CPPUNIT_ASSERT(!once.empty());
        CPPUNIT_ASSERT_EQUAL(once.size(), again.size());
        for (std::size_t i = 0; i < once.size(); ++i) {
            CPPUNIT_ASSERT_EQUAL(Soak::toText(once[i]), Soak::toText(again[i]));
            CPPUNIT_ASSERT(once[i].end_ <= Soak::PlanSize().length_ - Soak::calmTime);
        }
    }

    void promisesAreKeptUnderASeriesOfFaults() { assertKept(3, false); }

    // Guards against a request reported as not run although it has run: one target truncates its
    // answer, a second one refuses, and only the outcome of the last attempt is reported.
    void refusalAfterALostAnswerIsTrue() { assertKept(1, false); }

    // Guards against poison requests reaching targets while instances and targets come and go.
    void requestsThatEndTargetsAreKeptFromThemAmongOtherFaults() { assertKept(5, true); }

    static void assertKept(std::uint64_t seed, bool hasPoisonRequests)
    {
        Soak::PlanSize size;
        size.hasPoisonRequests_ = hasPoisonRequests;
        const auto result = Soak::run(seed, size);
        std::string found = "seed " + std::to_string(seed) + ", logs " + result.directory_;
        for (const auto &broken : result.broken_)
            found += "\n" + broken;
        CPPUNIT_ASSERT_MESSAGE(found, result.broken_.empty());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestSoak);
