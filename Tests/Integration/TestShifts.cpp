#include "Load.h"

#include <algorithm>

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

/// Returns the largest sum of the failure domains' gains between two windows, relative to what the
/// cap allows between the middles of the windows.
double maxShiftRelativeToCap(const std::vector<Harness::SampleLine> &samples,
                             const Model::Table &table, double until)
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

/// Returns the share of the requests sent between two times that a target answered.
double servedPart(const std::vector<Harness::SampleLine> &samples, double from, double until)
{
    double served = 0;
    double sent = 0;
    for (const auto &line : samples) {
        if (line.sentSeconds_ < from || line.sentSeconds_ >= until)
            continue;
        sent += 1;
        served += line.outcome_ == "run" ? 1 : 0;
    }
    return served / sent;
}

bool isIn(const Site &site, const Model::Target &target, const std::string &region)
{
    return site.table().domain(target.domain_)->region_.value() == region;
}

/// Kills every target and instance of a region without a planned stop.
void killRegion(Site &site, const std::string &region)
{
    for (auto &target : site.targets()) {
        if (isIn(site, target.row_, region))
            target.process_->signal(SIGKILL);
    }
    for (auto &instance : site.instances()) {
        if (instance.row_.region_.value() != region)
            continue;
        for (auto *process : instance.processes())
            process->signal(SIGKILL);
    }
}

void startRegion(Site &site, const std::string &region)
{
    for (auto &target : site.targets()) {
        if (!isIn(site, target.row_, region))
            continue;
        target.process_->kill();
        target.process_->start();
    }
    for (auto &instance : site.instances()) {
        if (instance.row_.region_.value() == region)
            site.startInstance(instance);
    }
}

/// Returns the share of the answered requests, of those sent between two times, that targets of a
/// region answered.
double regionShare(const std::vector<Harness::SampleLine> &samples, const Site &site,
                   const std::string &region, double from, double until)
{
    const auto shares = Harness::domainShares(samples, site.table(), from, until);
    double sum = 0;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        if (site.table().domains()[i].region_.value() == region)
            sum += shares[i];
    }
    return sum;
}

class TestShifts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestShifts);
    CPPUNIT_TEST(scheduledDrainKeepsTheCapAndEndsInTime);
    CPPUNIT_TEST(crashOfADomainMovesNoFasterThanTheCap);
    CPPUNIT_TEST(crashOfARegionMovesNoFasterThanTheCap);
    CPPUNIT_TEST(recoveryOfARegionMovesNoFasterThanTheCap);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a drain that overloads the other failure domain or never ends: during a
    // scheduled drain under load, the store goes down and an entry restarts. The shift must not
    // need the store, and a restarted entry must not begin it again.
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
        // Half of the traffic moves at 10% per second: the shift is half done here.
        auto &instance = site.instance("primorska-b-2");
        instance.entry_->kill();
        instance.entry_->start();
        const auto result = Integration::finish(site, *load, "drain");
        Integration::assertTruth(result);
        const double peak = maxShiftRelativeToCap(result.samples_, site.table(), 14);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(peak), peak <= 1.1);
        const auto shares = Harness::domainShares(result.samples_, site.table(), 9.5, 14);
        const std::size_t drained = 2;
        CPPUNIT_ASSERT_EQUAL(std::string("primorska-a"),
                             site.table().domains()[drained].id_.value());
        CPPUNIT_ASSERT_EQUAL_MESSAGE("traffic left in the drained domain", 0.0, shares[drained]);
    }

    // Guards against failover without a limit: when all targets of a failure domain are killed
    // under load, the other domain gets all of its traffic at once. Requests above the cap must be
    // refused at once as not run.
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
        // The surviving domain's share of all requests sent grows no faster than the cap.
        const auto servedShare = [&](double from) {
            double served = 0;
            double sent = 0;
            for (const auto &line : result.samples_) {
                if (line.sentSeconds_ < from || line.sentSeconds_ >= from + 1)
                    continue;
                sent += 1;
                served += line.outcome_ == "run" ? 1 : 0;
            }
            return served / sent;
        };
        const double soonAfter = servedShare(4.2);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(soonAfter), soonAfter < 0.5 + 0.17 + 0.08);
        const double late = servedShare(10.5);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(late), late > 0.99);
        for (const auto &line : result.samples_) {
            if (line.outcome_ == "not-run")
                CPPUNIT_ASSERT_MESSAGE(line.token_ + " held back", line.latencyMs_ < 500);
        }
    }

    // Guards against callers that overload the next region when every target and instance of their
    // region is killed under load, because they fail over by themselves, past every cap.
    void crashOfARegionMovesNoFasterThanTheCap()
    {
        Site site(siteWithCap());
        site.start();
        const auto load = site.loadtool(
            "region", section(site, {.name_ = "get", .callerCount_ = 32, .rate_ = 300}), 20);
        load->start();
        Harness::pause(Milliseconds(3000));
        killRegion(site, "Primorska");
        const auto result = Integration::finish(site, *load, "region");
        Integration::assertTruth(result);
        for (double from = 4; from + 3 <= 20; from += 0.5) {
            const double rise = servedPart(result.samples_, from + 2, from + 3)
                                - servedPart(result.samples_, from, from + 1);
            // The span of the two windows is 3 s.
            CPPUNIT_ASSERT_MESSAGE(std::to_string(from) + ": " + std::to_string(rise),
                                   rise < cap * 3 + 0.1);
        }
        const auto late = Harness::domainShares(result.samples_, site.table(), 18, 20);
        double totalShare = 0;
        for (std::size_t i = 0; i < late.size(); ++i)
            totalShare += late[i];
        CPPUNIT_ASSERT_MESSAGE(result.log_, totalShare > 0.99);
        std::string status;
        CPPUNIT_ASSERT_EQUAL(0, site.tablectl({"status"}, &status));
        for (const std::string part :
             {"primorska-a-1: no answer", "region Primorska is out", "moving: gauging"})
            CPPUNIT_ASSERT_MESSAGE(status, status.find(part) != std::string::npos);
    }

    // Guards against a region that gets all of its callers at once when it restarts after a crash,
    // while its targets are cold: every process of the region is killed under load, its traffic
    // moves to the other regions, and the region is started again. Fresh entries without a peer in
    // the local region must not begin at the planned shares, because the entries of the other
    // regions hold the present ones.
    void recoveryOfARegionMovesNoFasterThanTheCap()
    {
        constexpr double fastCap = 0.2;
        constexpr int seconds = 24;
        auto options = siteWithCap();
        options.cells_["service gauging"] = {{"shift_cap", "20"}, {"region_shift_cap", "20"}};
        Site site(options);
        site.start();
        const auto load = site.loadtool(
            "return", section(site, {.name_ = "get", .callerCount_ = 32, .rate_ = 300}), seconds);
        load->start();
        Harness::pause(Milliseconds(1000));
        killRegion(site, "Primorska");
        // 5 s until the region is considered failed, 5 s for the shift, and a margin.
        Harness::pause(Milliseconds(13000));
        startRegion(site, "Primorska");
        const auto result = Integration::finish(site, *load, "return");
        Integration::assertTruth(result);
        const auto shareAt = [&](double from) {
            return regionShare(result.samples_, site, "Primorska", from, from + 1);
        };
        CPPUNIT_ASSERT_MESSAGE("it was gone", shareAt(13) < 0.01);
        std::string series;
        for (double from = 11; from + 1 <= seconds; from += 0.5) {
            const auto count = std::count_if(
                result.samples_.begin(), result.samples_.end(), [&](const auto &line) {
                    return line.sentSeconds_ >= from && line.sentSeconds_ < from + 1
                           && line.outcome_ == "run";
                });
            series += "\n" + std::to_string(from) + " s: " + std::to_string(count)
                      + " answered, share " + std::to_string(shareAt(from));
        }
        for (double from = 13; from + 3 <= seconds; from += 0.5) {
            const double rise = shareAt(from + 2) - shareAt(from);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(from) + ": " + std::to_string(rise) + series,
                                   rise < fastCap * 2 + 0.1);
        }
        CPPUNIT_ASSERT_MESSAGE("it is back", shareAt(seconds - 1) > 0.95);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestShifts);
