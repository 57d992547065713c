#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Fakes::Brain;

class TestIdleConnections : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestIdleConnections);
    CPPUNIT_TEST(targetsKnownBeforeTheTableAreSkipped);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a memory fault right after the start of a process: if the targets are read
    // from the store before the operators' table, refreshing idle connections looks up the round
    // trip to a region before any region is known.
    void targetsKnownBeforeTheTableAreSkipped()
    {
        Brain brain("r-a");
        Http::asio::io_context context;
        Steering::CrashGuard guard(brain.port_, brain.log_);
        Steering::Dispatcher dispatcher(context, brain.port_, brain.knowledge_, brain.placer_,
                                        guard, brain.log_);
        brain.tellTargets(2, {Fakes::target("a", "gauging", "s-a", 2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), brain.book_.all().size());
        dispatcher.refreshSpares(brain.book_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), context.poll());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestIdleConnections);
