#include "Load.h"

namespace {

using Harness::Site;
using Integration::section;
using Model::Milliseconds;

constexpr double cap = 0.10;

Harness::SiteOptions siteWithCap()
{
    Harness::SiteOptions options;
    options.cells_["service gauging"] = {{"shift_cap", "10"}, {"region_shift_cap", "10"}};
    options.meanMs_["gauging"] = 5;
    return options;
}

/// The largest gain of any failure domain between two windows, against what the cap allows between
/// their middles. Counts of a window are whole requests; their share of the window is taken off.
double shiftPeakOfCap(const std::vector<Harness::SampleLine> &samples, const Model::Table &table,
                      double until)
{
    constexpr double window = 1.0;
    constexpr double step = 0.5;
    double peak = 0;
    for (double from = 1.0; from + 4 * window < until; from += step) {
        const auto before = Harness::domainShares(samples, table, from, from + window);
        const auto after
            = Harness::domainShares(samples, table, from + 3 * window, from + 4 * window);
        double moved = 0;
        for (std::size_t i = 0; i < before.size(); ++i)
            moved += std::max(0.0, after[i] - before[i]);
        peak = std::max(peak, moved / (cap * 3 * window));
    }
    return peak;
}

/// The part of the requests sent between two times that a target answered.
double servedPart(const std::vector<Harness::SampleLine> &samples, double from, double until)
{
    double served = 0;
    double sent = 0;
    for (const auto &line : samples) {
        if (line.sentSeconds_ < from || line.sentSeconds_ >= until)
            continue;
        sent += 1;
        served += line.told_ == "run" ? 1 : 0;
    }
    return served / sent;
}

class TestShifts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestShifts);
    CPPUNIT_TEST(scheduledDrainKeepsTheCapAndEndsInTime);
    CPPUNIT_TEST(crashOfADomainMovesNoFasterThanTheCap);
    CPPUNIT_TEST(crashOfARegionMovesNoFasterThanTheCap);
    CPPUNIT_TEST_SUITE_END();

public:
    // Symptom: a drain floods the other failure domain, or never ends.
    // Sequence: a scheduled drain under load, with the store down and entries restarted on the way.
    // Cause: steps that need the store, or entries that begin the shift anew.
    void scheduledDrainKeepsTheCapAndEndsInTime()
    {
        Site site(siteWithCap());
        site.start();
        const auto load = site.loadtool(
            "drain", section(site, {.name_ = "get", .callerCount_ = 32, .rate_ = 500}), 14);
        load->start();
        Harness::pause(Milliseconds(2000));
        const auto drainAt
            = std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now())
              + Milliseconds(1500);
        std::string output;
        CPPUNIT_ASSERT_EQUAL(0, site.tablectl({"--operator=test", "drain", "primorska-a",
                                               "--start=" + Model::toText(drainAt)},
                                              &output));
        Harness::pause(Milliseconds(1500));
        site.switchPlatform({{"down", true}});
        Harness::pause(Milliseconds(1500));
        // Half of the traffic at 10% a second: the shift is in its middle now.
        auto &instance = site.instance("primorska-b-2");
        instance.entry_->kill();
        instance.entry_->start();
        const auto result = Integration::finish(site, *load, "drain");
        Integration::assertTruth(result);
        const double peak = shiftPeakOfCap(result.samples_, site.table(), 14);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak), peak <= 1.1);
        const auto shares = Harness::domainShares(result.samples_, site.table(), 9.5, 14);
        const std::size_t drained = 2;
        CPPUNIT_ASSERT_EQUAL(std::string("primorska-a"),
                             site.table().domains()[drained].id_.value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("traffic left in the drained domain", 0.0, shares[drained]);
    }

    // Symptom: when a failure domain dies, the other one gets all of its traffic at once.
    // Sequence: all targets of a failure domain are killed under load.
    // Cause: failing over without a limit. The rest must be refused at once, as not run.
    void crashOfADomainMovesNoFasterThanTheCap()
    {
        Site site(siteWithCap());
        site.start();
        const auto load = site.loadtool(
            "crash", section(site, {.name_ = "get", .callerCount_ = 32, .rate_ = 400}), 12);
        load->start();
        Harness::pause(Milliseconds(3000));
        for (auto &target : site.targets()) {
            if (target.row_.domain_.value() == "primorska-a")
                target.process_->signal(SIGKILL);
        }
        const auto result = Integration::finish(site, *load, "crash");
        Integration::assertTruth(result);
        // What the surviving domain serves, of all that is sent, grows no faster than the cap.
        const auto servedShare = [&](double from) {
            double served = 0;
            double sent = 0;
            for (const auto &line : result.samples_) {
                if (line.sentSeconds_ < from || line.sentSeconds_ >= from + 1)
                    continue;
                sent += 1;
                served += line.told_ == "run" ? 1 : 0;
            }
            return served / sent;
        };
        const double soonAfter = servedShare(4.2);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(soonAfter), soonAfter < 0.5 + 0.17 + 0.08);
        const double late = servedShare(10.5);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(late), late > 0.99);
        for (const auto &line : result.samples_) {
            if (line.told_ == "not-run")
                CPPUNIT_ASSERT_MESSAGE(line.token_ + " held back", line.latencyMs_ < 500);
        }
    }

    // Symptom: when a region dies, its callers flood the next one.
    // Sequence: every process of a region, targets and instances, is killed under load.
    // Cause: callers that fail over by themselves, past every cap.
    void crashOfARegionMovesNoFasterThanTheCap()
    {
        Site site(siteWithCap());
        site.start();
        const auto load = site.loadtool(
            "region", section(site, {.name_ = "get", .callerCount_ = 32, .rate_ = 300}), 20);
        load->start();
        Harness::pause(Milliseconds(3000));
        for (auto &target : site.targets()) {
            if (target.row_.domain_.value().starts_with("primorska"))
                target.process_->signal(SIGKILL);
        }
        for (auto &instance : site.instances()) {
            if (instance.row_.region_.value() == "Primorska") {
                for (auto *process : instance.processes())
                    process->signal(SIGKILL);
            }
        }
        const auto result = Integration::finish(site, *load, "region");
        Integration::assertTruth(result);
        for (double from = 4; from + 3 <= 20; from += 0.5) {
            const double rise = servedPart(result.samples_, from + 2, from + 3)
                                - servedPart(result.samples_, from, from + 1);
            // Three seconds lie between the ends of the windows.
            CPPUNIT_ASSERT_MESSAGE(std::to_string(from) + ": " + std::to_string(rise),
                                   rise < cap * 3 + 0.1);
        }
        const auto late = Harness::domainShares(result.samples_, site.table(), 18, 20);
        double elsewhere = 0;
        for (std::size_t i = 0; i < late.size(); ++i)
            elsewhere += late[i];
        CPPUNIT_ASSERT_MESSAGE(result.log_, elsewhere > 0.99);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestShifts);
