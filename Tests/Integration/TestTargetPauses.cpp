#include "Load.h"

#include <algorithm>

namespace {

using Harness::Site;
using Integration::section;
using Model::Milliseconds;

/// The terms of the targets' protocol, for each entry by itself: from this time after a target
/// asked for a pause until its end, at most so many requests reach it.
constexpr Milliseconds requestsOnTheWay{500};
constexpr std::size_t maxRequestsInAPause = 2;

/// A request or a probe that a pausing target has turned away.
struct Refusal
{
    std::string entry_;
    Milliseconds at_{0};
    bool isProbe_ = false;
};

/// Returns the entry that made a request id: its name is followed by three numbers.
std::string entryIn(std::string id)
{
    for (int part = 0; part < 3; ++part)
        id.resize(std::min(id.size(), id.rfind('-')));
    return id;
}

std::vector<Refusal> refusalsOf(Site &site, const std::string &target)
{
    std::vector<Refusal> refusals;
    for (const auto &entry : site.targetRefusals(target)) {
        refusals.push_back({entryIn(entry.at("id").get<std::string>()),
                            Milliseconds(entry.at("at_ms").get<long long>()),
                            entry.at("probe").get<bool>()});
    }
    return refusals;
}

/// Returns the most requests (or probes) that reached a target from one entry within the part of a
/// pause in which they count.
std::size_t mostInAPause(const std::vector<Refusal> &refusals, Milliseconds pause, bool ofProbes)
{
    std::size_t most = 0;
    for (const auto &asked : refusals) {
        const auto inPause
            = std::count_if(refusals.begin(), refusals.end(), [&](const auto &other) {
                  return other.entry_ == asked.entry_ && other.isProbe_ == ofProbes
                         && other.at_ > asked.at_ + requestsOnTheWay
                         && other.at_ < asked.at_ + pause;
              });
        most = std::max(most, static_cast<std::size_t>(inPause));
    }
    return most;
}

class TestTargetPauses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetPauses);
    CPPUNIT_TEST(pausingTargetGetsNoRequestsFromEntriesThatItTold);
    CPPUNIT_TEST(pauseWithAFractionHoldsAgainAndAgain);
    CPPUNIT_TEST(callersAreToldTheSoonestEndWhereAllTargetsPause);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Returns the ids of the targets of gauging in the region of the load.
    static std::vector<std::string> targetsInRegion(Site &site)
    {
        std::vector<std::string> ids;
        for (const auto &target : site.targets()) {
            const auto &row = target.row_;
            if (row.service_.value() == "gauging" && row.domain_.value().starts_with("primorska"))
                ids.push_back(row.id_.value());
        }
        return ids;
    }

    /// Has a target that looks idle ask for pauses under load, and returns its refusals. \a served
    /// is set to the fraction of the callers' requests that ran.
    static std::vector<Refusal> refusalsUnderLoad(const std::string &pause, Milliseconds duration,
                                                  double &served)
    {
        Site site({});
        site.start();
        const std::string target = targetsInRegion(site).front();
        const auto load = site.loadtool(
            "pauses", section(site, {.name_ = "all", .callerCount_ = 16, .rate_ = 200}), 14);
        load->start();
        Harness::pause(Milliseconds(1500));
        site.switchTarget(target, {{"pause", pause}, {"claim_idle", true}});
        Harness::pause(duration);
        auto refusals = refusalsOf(site, target);
        site.switchTarget(target, {{"pause", ""}, {"claim_idle", false}});
        const double before = site.targetCounts(target).at("started").get<double>();
        const auto result = Integration::finish(site, *load, "pauses");
        Integration::assertTruth(result);
        served = static_cast<double>(Harness::countOutcome(result.samples_, "run"))
                 / static_cast<double>(result.samples_.size());
        // A target that takes requests again gets some.
        CPPUNIT_ASSERT(site.targetCounts(target).at("started").get<double>() > before);
        CPPUNIT_ASSERT(!refusals.empty());
        return refusals;
    }

    // Guards against entries that go on sending requests and probes to a target that has asked them
    // for a pause, because one that refuses at once looks idle.
    void pausingTargetGetsNoRequestsFromEntriesThatItTold()
    {
        double served = 0;
        const auto refusals = refusalsUnderLoad("3", Milliseconds(7000), served);
        const std::size_t requests = mostInAPause(refusals, Milliseconds(3000), false);
        const std::size_t probes = mostInAPause(refusals, Milliseconds(3000), true);
        const std::string seen = std::to_string(requests) + " requests, " + std::to_string(probes)
                                 + " probes in a pause, " + std::to_string(served) + " served";
        CPPUNIT_ASSERT_MESSAGE(seen, requests <= maxRequestsInAPause);
        CPPUNIT_ASSERT_MESSAGE(seen, probes <= maxRequestsInAPause);
        CPPUNIT_ASSERT_MESSAGE(seen, served >= 0.98);
    }

    // Guards against pauses that are cut off to whole seconds, or kept only once.
    void pauseWithAFractionHoldsAgainAndAgain()
    {
        double served = 0;
        const auto refusals = refusalsUnderLoad("0.9", Milliseconds(6000), served);
        const std::size_t requests = mostInAPause(refusals, Milliseconds(900), false);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(requests) + " requests in a pause",
                               requests <= maxRequestsInAPause);
    }

    // Guards against callers who are held, or told to come back before any target takes a request,
    // where all targets of all regions have asked for pauses.
    void callersAreToldTheSoonestEndWhereAllTargetsPause()
    {
        Harness::SiteOptions options;
        options.instances_ = 1;
        Site site(options);
        site.start();
        for (const auto &target : site.targets())
            site.switchTarget(target.row_.id_.value(), {{"pause", "20"}});
        const auto &entry = site.instances().front().row_.addresses_.entry_;
        const auto send = [&] {
            return Integration::send(entry, Http::http::verb::get, "/gauging/tank/1",
                                     {{"Caller", "pilot-1"}, {"Request-Timeout-Ms", "1000"}});
        };
        // The probes learn of the pauses within two of their intervals.
        Harness::pause(Milliseconds(1500));
        const auto begun = std::chrono::steady_clock::now();
        const auto answer = send();
        const auto took = std::chrono::steady_clock::now() - begun;
        CPPUNIT_ASSERT_EQUAL(503U, answer.result_int());
        CPPUNIT_ASSERT(took < Milliseconds(500));
        const double delay = std::stod("0" + std::string(answer["Retry-After"]));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(delay), delay > 15 && delay <= 21);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetPauses);
