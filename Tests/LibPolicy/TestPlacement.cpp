#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>
#include <random>

namespace {

using Model::Milliseconds;
using Policy::DomainVerdict;

class TestPlacement : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlacement);
    CPPUNIT_TEST(countsFollowTheSharesInEveryWindow);
    CPPUNIT_TEST(failedDomainsShareIsRefusedNotMoved);
    CPPUNIT_TEST(fullDomainsShiftOnlyAFewRequests);
    CPPUNIT_TEST(fullTargetsAreNeverChosen);
    CPPUNIT_TEST(localCountOverridesOldReports);
    CPPUNIT_TEST(reportsDecayWithinALatency);
    CPPUNIT_TEST(slowStartLimitsColdTargets);
    CPPUNIT_TEST(bulkLeavesSlotsForOthers);
    CPPUNIT_TEST(peerReportsOverrideOldTargetReports);
    CPPUNIT_TEST(entriesTogetherFillNoMoreThanTheRoom);
    CPPUNIT_TEST(entriesTogetherLeaveNoRoomForLong);
    CPPUNIT_TEST(poolsOfAllEntriesStayBelowTheTargetsConnections);
    CPPUNIT_TEST(localEntriesRankFirstAndLeavingOnesAreExcluded);
    CPPUNIT_TEST(leavingEntriesAreReturnedIfTheRegionHasNoOthers);
    CPPUNIT_TEST(lastRankedEntryIsInAnotherRegion);
    CPPUNIT_TEST(losingAnEntryMovesOnlyItsCallers);
    CPPUNIT_TEST(lostEntriesAreTriedOncePerRetryInterval);
    CPPUNIT_TEST_SUITE_END();

public:
    void countsFollowTheSharesInEveryWindow()
    {
        Support::assertProperty("counts in any window are within a few requests of the shares", [] {
            const double first = *rc::gen::inRange(0, 101) / 100.0;
            const Policy::ShareVector shares{{first, 1 - first}};
            const std::vector<Policy::DomainView> views(2, {true, true, true});
            Policy::DomainCredits credits;
            int count = 0;
            const int window = *rc::gen::inRange(1, 400);
            for (int i = 0; i < window; ++i) {
                count += Policy::chooseDomain(credits, shares, views, Policy::maxDebtWhileShifting)
                                     .domain_
                                 == 0
                             ? 1
                             : 0;
            }
            RC_ASSERT(std::abs(count - window * first) <= 2.0);
        });
    }

    // The targets of half of the traffic fail while requests continue. If the share of a failed
    // domain were sent elsewhere without regard to the cap, its traffic would reach the other
    // domains within a second.
    void failedDomainsShareIsRefusedNotMoved()
    {
        const Policy::ShareVector shares{{0.5, 0.5}};
        const std::vector<Policy::DomainView> views = {{false, false, true}, {true, true, true}};
        Policy::DomainCredits credits;
        int limited = 0;
        for (int i = 0; i < 100; ++i) {
            const auto verdict
                = Policy::chooseDomain(credits, shares, views, Policy::maxDebtWhileShifting)
                      .verdict_;
            limited += verdict == DomainVerdict::ShiftLimited ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(50, limited);
    }

    void fullDomainsShiftOnlyAFewRequests()
    {
        const Policy::ShareVector shares{{0.5, 0.5}};
        const std::vector<Policy::DomainView> views = {{true, false, true}, {true, true, true}};
        Policy::DomainCredits credits;
        int ahead = 0;
        for (int i = 0; i < 100; ++i) {
            ahead += Policy::chooseDomain(credits, shares, views, Policy::maxDebtWhileShifting)
                                 .domain_
                             == 1
                         ? 1
                         : -1;
        }
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ahead),
                               ahead <= 2 * Policy::maxDebtWhileShifting + 2);
    }

    void fullTargetsAreNeverChosen()
    {
        Support::assertProperty("a chosen target has a free slot and stays", [] {
            std::vector<Policy::TargetView> targets(
                static_cast<std::size_t>(*rc::gen::inRange(0, 8)));
            for (auto &target : targets) {
                target.slots_ = *rc::gen::inRange(1, 5);
                target.ownInFlight_ = *rc::gen::inRange(0, 6);
                target.inUseFor_ = Policy::slowStartPeriod;
                target.isLeaving_ = *rc::gen::inRange(0, 3) == 0;
                target.isSuspect_ = *rc::gen::inRange(0, 3) == 0;
            }
            const auto chosen = Policy::chooseTarget(targets, *rc::gen::inRange(0u, 100u),
                                                     *rc::gen::inRange(0u, 100u));
            if (!chosen)
                return;
            const auto &target = targets[*chosen];
            RC_ASSERT(!target.isLeaving_ && !target.isSuspect_);
            RC_ASSERT(target.ownInFlight_ < target.slots_);
        });
    }

    // The last report was "nothing in progress", and this entry has filled the slots since. If
    // the report took precedence over this entry's own count or never expired, a target that
    // stopped reporting would look idle and be flooded.
    void localCountOverridesOldReports()
    {
        Policy::TargetView target;
        target.slots_ = 4;
        target.ownInFlight_ = 4;
        target.reportedInFlight_ = 0;
        target.inUseFor_ = Policy::slowStartPeriod;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), Policy::likelyInFlight(target));
        CPPUNIT_ASSERT(!Policy::chooseTarget({target}, 0, 0));
    }

    // A target is reported full of others' requests, which finish without a further report to this
    // entry. If a report counted until the next one, requests would wait for half a second although
    // slots are free.
    void reportsDecayWithinALatency()
    {
        Policy::TargetView target;
        target.slots_ = 4;
        target.reportedInFlight_ = 4;
        target.latency_ = Milliseconds(100);
        target.inUseFor_ = Policy::slowStartPeriod;
        CPPUNIT_ASSERT(!Policy::chooseTarget({target}, 0, 0));
        target.reportAge_ = Milliseconds(20);
        CPPUNIT_ASSERT(!Policy::chooseTarget({target}, 0, 0));
        target.reportAge_ = Milliseconds(26);
        CPPUNIT_ASSERT(Policy::chooseTarget({target}, 0, 0));
        target.reportAge_ = Milliseconds(100);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(0), Policy::likelyInFlight(target));
    }

    void slowStartLimitsColdTargets()
    {
        Policy::TargetView target;
        target.slots_ = 8;
        target.inUseFor_ = Milliseconds(0);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(2), Policy::usableSlots(target));
        target.inUseFor_ = Policy::slowStartPeriod;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(8), Policy::usableSlots(target));
    }

    void bulkLeavesSlotsForOthers()
    {
        CPPUNIT_ASSERT(Policy::mayFillSlot({20, 16}, 0.85));
        CPPUNIT_ASSERT(!Policy::mayFillSlot({20, 17}, 0.85));
        CPPUNIT_ASSERT(Policy::mayFillSlot({20, 19}, 1.0));
    }

    // Four entries each receive a target's report with every fourth answer. If these old reports
    // took precedence over the entries' own counts, a small caller would wait although slots are
    // free, or be sent to targets that refuse it.
    void peerReportsOverrideOldTargetReports()
    {
        Policy::TargetView target;
        target.slots_ = 6;
        target.ownInFlight_ = 1;
        target.reportedInFlight_ = 6;
        target.latency_ = Milliseconds(100);
        target.reportAge_ = Milliseconds(6);
        target.peersInFlight_ = 2;
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), Policy::likelyInFlight(target));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(3), Policy::steadyInFlight(target));
        // A very recent report of the target itself still counts.
        target.reportAge_ = Milliseconds(1);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), Policy::likelyInFlight(target));
        // Without peer reports, a target's report counts in full in a sum, and decays for a single
        // slot.
        target.peersInFlight_.reset();
        target.reportAge_ = Milliseconds(50);
        CPPUNIT_ASSERT_EQUAL(std::int64_t(7), Policy::steadyInFlight(target));
        CPPUNIT_ASSERT_EQUAL(std::int64_t(4), Policy::likelyInFlight(target));
    }

    // Slots come free together and every entry sees the same room. If each of them filled all of
    // it, small callers would wait 70 ms behind bulk in bursts, though bulk may use only 85% of the
    // slots.
    void entriesTogetherFillNoMoreThanTheRoom()
    {
        Support::assertProperty(
            "bulk of all entries exceeds its limit by at most one per entry", [] {
                const int entries = *rc::gen::inRange(1, 13);
                std::vector<std::int64_t> inFlight;
                std::int64_t used = 0;
                for (int i = 0; i < entries; ++i) {
                    inFlight.push_back(*rc::gen::inRange(0, 20));
                    used += inFlight.back();
                }
                const std::int64_t slots = *rc::gen::inRange(1, 200);
                const double limit = *rc::gen::inRange(1, 100) / 100.0;
                const auto most = static_cast<std::int64_t>(double(slots) * limit + 1e-6);
                std::int64_t after = 0;
                for (const std::int64_t own : inFlight) {
                    const double dither = *rc::gen::inRange(0, 100) / 100.0;
                    const Policy::PoolUsage notes{slots, own, used - own, entries, dither};
                    std::int64_t now = own;
                    while (Policy::mayFillShared(notes, now, limit))
                        ++now;
                    after += now;
                }
                RC_ASSERT(after <= std::max(used, most + entries));
            });
    }

    // If each entry's part of a room smaller than the number of entries were rounded down to zero,
    // bulk would stay far below what it may use.
    void entriesTogetherLeaveNoRoomForLong()
    {
        Support::assertProperty("a room of any size is filled within a second of exchanges", [] {
            const int entries = *rc::gen::inRange(1, 13);
            const std::int64_t slots = 100;
            std::vector<std::int64_t> inFlight(static_cast<std::size_t>(entries), 0);
            const auto seed = static_cast<unsigned>(*rc::gen::inRange(0, 1000000));
            std::mt19937 random(seed);
            std::uniform_real_distribution<double> dither(0, 1);
            std::int64_t used = 0;
            for (int round = 0; round < 250 && used < 85; ++round) {
                const std::int64_t before = used;
                for (auto &own : inFlight) {
                    const Policy::PoolUsage notes{slots, own, before - own, entries,
                                                  dither(random)};
                    const std::int64_t atNotes = own;
                    while (Policy::mayFillShared(notes, own, 0.85))
                        ++own;
                    used += own - atNotes;
                }
            }
            RC_ASSERT(used >= 85);
        });
    }

    // All instances are replaced at once, and every entry and its replacement hold full pools. If
    // pools were sized by the current entries alone, targets would refuse connections.
    void poolsOfAllEntriesStayBelowTheTargetsConnections()
    {
        Support::assertProperty(
            "old and new entries together stay below the target's connections", [] {
                const int connections = *rc::gen::inRange(64, 2000);
                const auto entries = static_cast<std::size_t>(*rc::gen::inRange(1, 9));
                const auto threads = static_cast<std::size_t>(*rc::gen::inRange(1, 5));
                const auto part = Policy::connectionsForThread(connections, entries, threads);
                RC_ASSERT(part * threads * entries * 2 <= std::max<std::size_t>(
                              static_cast<std::size_t>(connections), threads * entries * 2));
            });
    }

    void localEntriesRankFirstAndLeavingOnesAreExcluded()
    {
        std::vector<Policy::EntryCandidate> candidates;
        for (int i = 0; i < 6; ++i) {
            Model::Instance instance;
            instance.id_ = Model::InstanceId("i" + std::to_string(i));
            instance.region_ = Model::RegionId(i < 3 ? "near" : "far");
            instance.isLeaving_ = i == 1;
            candidates.push_back({instance, i != 4});
        }
        const Policy::LookupQuery query{Model::CallerId("c"), Model::RegionId("near"), {}};
        const auto ranked = Policy::rankEntries(query, candidates, 10);
        CPPUNIT_ASSERT_EQUAL(std::size_t(4), ranked.size());
        CPPUNIT_ASSERT_EQUAL(std::string("near"), ranked[0].region_.value());
        CPPUNIT_ASSERT_EQUAL(std::string("near"), ranked[1].region_.value());
        for (const auto &instance : ranked)
            CPPUNIT_ASSERT(instance.id_.value() != "i1" && instance.id_.value() != "i4");
    }

    // During a replacement the last old entries leave while the new ones start. If a look-up that
    // knows only leaving entries of the region returned none of them, the region's callers would be
    // sent to remote entries and refused there.
    void leavingEntriesAreReturnedIfTheRegionHasNoOthers()
    {
        std::vector<Policy::EntryCandidate> candidates(2);
        candidates[0].instance_.id_ = Model::InstanceId("leaving");
        candidates[0].instance_.region_ = Model::RegionId("near");
        candidates[0].instance_.isLeaving_ = true;
        candidates[1].instance_.id_ = Model::InstanceId("elsewhere");
        candidates[1].instance_.region_ = Model::RegionId("far");
        candidates[0].isAlive_ = candidates[1].isAlive_ = true;
        const Policy::LookupQuery query{Model::CallerId("c"), Model::RegionId("near"), {}};
        const auto ranked = Policy::rankEntries(query, candidates, 4);
        CPPUNIT_ASSERT_EQUAL(std::string("leaving"), ranked.front().id_.value());
    }

    // All entries of a region are killed; look-ups in other regions still rely on the region's last
    // summary and return its entries, which refuse connections. If a look-up returned entries of
    // one region only, the region's callers would get no answer at all for seconds.
    void lastRankedEntryIsInAnotherRegion()
    {
        std::vector<Policy::EntryCandidate> candidates;
        for (int i = 0; i < 8; ++i) {
            Model::Instance instance;
            instance.id_ = Model::InstanceId("i" + std::to_string(i));
            instance.region_ = Model::RegionId(i < 4 ? "near" : "far");
            candidates.push_back({instance, true});
        }
        const Policy::LookupQuery query{Model::CallerId("c"), Model::RegionId("near"), {}};
        for (const std::size_t most : {std::size_t(2), std::size_t(3), std::size_t(4)}) {
            const auto ranked = Policy::rankEntries(query, candidates, most);
            CPPUNIT_ASSERT_EQUAL(most, ranked.size());
            CPPUNIT_ASSERT_EQUAL(std::string("near"), ranked.front().region_.value());
            CPPUNIT_ASSERT_EQUAL(std::string("far"), ranked.back().region_.value());
        }
        const auto only = Policy::rankEntries(query, candidates, 1);
        CPPUNIT_ASSERT_EQUAL(std::string("near"), only.front().region_.value());
    }

    void losingAnEntryMovesOnlyItsCallers()
    {
        std::vector<Policy::EntryCandidate> candidates(5);
        for (int i = 0; i < 5; ++i) {
            candidates[std::size_t(i)].instance_.id_ = Model::InstanceId("i" + std::to_string(i));
            candidates[std::size_t(i)].isAlive_ = true;
        }
        for (int caller = 0; caller < 200; ++caller) {
            const Policy::LookupQuery query{Model::CallerId(std::to_string(caller)), {}, {}};
            candidates[2].isAlive_ = true;
            const auto before = Policy::rankEntries(query, candidates, 1).front().id_.value();
            candidates[2].isAlive_ = false;
            const auto after = Policy::rankEntries(query, candidates, 1).front().id_.value();
            CPPUNIT_ASSERT(before == after || before == "i2");
        }
    }

    // The entries of a region fail; until its last summary expires, requests are forwarded to them,
    // and sent bytes may have arrived. If the choice ignored which entries were lost recently, all
    // requests for the region would end as unknown.
    void lostEntriesAreTriedOncePerRetryInterval()
    {
        std::vector<Model::Instance> entries(2);
        entries[0].addresses_.entryPeer_ = {"192.0.2.1", 1};
        entries[1].addresses_.entryPeer_ = {"192.0.2.2", 1};
        Policy::EntryFailures failures;
        const Model::SteadyTime start(std::chrono::hours(1));
        Policy::noteEntryLost(failures, entries[0].addresses_.entryPeer_, start);
        for (std::uint64_t draw = 0; draw < 10; ++draw) {
            const auto chosen = Policy::chooseEntry(failures, entries, draw, start);
            CPPUNIT_ASSERT(chosen == std::optional<std::size_t>(1));
        }
        Policy::noteEntryLost(failures, entries[1].addresses_.entryPeer_, start);
        CPPUNIT_ASSERT(!Policy::chooseEntry(failures, entries, 0, start));
        int tries = 0;
        const Model::SteadyTime end = start + 10 * Policy::lostEntryProbeInterval;
        for (auto now = start; now < end; now += Model::Milliseconds(10))
            tries += Policy::chooseEntry(failures, entries, 0, now) ? 1 : 0;
        CPPUNIT_ASSERT(tries >= 9 && tries <= 20);
        Policy::noteEntryAnswered(failures, entries[0].addresses_.entryPeer_);
        CPPUNIT_ASSERT(Policy::chooseEntry(failures, entries, 1, start)
                       == std::optional<std::size_t>(0));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlacement);
