#include "Load.h"

namespace {

using Harness::Site;
using Integration::section;
using Model::Milliseconds;

class TestTruthUnderFaults : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTruthUnderFaults);
    CPPUNIT_TEST(badAnswersNeverReachACaller);
    CPPUNIT_TEST(keyedRequestsRunAtMostOnceUnderMixedFaults);
    CPPUNIT_TEST(silentConnectionsCostOneRetry);
    CPPUNIT_TEST(pausedEntryKeepsThePromises);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a caller that gets another caller's answer or a truncated one: under load,
    // some targets swap the ids of their answers, some truncate answers and some answer late, and
    // the entry trusts the order of answers on a connection.
    void badAnswersNeverReachACaller()
    {
        Site site({});
        site.start();
        const auto load
            = site.loadtool("bad",
                            section(site, {.name_ = "get", .callerCount_ = 8, .rate_ = 150})
                                + section(site, {.name_ = "post",
                                                 .service_ = "transfers",
                                                 .callers_ = "customs-",
                                                 .rate_ = 20,
                                                 .more_ = "post = yes\ntimeout_ms = 1000"}),
                            8);
        load->start();
        Harness::pause(Milliseconds(1000));
        site.switchTarget("gauging-01", {{"foreign", true}});
        site.switchTarget("gauging-02", {{"truncate", true}});
        site.switchTarget("gauging-06", {{"late_ms", 700}});
        site.switchTarget("transfers-01", {{"foreign", true}});
        site.switchTarget("transfers-02", {{"truncate", true}});
        const auto result = Integration::finish(site, *load, "bad");
        Integration::assertTruth(result);
        const auto gets = Harness::samplesOfStream(result.samples_, "get");
        CPPUNIT_ASSERT_MESSAGE(result.log_, Harness::countOutcome(gets, "run") > gets.size() * 0.9);
    }

    // Guards against any path that runs a request without holding its idempotency claim, so that it
    // runs twice or is reported as "not run" although it ran: callers repeat unknown outcomes with
    // the same key through other entries while entries are killed or paused, targets fail,
    // confirmations of claims are lost and the store goes down.
    void keyedRequestsRunAtMostOnceUnderMixedFaults()
    {
        Harness::SiteOptions options;
        options.meanMs_["transfers"] = 5;
        Site site(options);
        site.start();
        std::string profile;
        for (const char *region : {"Primorska", "Osrednja", "Stajerska"}) {
            profile += section(site, {.name_ = std::string("post-") + region,
                                      .service_ = "transfers",
                                      .callers_ = "customs-",
                                      .callerCount_ = 8,
                                      .rate_ = 225,
                                      .region_ = region,
                                      .more_ = "post = yes\nkey = yes\nrepeats = 4\n"
                                               "timeout_ms = 2000"});
        }
        const auto load = site.loadtool("once", profile, 16);
        load->start();
        Harness::pause(Milliseconds(2000));
        site.switchPlatform({{"lose_confirmations", 3}});
        Harness::pause(Milliseconds(1500));
        auto &first = site.instance("primorska-a-1");
        first.entry_->kill();
        site.instance("osrednja-b-2").entry_->signal(SIGSTOP);
        Harness::pause(Milliseconds(1500));
        site.switchPlatform({{"down", true}});
        Harness::pause(Milliseconds(1500));
        site.switchPlatform({{"down", false}, {"lose_confirmations", 2}});
        site.instance("osrednja-b-2").entry_->signal(SIGCONT);
        first.entry_->start();
        Harness::pause(Milliseconds(1500));
        site.switchTarget("transfers-03", {{"foreign", true}});
        site.switchTarget("transfers-05", {{"truncate", true}});
        site.instance("stajerska-a-1").entry_->kill();
        Harness::pause(Milliseconds(2000));
        site.switchPlatform({{"delay_ms", 300}});
        const auto result = Integration::finish(site, *load, "once");
        Integration::assertTruth(result);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(result.samples_.size()),
                               result.samples_.size() >= 10000);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.log_, 0.0, result.judged("answered_but_not_run"));
        // Refusing everything must not satisfy the test.
        const double answered = double(Harness::countOutcome(result.samples_, "run"));
        CPPUNIT_ASSERT_MESSAGE(result.log_, answered > 0.5 * double(result.samples_.size()));
    }

    // Guards against requests that time out one after another although the targets are healthy: a
    // device on the path drops the state of open connections while new ones work, and a pool keeps
    // using connections as old as the one that failed.
    void silentConnectionsCostOneRetry()
    {
        Harness::SiteOptions options;
        options.hasProxy_ = true;
        Site site(options);
        site.start();
        const auto load = site.loadtool(
            "silent", section(site, {.name_ = "get", .callerCount_ = 8, .rate_ = 150}), 8);
        load->start();
        Harness::pause(Milliseconds(3000));
        site.switchProxy("*", "freeze");
        const auto result = Integration::finish(site, *load, "silent");
        Integration::assertTruth(result);
        const auto answered = Harness::countOutcome(result.samples_, "run");
        CPPUNIT_ASSERT_MESSAGE(result.log_, answered > 0.98 * double(result.samples_.size()));
    }

    // Guards against a resumed entry that sends requests which others ran during its pause: entries
    // are paused with requests in progress, callers repeat them through other entries, and the
    // paused holder does not notice that its lease expired.
    void pausedEntryKeepsThePromises()
    {
        Site site({});
        site.start();
        const auto load = site.loadtool(
            "paused",
            section(site, {.name_ = "post",
                           .service_ = "transfers",
                           .callers_ = "customs-",
                           .callerCount_ = 8,
                           .rate_ = 60,
                           .more_ = "post = yes\nkey = yes\nrepeats = 4\ntimeout_ms = 1500"}),
            10);
        load->start();
        auto &instance = site.instance("primorska-b-1");
        for (int i = 0; i < 3; ++i) {
            Harness::pause(Milliseconds(700));
            instance.entry_->signal(SIGSTOP);
            Harness::pause(Milliseconds(1800));
            instance.entry_->signal(SIGCONT);
        }
        const auto result = Integration::finish(site, *load, "paused");
        Integration::assertTruth(result);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTruthUnderFaults);
