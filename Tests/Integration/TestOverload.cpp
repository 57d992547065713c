#include "Load.h"

#include <algorithm>

namespace {

using Harness::Site;
using Integration::section;
using Model::Milliseconds;

/// Requests per second of a region's gauging service: 60 slots / 100 ms.
constexpr double capacity = 600;

Harness::SiteOptions slowTargets()
{
    Harness::SiteOptions options;
    options.meanMs_["gauging"] = 100;
    return options;
}

double shareWithOutcome(const std::vector<Harness::SampleLine> &lines, const std::string &outcome)
{
    return double(Harness::countOutcome(lines, outcome)) / double(lines.size());
}

class TestOverload : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOverload);
    CPPUNIT_TEST(smallCallersDoNotNoticeBulk);
    CPPUNIT_TEST(smallCallersDoNotNoticeTenTimesTheCapacity);
    CPPUNIT_TEST(overloadIsRefusedAtOnceAndTheRestIsServed);
    CPPUNIT_TEST(deadTargetCostsAtMostOneAttempt);
    CPPUNIT_TEST(falseLoadReportsDoNotOverloadTargets);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against requests of small callers that take seconds or are refused while other callers
    // send bulk: the bulk is several times the region's capacity, through all entries and over many
    // connections. A common queue, or slots that bulk fills completely, cause it.
    void smallCallersDoNotNoticeBulk() { assertSmallCallersUnaffected(4); }

    // As above, with ten times the region's capacity.
    void smallCallersDoNotNoticeTenTimesTheCapacity() { assertSmallCallersUnaffected(10); }

    static void assertSmallCallersUnaffected(double factor)
    {
        // With fixed service times, all latency above them is queueing, and the percentiles are
        // stable.
        auto options = slowTargets();
        options.hasExponentialTimes_ = false;
        Site site(options);
        site.start();
        const auto load = site.loadtool("fair",
                                        section(site, {.name_ = "small", .rate_ = 40})
                                            + section(site, {.name_ = "bulk",
                                                             .callers_ = "partner-",
                                                             .callerCount_ = 24,
                                                             .rate_ = factor * capacity,
                                                             .more_ = "from_ms = 6000"}),
                                        14);
        load->start();
        const auto result = Integration::finish(site, *load, "fair");
        Integration::assertTruth(result);
        std::vector<Harness::SampleLine> before;
        std::vector<Harness::SampleLine> during;
        for (const auto &line : Harness::samplesOfStream(result.samples_, "small")) {
            if (line.sentSeconds_ < 6)
                before.push_back(line);
            if (line.sentSeconds_ >= 7)
                during.push_back(line);
        }
        CPPUNIT_ASSERT_EQUAL_MESSAGE(result.log_, during.size(),
                                     Harness::countOutcome(during, "run"));
        const double median = Harness::latencyMs(during, 0.5) / Harness::latencyMs(before, 0.5);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(median), median < 1.1);
        const double tail = Harness::latencyMs(during, 0.99) / Harness::latencyMs(before, 0.99);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(tail), tail < 1.2);
    }

    // Guards against low goodput and late refusals at 2 and 5 times the region's capacity. Long
    // queues cause them, because requests are served after their callers gave up.
    void overloadIsRefusedAtOnceAndTheRestIsServed()
    {
        Site site(slowTargets());
        site.start();
        for (const double factor : {2.0, 5.0}) {
            const std::string name = "overload-" + std::to_string(static_cast<int>(factor));
            double answered = 0;
            std::vector<double> refusals;
            for (const auto &line : playInParts(site, name, factor)) {
                answered += line.outcome_ == "run" && line.sentSeconds_ >= 2 ? 1 : 0;
                if (line.outcome_ != "not-run")
                    continue;
                refusals.push_back(line.latencyMs_);
                // The queue limit of the service is 200 ms.
                CPPUNIT_ASSERT_MESSAGE(describe(line), line.latencyMs_ < 400);
            }
            const double goodput = answered / 6 / capacity;
            CPPUNIT_ASSERT_MESSAGE(name + " " + std::to_string(goodput), goodput > 0.85);
            // A request that is certain to exceed that limit is refused without a wait.
            const auto middle = refusals.begin() + std::ptrdiff_t(refusals.size() / 2);
            std::nth_element(refusals.begin(), middle, refusals.end());
            CPPUNIT_ASSERT_MESSAGE(name + " " + std::to_string(*middle), *middle < 100);
        }
    }

    static std::string describe(const Harness::SampleLine &line)
    {
        return std::to_string(line.latencyMs_) + " ms, of which the load tool was late by "
               + std::to_string(line.sendDelayMs_);
    }

    /// Plays \a factor times the capacity with several load tools. A single tool needs half a core
    /// at these rates; with less, its own lateness looks like latency of the system.
    static std::vector<Harness::SampleLine> playInParts(Site &site, const std::string &name,
                                                        double factor)
    {
        constexpr int parts = 4;
        std::vector<std::pair<std::string, std::unique_ptr<Harness::Process>>> loads;
        for (int i = 0; i < parts; ++i) {
            const std::string part = name + "-" + std::to_string(i);
            // All loads use the same targets, so each needs distinct request names.
            const int seed = static_cast<int>(factor) * parts + i;
            loads.emplace_back(part,
                               site.loadtool(part,
                                             section(site, {.name_ = "all",
                                                            .callers_ = "pilot-" + part + "-",
                                                            .callerCount_ = 32 / parts,
                                                            .rate_ = factor * capacity / parts}),
                                             8, seed));
        }
        for (auto &[part, load] : loads)
            load->start();
        std::vector<Harness::SampleLine> samples;
        for (auto &[part, load] : loads) {
            const auto result = Integration::finish(site, *load, part);
            Integration::assertTruth(result);
            samples.insert(samples.end(), result.samples_.begin(), result.samples_.end());
        }
        return samples;
    }

    void deadTargetCostsAtMostOneAttempt()
    {
        Site site({});
        site.start();
        const auto load = site.loadtool(
            "dead", section(site, {.name_ = "get", .callerCount_ = 8, .rate_ = 200}), 6);
        load->start();
        Harness::pause(Milliseconds(2000));
        site.target("gauging-01").process_->kill();
        site.target("gauging-06").process_->kill();
        const auto result = Integration::finish(site, *load, "dead");
        Integration::assertTruth(result);
        CPPUNIT_ASSERT_MESSAGE(result.log_, shareWithOutcome(result.samples_, "run") > 0.99);
    }

    // Guards against sending a target more requests than it has slots, which slows it down for all
    // callers: overloaded targets report that they are idle, and the entry trusts the report over
    // its local count.
    void falseLoadReportsDoNotOverloadTargets()
    {
        Site site(slowTargets());
        site.start();
        for (const auto &target : site.targets()) {
            if (target.row_.service_.value() == "gauging")
                site.switchTarget(target.row_.id_.value(), {{"claim_idle", true}});
        }
        const auto load = site.loadtool(
            "lies", section(site, {.name_ = "all", .callerCount_ = 16, .rate_ = 1.5 * capacity}),
            8);
        load->start();
        const auto result = Integration::finish(site, *load, "lies");
        Integration::assertTruth(result);
        for (const auto &target : site.targets()) {
            const auto counts = site.targetCounts(target.row_.id_.value());
            CPPUNIT_ASSERT(counts.at("most_in_flight").get<int>() <= target.row_.slots_.value());
        }
        const double goodput = double(Harness::countOutcome(result.samples_, "run")) / 8 / capacity;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(goodput), goodput > 0.8);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestOverload);
