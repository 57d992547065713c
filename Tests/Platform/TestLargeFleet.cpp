#include "Fleet.h"

#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>
#include <csignal>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;
using PlatformStandIns::FleetInstance;

constexpr Milliseconds waitTimeout{10000};
/// The platform's bound for applying a change at every instance.
constexpr Milliseconds applyBound{2500};
/// Large enough that only selected instances read the store.
constexpr std::size_t fleetSize = 20;

class TestLargeFleet : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLargeFleet);
    CPPUNIT_TEST(fewInstancesReadTheStoreAndAllApplyChanges);
    CPPUNIT_TEST(leaveIsInForceWhereReadersStop);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::vector<const FleetInstance *> readersOf(const Fleet &fleet)
    {
        std::vector<const FleetInstance *> readers;
        for (const auto &instance : fleet.instances_) {
            Http::SimpleRequest metrics;
            metrics.address_ = instance->admin();
            metrics.target_ = "/metrics";
            const auto answer = Http::sendAndWait(metrics);
            if (answer && answer->body().find("\ncassiacrank_store_reader 1") != std::string::npos)
                readers.push_back(instance.get());
        }
        return readers;
    }

    // Guards against a fleet in which every instance reads the store, and against delayed updates.
    void fewInstancesReadTheStoreAndAllApplyChanges()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(fleetSize, {"t1", "t2"}));
        const std::size_t readers = 2 * Policy::readersInRegion;
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return readersOf(fleet).size() == readers;
        }));
        // Calls that began before the readers were selected end within their maximum wait.
        Harness::pause(Milliseconds(9000));
        const int before = fleet.store_.calls();
        auto &leaving = *fleet.targets_[0];
        fleet.registerTarget(leaving, "r-a", "draining");
        fleet.configure(4, "added");
        Harness::pause(applyBound);
        const int calls = fleet.store_.calls() - before;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls), calls <= 4 * static_cast<int>(readers));
        const auto runs = leaving.runCount();
        for (std::size_t i = 0; i < 2 * fleetSize; ++i) {
            const auto answer = fleet.send(*fleet.instances_[i % fleetSize], "added",
                                           "a" + std::to_string(i), 2000, std::to_string(i));
            CPPUNIT_ASSERT(answer && answer->result() == status::ok);
        }
        CPPUNIT_ASSERT_EQUAL(runs, leaving.runCount());
    }

    // Guards against updates that are lost with the readers that hold them: all but one of a
    // region's readers stop when a target leaves, while the last one still batches earlier updates.
    void leaveIsInForceWhereReadersStop()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(fleetSize, {"t1", "t2"}));
        const std::size_t readers = 2 * Policy::readersInRegion;
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return readersOf(fleet).size() == readers;
        }));
        std::vector<const FleetInstance *> stopping;
        for (const auto *reader : readersOf(fleet)) {
            if (reader->domain_.starts_with("r-"))
                stopping.push_back(reader);
        }
        stopping.pop_back();
        fleet.addTarget("t3", "s-a");
        Harness::pause(Milliseconds(300));
        for (const auto *reader : stopping)
            reader->process_->signal(SIGSTOP);
        auto &leaving = *fleet.targets_[0];
        fleet.registerTarget(leaving, "r-a", "draining");
        Harness::pause(Policy::leaveBoundInLargeFleet);
        const auto runs = leaving.runCount();
        for (std::size_t i = 0; i < 4 * fleetSize; ++i) {
            const auto &instance = *fleet.instances_[i % fleetSize];
            const bool isStopped
                = std::find(stopping.begin(), stopping.end(), &instance) != stopping.end();
            if (!isStopped)
                fleet.send(instance, "read", "l" + std::to_string(i), 2000, std::to_string(i));
        }
        CPPUNIT_ASSERT_EQUAL(runs, leaving.runCount());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestLargeFleet);
