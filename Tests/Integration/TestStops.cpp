#include "Load.h"

#include <LibPolicy/LibPolicy.h>

namespace {

using Harness::Site;
using Integration::section;
using Model::Milliseconds;

class TestStops : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStops);
    CPPUNIT_TEST(rollingReplacementCutsNoRequest);
    CPPUNIT_TEST(entryServesSoonAfterItsControlProcessStarts);
    CPPUNIT_TEST(leavingTargetGetsNoNewWork);
    CPPUNIT_TEST(targetGetsNoMoreThanItsLimitFromAllEntries);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests that fail during planned maintenance: instances are replaced under
    // load while callers hold look-ups that name them, and a process closes its port before its
    // callers learn of the stop.
    void rollingReplacementCutsNoRequest()
    {
        Site site({});
        site.start();
        std::string profile;
        for (const char *region : {"Primorska", "Osrednja", "Stajerska"}) {
            profile += section(site, {.name_ = std::string("get-") + region,
                                      .callerCount_ = 8,
                                      .rate_ = 100,
                                      .region_ = region});
            profile += section(site, {.name_ = std::string("post-") + region,
                                      .service_ = "transfers",
                                      .callers_ = "customs-",
                                      .rate_ = 10,
                                      .region_ = region,
                                      .more_ = "post = yes\nkey = yes\ntimeout_ms = 5000"});
        }
        const auto load = site.loadtool("rolling", profile, 18);
        load->start();
        // One of the two instances in each failure domain: six stop together.
        CPPUNIT_ASSERT(site.replaceAllInstances(Milliseconds(20000)));
        const auto result = Integration::finish(site, *load, "rolling");
        // A fresh entry that considers failure domains out refuses requests, possibly for too short
        // a time for a request of this load to show it.
        for (const auto &instance : site.instances()) {
            const std::string log = instance.entry_->log();
            CPPUNIT_ASSERT_MESSAGE(log, log.find("DomainOut") == std::string::npos);
        }
        Integration::assertTruth(result);
        CPPUNIT_ASSERT(result.samples_.size() > 3000);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.log_, result.samples_.size(),
                                     Harness::countOutcome(result.samples_, "run"));
    }

    // Guards against a replaced instance that serves only 5 or 10 s after its start: entryd and
    // lookupd start shortly before controld listens, so their first connection is refused, and the
    // second is made in time. Between two calls that fail at once, only gRPC's own poll every 5 s
    // checks the second connection's socket.
    void entryServesSoonAfterItsControlProcessStarts()
    {
        Site site({});
        site.start();
        auto &instance = site.instances().front();
        CPPUNIT_ASSERT(site.stopInstance(instance, Milliseconds(20000)));
        site.prepareInstance(instance);
        instance.entry_->start();
        instance.lookup_->start();
        for (const auto *process : {instance.entry_.get(), instance.lookup_.get()}) {
            CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(5000), [&] {
                return process->log().find("Started") != std::string::npos;
            }));
        }
        instance.control_->start();
        CPPUNIT_ASSERT(site.waitUntilServing(instance, Milliseconds(4000)));
    }

    // Guards against a draining target that still gets new requests and has to refuse them, because
    // the platform's list lags and instances rely on it alone. The target reports the drain only in
    // answers, and may have received no request for a while.
    void leavingTargetGetsNoNewWork()
    {
        Site site({});
        site.start();
        site.switchPlatform({{"list_lag_ms", 30000}});
        const auto load = site.loadtool(
            "leaving", section(site, {.name_ = "all", .callerCount_ = 16, .rate_ = 300}), 9);
        load->start();
        Harness::pause(Milliseconds(2000));
        site.switchTarget("gauging-01", {{"drain", true}});
        Harness::pause(Policy::leaveBound);
        const auto before = site.targetCounts("gauging-01");
        Harness::pause(Milliseconds(3000));
        const auto after = site.targetCounts("gauging-01");
        CPPUNIT_ASSERT_EQUAL(before.at("started").get<int>(), after.at("started").get<int>());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("asked after the bound", before.at("refused").get<int>(),
                                     after.at("refused").get<int>());
        const auto result = Integration::finish(site, *load, "leaving");
        Integration::assertTruth(result);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.log_, result.samples_.size(),
                                     Harness::countOutcome(result.samples_, "run"));
    }

    // Guards against a target that names a rate limit for all entries together and gets more,
    // because each entry ignores the limit or uses all of it; and against a limit that never ends.
    void targetGetsNoMoreThanItsLimitFromAllEntries()
    {
        constexpr double limit = 5;
        constexpr double allowed = 1.5 * limit * 4 + 5;
        constexpr Milliseconds window{4000};
        Site site({});
        site.start();
        const std::string target = limitedTarget(site);
        const auto started = [&] {
            return site.targetCounts(target).at("started").get<double>();
        };
        const auto load = site.loadtool(
            "limited", section(site, {.name_ = "all", .callerCount_ = 16, .rate_ = 300}), 18);
        load->start();
        Harness::pause(Milliseconds(1000));
        site.switchTarget(target, {{"limit", "5.0"}});
        Harness::pause(Milliseconds(2000));
        const double before = started();
        Harness::pause(window);
        const double limited = started() - before;
        site.switchTarget(target, {{"limit", ""}});
        Harness::pause(Milliseconds(2000));
        const double after = started();
        Harness::pause(window);
        const double unlimited = started() - after;
        const auto result = Integration::finish(site, *load, "limited");
        Integration::assertTruth(result);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(limited), limited <= allowed);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(limited), limited >= limit * 4 / 2);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(unlimited), unlimited > 2 * allowed);
    }

    /// Returns the id of a target of gauging in the region of the load.
    static std::string limitedTarget(Site &site)
    {
        for (const auto &target : site.targets()) {
            const auto &row = target.row_;
            if (row.service_.value() == "gauging" && row.domain_.value().starts_with("primorska"))
                return row.id_.value();
        }
        return "";
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestStops);
