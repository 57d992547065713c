#include "Fleet.h"

#include <Support/Property.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <sys/stat.h>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;

constexpr Milliseconds patience{10000};

class TestPlannedStops : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlannedStops);
    CPPUNIT_TEST(plannedStopFinishesWhatIsInProgress);
    CPPUNIT_TEST(stopSignalWhileStartingEndsWell);
    CPPUNIT_TEST(killedInstanceIsNoLongerNamed);
    CPPUNIT_TEST_SUITE_END();

public:
    void plannedStopFinishesWhatIsInProgress()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(2, {"t1"}));
        auto &target = *fleet.targets_[0];
        target.setFaults({.work_ = Milliseconds(900)});
        auto &stopping = *fleet.instances_[0];
        const auto before = target.runCount();
        auto answer = std::async(std::launch::async, [&] {
            return fleet.send(stopping, "order", "o1");
        });
        CPPUNIT_ASSERT(Harness::waitUntil(patience, [&] {
            return target.runCount() > before;
        }));
        stopping.process_->signal(SIGTERM);
        const auto received = answer.get();
        CPPUNIT_ASSERT(received && received->result() == status::ok);
        CPPUNIT_ASSERT(!fleet.isReady(stopping));
        // The other one names it no more, and it ends by itself inside the platform's grace.
        const std::string gone = toText(stopping.entry());
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(4000), [&] {
            const auto named = fleet.lookUp(*fleet.instances_[1], "r");
            return !named.empty() && std::find(named.begin(), named.end(), gone) == named.end();
        }));
        CPPUNIT_ASSERT_EQUAL(0, stopping.process_->wait(Milliseconds(6000)).value_or(-1));
    }

    // Guards against a stop signal that ends a process with a failure while it still starts.
    void stopSignalWhileStartingEndsWell()
    {
        Fleet fleet;
        fleet.configure(1);
        fleet.start(1);
        auto &process = *fleet.instances_[0]->process_;
        process.kill();
        const std::string path = fleet.directory() + "/" + fleet.instances_[0]->name_ + ".ini";
        std::ifstream file(path);
        const std::string settings((std::istreambuf_iterator<char>(file)), {});
        std::filesystem::remove(path);
        CPPUNIT_ASSERT_EQUAL(0, mkfifo(path.c_str(), S_IRUSR | S_IWUSR));
        process.start();
        {
            // Opens once the process has begun to read its settings.
            std::ofstream pipe(path);
            process.signal(SIGTERM);
            Harness::pause(Milliseconds(100));
            pipe << settings;
        }
        CPPUNIT_ASSERT_EQUAL(0, process.wait(Milliseconds(6000)).value_or(-1));
    }

    void killedInstanceIsNoLongerNamed()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1"}));
        const std::string gone = toText(fleet.instances_[0]->entry());
        const auto isNamed = [&] {
            const auto named = fleet.lookUp(*fleet.instances_[2], "r");
            return std::find(named.begin(), named.end(), gone) != named.end();
        };
        CPPUNIT_ASSERT(Harness::waitUntil(patience, isNamed));
        fleet.instances_[0]->process_->kill();
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(7000), [&] {
            return !isNamed();
        }));
        CPPUNIT_ASSERT(!fleet.lookUp(*fleet.instances_[2], "r").empty());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlannedStops);
