#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Fakes::InstanceFixture;

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
        InstanceFixture instance("r-a");
        Http::asio::io_context context;
        Steering::CrashGuard guard(instance.port_, instance.log_);
        Steering::PeerExchange peers(context, instance.settings_, instance.platformState_,
                                     instance.log_);
        Steering::QuotaExchange quotas(context, instance.settings_, instance.platformState_, peers,
                                       instance.log_);
        Steering::Dispatcher dispatcher(context, instance.port_, instance.platformState_,
                                        instance.placementEngine_, instance.reach_, guard, quotas,
                                        instance.log_);
        instance.setTargetRows(2, {Fakes::target("a", "gauging", "s-a", 2)});
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), instance.targetRegistry_.all().size());
        dispatcher.refreshIdleConnections(instance.targetRegistry_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), context.poll());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestIdleConnections);
