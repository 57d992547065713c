#include "QuotaFleet.h"

#include <Support/Property.h>

namespace {

using Fleets::QuotaFleet;

constexpr double windowSeconds = 5;
constexpr std::size_t instancesPerDomain = 10;
constexpr std::uint64_t seeds = 10;
/// Of the requests inside the quota, the part that must be admitted at least.
constexpr double admittedOnACalmDay = 0.995;
constexpr double admittedOnTheWorstDay = 0.98;

Model::Workspace workspaceWith(double limit)
{
    Model::Workspace workspace;
    workspace.id_ = Model::WorkspaceId("w");
    workspace.limit_ = Model::RequestsPerSecond(limit);
    workspace.burst_ = limit;
    return workspace;
}

/// The most requests that a quota lets through in a window, with what the users tolerate above.
std::size_t tolerated(const Model::Workspace &workspace)
{
    const double allowed = workspace.limit_.value() * windowSeconds + workspace.burst_;
    return static_cast<std::size_t>(allowed * 1.1 + 20);
}

/// Constant demand, relative to the quota.
Fleets::Demand steady(double limit, double relative)
{
    return [=](double) {
        return limit * relative;
    };
}

/// Demand that is steady before \a at and \a relative times the quota after it.
Fleets::Demand surge(double limit, double at, double relative)
{
    return [=](double seconds) {
        return limit * (seconds < at ? 0.6 : relative);
    };
}

class TestQuotas : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestQuotas);
    CPPUNIT_TEST(workspaceBelowItsQuotaIsAdmitted);
    CPPUNIT_TEST(surgeOfOneWorkspaceStaysWithinItsQuota);
    CPPUNIT_TEST(quotaIsUsedWhileTheWorkspaceAsksForMore);
    CPPUNIT_TEST(instancesThatAreCutOffStayWithinTheQuota);
    CPPUNIT_TEST(lossOfTheRootNeitherExceedsNorClosesTheQuota);
    CPPUNIT_TEST(commonRestartNeitherExceedsNorClosesTheQuota);
    CPPUNIT_TEST(restartOfHalfTheFleetUnderASurgeStaysWithinTheQuota);
    CPPUNIT_TEST(urgentRequestsOfAWorkspaceOverItsQuotaGoFirst);
    CPPUNIT_TEST(reportsThatArriveTwiceOrAnewCountOnce);
    CPPUNIT_TEST(countsThatBeginAgainAreAdded);
    CPPUNIT_TEST(reportsThatArriveLateAreIgnored);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against refusing requests inside the quota because they reach few instances: an equal
    // part for each instance refuses most requests of a small workspace.
    void workspaceBelowItsQuotaIsAdmitted()
    {
        for (const double limit : {5.0, 25.0, 400.0}) {
            double admitted = 0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                QuotaFleet fleet(instancesPerDomain, workspaceWith(limit), seed);
                fleet.run(5, steady(limit, 0.6));
                fleet.run(20, steady(limit, 0.65));
                admitted += fleet.admittedFraction(5) / seeds;
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted > admittedOnACalmDay);
        }
    }

    // Guards against exceeding a quota between the start of a surge and the time when all instances
    // have learned of it.
    void surgeOfOneWorkspaceStaysWithinItsQuota()
    {
        for (const double limit : {5.0, 25.0, 100.0, 400.0}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto workspace = workspaceWith(limit);
                QuotaFleet fleet(instancesPerDomain, workspace, seed);
                fleet.run(20, surge(limit, 8, 4.7));
                CPPUNIT_ASSERT(fleet.mostAdmittedIn(windowSeconds) <= tolerated(workspace));
            }
        }
    }

    // Guards against a controller that stays closed: what the quota allows must be served.
    void quotaIsUsedWhileTheWorkspaceAsksForMore()
    {
        for (const double limit : {25.0, 400.0}) {
            QuotaFleet fleet(instancesPerDomain, workspaceWith(limit), 1);
            fleet.run(30, surge(limit, 8, 4.0));
            const double served = fleet.admittedFraction(15) * 4.0;
            CPPUNIT_ASSERT(served > 0.9 && served < 1.1);
        }
    }

    // Guards against each part of a divided fleet admitting the whole quota.
    void instancesThatAreCutOffStayWithinTheQuota()
    {
        for (const double limit : {25.0, 100.0, 400.0}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto workspace = workspaceWith(limit);
                QuotaFleet fleet(instancesPerDomain, workspace, seed);
                fleet.run(8, steady(limit, 1.3));
                fleet.cutOff(15);
                fleet.run(8, steady(limit, 2.5));
                fleet.cutOff(0);
                fleet.run(8, steady(limit, 2.5));
                CPPUNIT_ASSERT(fleet.mostAdmittedIn(windowSeconds) <= tolerated(workspace));
            }
        }
    }

    // Guards against a new root that hands out the burst a second time, and against instances that
    // refuse while there is none.
    void lossOfTheRootNeitherExceedsNorClosesTheQuota()
    {
        double admitted = 0;
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            const auto workspace = workspaceWith(100);
            QuotaFleet busy(instancesPerDomain, workspace, seed);
            busy.run(8, steady(100, 2));
            busy.killRoot();
            busy.run(12, steady(100, 2));
            CPPUNIT_ASSERT(busy.mostAdmittedIn(windowSeconds) <= tolerated(workspace));

            QuotaFleet calm(instancesPerDomain, workspace, seed);
            calm.run(8, steady(100, 0.6));
            calm.killRoot();
            calm.run(10, steady(100, 0.6));
            admitted += calm.admittedFraction(8) / seeds;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted > admittedOnTheWorstDay);
    }

    // Guards against instances that have all just started and know nothing: refusing what the quota
    // allows, or admitting it once each.
    void commonRestartNeitherExceedsNorClosesTheQuota()
    {
        for (const double limit : {5.0, 25.0, 400.0}) {
            double admitted = 0;
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto workspace = workspaceWith(limit);
                QuotaFleet calm(instancesPerDomain, workspace, seed);
                calm.run(8, steady(limit, 0.6));
                calm.restartAll();
                calm.run(10, steady(limit, 0.6));
                admitted += calm.admittedFraction(8) / seeds;

                QuotaFleet hot(instancesPerDomain, workspace, seed);
                hot.run(8, steady(limit, 4.7));
                hot.restartAll();
                hot.run(8, steady(limit, 4.7));
                CPPUNIT_ASSERT_MESSAGE(std::to_string(limit) + ": "
                                           + std::to_string(hot.mostAdmittedIn(windowSeconds)),
                                       hot.mostAdmittedIn(windowSeconds) <= tolerated(workspace));
            }
            CPPUNIT_ASSERT_MESSAGE(std::to_string(admitted), admitted > admittedOnTheWorstDay);
        }
    }

    // Guards against instances that start beside others and admit as if the quota were unused: half
    // of a fleet is killed while a workspace sends several times its quota.
    void restartOfHalfTheFleetUnderASurgeStaysWithinTheQuota()
    {
        for (const double limit : {25.0, 100.0, 663.0}) {
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                const auto workspace = workspaceWith(limit);
                QuotaFleet fleet(instancesPerDomain, workspace, seed);
                fleet.run(8, steady(limit, 4.7));
                fleet.cutOff(10);
                fleet.run(6, steady(limit, 4.7));
                fleet.cutOff(0);
                fleet.run(2, steady(limit, 4.7));
                fleet.restart(34);
                fleet.run(8, steady(limit, 4.7));
                CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.mostAdmittedIn(windowSeconds)),
                                       fleet.mostAdmittedIn(windowSeconds) <= tolerated(workspace));
            }
        }
    }

    // Guards against a workspace over its quota that loses its urgent requests as often as the
    // rest.
    void urgentRequestsOfAWorkspaceOverItsQuotaGoFirst()
    {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
            QuotaFleet fleet(instancesPerDomain, workspaceWith(400), seed);
            fleet.run(20, surge(400, 5, 2.5));
            CPPUNIT_ASSERT(fleet.admittedFraction(8, 0) > 0.95);
            CPPUNIT_ASSERT(fleet.admittedFraction(8, 1) < 0.7);
            CPPUNIT_ASSERT(fleet.admittedFraction(8, 2) < 0.05);
        }
    }

    // Guards against counting requests twice when an answer to a report is lost, and against losing
    // those of an instance that restarts.
    void reportsThatArriveTwiceOrAnewCountOnce()
    {
        const Model::SteadyTime now{std::chrono::seconds(1000)};
        Policy::QuotaLedger ledger;
        Policy::QuotaReport report;
        report.sender_ = Model::InstanceId("a");
        report.incarnation_ = Model::Incarnation(1);
        report.usage_ = {{Policy::WorkspaceKey(7), {10, 8}}};
        CPPUNIT_ASSERT(!Policy::addReport(ledger, report, now));
        report.isWhole_ = true;
        report.number_ = 1;
        CPPUNIT_ASSERT(Policy::addReport(ledger, report, now));
        CPPUNIT_ASSERT(ledger.usage_[7].total_ == Policy::QuotaCounts());
        report.isWhole_ = false;
        report.number_ = 2;
        report.usage_ = {{Policy::WorkspaceKey(7), {13, 9}}};
        CPPUNIT_ASSERT(Policy::addReport(ledger, report, now));
        report.number_ = 3;
        CPPUNIT_ASSERT(Policy::addReport(ledger, report, now));
        CPPUNIT_ASSERT(ledger.usage_[7].total_ == (Policy::QuotaCounts{3, 1}));
        report.incarnation_ = Model::Incarnation(2);
        report.usage_ = {{Policy::WorkspaceKey(7), {2, 2}}};
        CPPUNIT_ASSERT(!Policy::addReport(ledger, report, now));
        CPPUNIT_ASSERT(ledger.usage_[7].total_ == (Policy::QuotaCounts{3, 1}));
        report.isWhole_ = true;
        report.isFirst_ = true;
        CPPUNIT_ASSERT(Policy::addReport(ledger, report, now));
        CPPUNIT_ASSERT(ledger.usage_[7].total_ == (Policy::QuotaCounts{5, 3}));
    }

    // Guards against counts that wrap around below zero: a workspace loses its quota and gets one
    // again, so that an instance counts its requests from zero.
    void countsThatBeginAgainAreAdded()
    {
        const Model::SteadyTime now{std::chrono::seconds(1000)};
        Policy::QuotaLedger ledger;
        Policy::QuotaReport report;
        report.sender_ = Model::InstanceId("a");
        report.isWhole_ = true;
        report.usage_ = {{Policy::WorkspaceKey(7), {50, 40}}};
        CPPUNIT_ASSERT(Policy::addReport(ledger, report, now));
        report.usage_ = {{Policy::WorkspaceKey(7), {3, 2}}};
        report.number_ = 1;
        CPPUNIT_ASSERT(Policy::addReport(ledger, report, now));
        CPPUNIT_ASSERT(ledger.usage_[7].total_ == (Policy::QuotaCounts{3, 2}));
    }

    // Guards against refusing nearly all requests after a partition: reports that were on the way
    // when it began arrive at its end, after later ones, and their lower counts were taken for new
    // requests.
    void reportsThatArriveLateAreIgnored()
    {
        const Model::SteadyTime now{std::chrono::seconds(1000)};
        Policy::QuotaLedger ledger;
        Policy::QuotaReport late;
        late.sender_ = Model::InstanceId("a");
        late.isWhole_ = true;
        late.number_ = 4;
        late.usage_ = {{Policy::WorkspaceKey(7), {50, 40}}};
        Policy::QuotaReport later = late;
        later.number_ = 5;
        later.usage_ = {{Policy::WorkspaceKey(7), {60, 45}}};
        CPPUNIT_ASSERT(Policy::addReport(ledger, later, now));
        CPPUNIT_ASSERT(Policy::addReport(ledger, late, now));
        CPPUNIT_ASSERT(ledger.usage_[7].total_ == Policy::QuotaCounts());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestQuotas);
