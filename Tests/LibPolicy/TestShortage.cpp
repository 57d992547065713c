#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace {

using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;

constexpr SteadyTime start{std::chrono::hours(1)};
constexpr Policy::ServiceKey service{7};

/// Requests of one rank of a workspace.
struct Tally
{
    double arrived_ = 0;
    double admitted_ = 0;
    double inTime_ = 0;

    double share() const { return arrived_ > 0 ? admitted_ / arrived_ : 1; }
};

/// Instances of one region in front of its slots, which work first in, first out. Requests arrive
/// at random instances at random times; instances exchange reports with a few random others.
struct Region
{
    static constexpr std::size_t instances = 12;
    static constexpr std::size_t slots = 60;
    static constexpr std::size_t workspaces = 10;
    static constexpr std::size_t ranks = 3;
    static constexpr Milliseconds work{150};
    static constexpr Milliseconds goal{1000};
    static constexpr Milliseconds step{10};
    static constexpr Milliseconds gossipInterval{400};
    static constexpr double capacity = slots * 1000.0 / 150;

    Region()
        : shortages_(instances)
        , freeAt_(slots, start)
        , tallies_(workspaces, std::vector<Tally>(ranks))
    {
    }

    /// Runs with \a load times the capacity; workspace 0 sends \a surge times its usual part.
    void run(Milliseconds duration, const std::function<double(Milliseconds)> &load,
             double surge = 1)
    {
        for (Milliseconds at{0}; at < duration; at += step, now_ += step) {
            const double usual
                = load(at) * capacity / (workspaces * ranks) * Model::inSeconds(step);
            for (std::size_t w = 0; w < workspaces; ++w) {
                for (std::size_t r = 0; r < ranks; ++r)
                    send(w, r, usual * (w == 0 ? surge : 1));
            }
            for (auto &shortage : shortages_) {
                const Policy::ShortageCapacity known{slots, work, instances};
                if (Policy::updateShortage(shortage, known, now_))
                    ++changes_;
            }
            if (!isGossipLost_ && (now_ - start) % gossipInterval < step)
                gossip();
        }
    }

    void run(Milliseconds duration, double load, double surge = 1)
    {
        run(
            duration,
            [load](Milliseconds) {
                return load;
            },
            surge);
    }

    void send(std::size_t workspace, std::size_t rank, double mean)
    {
        int count = std::poisson_distribution<int>(mean)(random_);
        for (; count > 0; --count) {
            Tally &tally = tallies_[workspace][rank];
            tally.arrived_ += 1;
            auto &shortage = shortages_[random_() % instances];
            const auto slot = std::min_element(freeAt_.begin(), freeAt_.end());
            const auto expected = std::max(*slot, now_) + work - now_;
            const Policy::ShortageRequest request{
                static_cast<int>(rank), Model::WorkspaceId("w" + std::to_string(workspace)),
                std::chrono::duration_cast<Microseconds>(expected), goal};
            if (isOn_
                && Policy::admitDuringShortage(shortage, request) != Policy::ShortageVerdict::Admit)
                continue;
            tally.admitted_ += 1;
            *slot = std::max(*slot, now_) + work;
            if (*slot - now_ <= goal)
                tally.inTime_ += 1;
        }
    }

    void gossip()
    {
        for (std::size_t i = 0; i < instances; ++i) {
            for (int n = 0; n < 2; ++n) {
                const std::size_t peer = random_() % instances;
                if (peer == i)
                    continue;
                report(i, peer);
                report(peer, i);
            }
        }
    }

    void report(std::size_t from, std::size_t to)
    {
        std::vector<Policy::DemandItem> items;
        Policy::addDemandItems(items, service, shortages_[from], now_);
        Policy::mergePeerDemand(shortages_[to], service,
                                Model::InstanceId("i" + std::to_string(from)), items, now_);
    }

    void clear()
    {
        tallies_.assign(workspaces, std::vector<Tally>(ranks));
        changes_ = 0;
    }

    Tally ofRank(std::size_t rank) const
    {
        Tally sum;
        for (const auto &workspace : tallies_)
            add(sum, workspace[rank]);
        return sum;
    }

    Tally ofWorkspace(std::size_t workspace) const
    {
        Tally sum;
        for (const auto &rank : tallies_[workspace])
            add(sum, rank);
        return sum;
    }

    Tally all() const
    {
        Tally sum;
        for (std::size_t r = 0; r < ranks; ++r)
            add(sum, ofRank(r));
        return sum;
    }

    static void add(Tally &sum, const Tally &part)
    {
        sum.arrived_ += part.arrived_;
        sum.admitted_ += part.admitted_;
        sum.inTime_ += part.inTime_;
    }

    std::size_t inShortage() const
    {
        return static_cast<std::size_t>(
            std::count_if(shortages_.begin(), shortages_.end(), [](const auto &shortage) {
                return shortage.isShort_;
            }));
    }

    std::vector<Policy::Shortage> shortages_;
    std::vector<SteadyTime> freeAt_;
    std::vector<std::vector<Tally>> tallies_;
    std::mt19937_64 random_{20};
    SteadyTime now_ = start;
    bool isGossipLost_ = false;
    bool isOn_ = true;
    int changes_ = 0;
};

std::string text(const Tally &tally)
{
    return std::to_string(tally.arrived_) + " arrived, " + std::to_string(tally.share())
           + " admitted";
}

class TestShortage : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestShortage);
    CPPUNIT_TEST(aSteadyExcessBeginsAShortageAndRestEndsIt);
    CPPUNIT_TEST(aServiceWithoutSlotsOrWorkIsNotShort);
    CPPUNIT_TEST(aWorkspaceWithTenTimesItsUsualTakesNothingFromOthers);
    CPPUNIT_TEST(theLeastUrgentRankIsCutFirst);
    CPPUNIT_TEST(everyRankAndWorkspaceGetsAPart);
    CPPUNIT_TEST(rankSharesAreBounded);
    CPPUNIT_TEST(aWaveMakesOneShortageEach);
    CPPUNIT_TEST(demandNearTheThresholdsDoesNotAlternate);
    CPPUNIT_TEST(goodputStaysFromOneToFourTimesTheCapacity);
    CPPUNIT_TEST(lostReportsDoNotChangeWhatIsAdmitted);
    CPPUNIT_TEST(oldReportsAreDiscarded);
    CPPUNIT_TEST(rareWorkspacesAreNotAllAdmitted);
    CPPUNIT_TEST(workThatWouldMissItsDeadlineIsNotAdmitted);
    CPPUNIT_TEST(largeDemandFitsIntoAMessage);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Updates \a shortage as if peers reported \a use of ten slots, for \a duration.
    static int hold(Policy::Shortage &shortage, double use, Milliseconds duration, SteadyTime &now)
    {
        int changes = 0;
        for (Milliseconds at{0}; at < duration; at += Policy::demandInterval) {
            now += Policy::demandInterval;
            // One peer has all of the demand; the mean of it and this instance is half.
            const Policy::DemandItem item{service, 0, Model::RequestsPerSecond(use * 100),
                                          Model::RequestsPerSecond(0), Milliseconds(0)};
            Policy::mergePeerDemand(shortage, service, Model::InstanceId("peer"), {item}, now);
            changes += Policy::updateShortage(shortage, {10, Milliseconds(100), 2}, now) ? 1 : 0;
        }
        return changes;
    }

    // Guards against other thresholds and periods than those that the specification names.
    void aSteadyExcessBeginsAShortageAndRestEndsIt()
    {
        Policy::Shortage shortage;
        SteadyTime now = start;
        hold(shortage, 0.94, Milliseconds(5000), now);
        CPPUNIT_ASSERT(!shortage.isShort_);
        hold(shortage, 0.97, Milliseconds(500), now);
        CPPUNIT_ASSERT(!shortage.isShort_);
        CPPUNIT_ASSERT_EQUAL(1, hold(shortage, 0.97, Milliseconds(100), now));
        CPPUNIT_ASSERT(shortage.isShort_ && shortage.changedAt_ == now);
        hold(shortage, 0.82, Milliseconds(5000), now);
        CPPUNIT_ASSERT(shortage.isShort_);
        hold(shortage, 0.78, Milliseconds(1900), now);
        hold(shortage, 0.82, Milliseconds(100), now);
        hold(shortage, 0.78, Milliseconds(2000), now);
        CPPUNIT_ASSERT(shortage.isShort_);
        CPPUNIT_ASSERT_EQUAL(1, hold(shortage, 0.78, Milliseconds(100), now));
        CPPUNIT_ASSERT(!shortage.isShort_);
    }

    // Guards against refusing requests that other regions serve, or before any time is known.
    void aServiceWithoutSlotsOrWorkIsNotShort()
    {
        for (const Policy::ShortageCapacity capacity :
             {Policy::ShortageCapacity{0, Milliseconds(100), 1},
              Policy::ShortageCapacity{10, Microseconds(0), 1}}) {
            Policy::Shortage shortage;
            SteadyTime now = start;
            for (int i = 0; i < 1000; ++i, now += Milliseconds(10)) {
                CPPUNIT_ASSERT(
                    Policy::admitDuringShortage(
                        shortage, {0, Model::WorkspaceId("w"), Microseconds(0), Microseconds(1000)})
                    == Policy::ShortageVerdict::Admit);
                Policy::updateShortage(shortage, capacity, now);
            }
            CPPUNIT_ASSERT(!shortage.isShort_);
        }
    }

    // Guards against a workspace that takes the slots of those that stay within their share.
    void aWorkspaceWithTenTimesItsUsualTakesNothingFromOthers()
    {
        Region region;
        region.run(Milliseconds(5000), 0.7);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), region.inShortage());
        region.run(Milliseconds(5000), 0.7, 10);
        CPPUNIT_ASSERT_EQUAL(Region::instances, region.inShortage());
        region.clear();
        region.run(Milliseconds(20000), 0.7, 10);
        for (std::size_t w = 1; w < Region::workspaces; ++w) {
            const auto tally = region.ofWorkspace(w);
            CPPUNIT_ASSERT_MESSAGE(text(tally), tally.share() > 0.95);
        }
        const auto surging = region.ofWorkspace(0);
        CPPUNIT_ASSERT_MESSAGE(text(surging), surging.share() < 0.6 && surging.share() > 0.3);
    }

    // Guards against refusing urgent requests while less urgent ones are admitted.
    void theLeastUrgentRankIsCutFirst()
    {
        Region mild;
        mild.run(Milliseconds(5000), 1.3);
        mild.clear();
        mild.run(Milliseconds(20000), 1.3);
        const double mean = mild.all().share();
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.95 / 1.3, mean, 0.03);
        CPPUNIT_ASSERT_MESSAGE(text(mild.ofRank(0)), mild.ofRank(0).share() > 0.97);
        CPPUNIT_ASSERT_MESSAGE(text(mild.ofRank(1)), mild.ofRank(1).share() > 0.9);
        CPPUNIT_ASSERT_MESSAGE(text(mild.ofRank(2)), mild.ofRank(2).share() < 0.35);

        Region severe;
        severe.run(Milliseconds(5000), 4);
        severe.clear();
        severe.run(Milliseconds(20000), 4);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.95 / 4, severe.all().share(), 0.02);
        CPPUNIT_ASSERT_MESSAGE(text(severe.ofRank(0)), severe.ofRank(0).share() > 0.5);
        CPPUNIT_ASSERT_MESSAGE(text(severe.ofRank(1)),
                               severe.ofRank(1).share() < severe.ofRank(0).share() / 4);
    }

    // Guards against starvation of a rank or a workspace.
    void everyRankAndWorkspaceGetsAPart()
    {
        for (const double load : {1.3, 4.0}) {
            Region region;
            region.run(Milliseconds(5000), load, 10);
            region.clear();
            region.run(Milliseconds(20000), load, 10);
            const double least = region.all().share() / 4 * 0.95;
            for (std::size_t r = 0; r < Region::ranks; ++r)
                CPPUNIT_ASSERT_MESSAGE(text(region.ofRank(r)), region.ofRank(r).share() >= least);
            for (std::size_t w = 0; w < Region::workspaces; ++w) {
                CPPUNIT_ASSERT_MESSAGE(text(region.ofWorkspace(w)),
                                       region.ofWorkspace(w).share() >= least);
            }
        }
    }

    // Guards against shares that admit more than the capacity, or starve a rank, for some mix.
    void rankSharesAreBounded()
    {
        Support::assertProperty("shares by rank keep their bounds", [] {
            Policy::ByRank demand{};
            double total = 0;
            for (double &value : demand) {
                value = *rc::gen::inRange(0, 1000) / 10.0;
                total += value;
            }
            const double capacity = *rc::gen::inRange(1, 5000) / 10.0;
            const auto fractions = Policy::admittedByRank(demand, capacity);
            double admitted = 0;
            for (std::size_t i = 0; i < fractions.size(); ++i) {
                admitted += fractions[i] * demand[i];
                RC_ASSERT(fractions[i] <= 1 + 1e-9);
                RC_ASSERT(total <= capacity || fractions[i] >= capacity / total / 4 - 1e-9);
                RC_ASSERT(i == 0 || fractions[i] <= fractions[i - 1] + 1e-9);
            }
            RC_ASSERT(std::abs(admitted - std::min(total, capacity)) < 1e-6);
        });
    }

    // Guards against a state that is entered late or kept after a wave of load.
    void aWaveMakesOneShortageEach()
    {
        Region region;
        region.run(Milliseconds(60000), [](Milliseconds at) {
            return 1.1 - 0.9 * std::cos(2 * 3.14159265 * Model::inSeconds(at) / 20);
        });
        // The end of the last wave is seen after the smoothing, the gossip and the exit period.
        region.run(Milliseconds(2000), 0.2);
        CPPUNIT_ASSERT_EQUAL(static_cast<int>(Region::instances) * 6, region.changes_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), region.inShortage());
        CPPUNIT_ASSERT_MESSAGE(std::to_string(region.all().inTime_ / region.all().admitted_),
                               region.all().inTime_ > 0.98 * region.all().admitted_);
    }

    // Guards against a state that alternates while demand is between the thresholds.
    void demandNearTheThresholdsDoesNotAlternate()
    {
        Region calm;
        calm.run(Milliseconds(60000), 0.85);
        CPPUNIT_ASSERT_EQUAL(0, calm.changes_);
        Region busy;
        busy.run(Milliseconds(10000), 1.3);
        busy.clear();
        busy.run(Milliseconds(60000), 0.9);
        CPPUNIT_ASSERT_EQUAL(0, busy.changes_);
    }

    // Guards against slots that are spent on late answers as load rises.
    void goodputStaysFromOneToFourTimesTheCapacity()
    {
        const auto goodput = [](double load, bool isOn) {
            Region region;
            region.isOn_ = isOn;
            region.run(Milliseconds(10000), load);
            region.clear();
            region.run(Milliseconds(20000), load);
            return region.all().inTime_ / 20 / Region::capacity;
        };
        const double atOne = goodput(1, true);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(atOne), atOne > 0.9);
        for (const double load : {1.3, 2.0, 3.0, 4.0}) {
            const double measured = goodput(load, true);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(load) + ": " + std::to_string(measured),
                                   measured > 0.98 * std::min(atOne, 0.95));
        }
        // Without the state, the queue grows until no answer is in time.
        CPPUNIT_ASSERT(goodput(1.3, false) < 0.2);
    }

    // Guards against opening or closing the admission when no peer is heard in a shortage.
    void lostReportsDoNotChangeWhatIsAdmitted()
    {
        Region region;
        region.run(Milliseconds(10000), 2);
        region.clear();
        region.isGossipLost_ = true;
        region.run(Milliseconds(20000), 2);
        CPPUNIT_ASSERT_EQUAL(0, region.changes_);
        for (const auto &shortage : region.shortages_)
            CPPUNIT_ASSERT(shortage.peers_.empty());
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.95 / 2, region.all().share(), 0.03);
        CPPUNIT_ASSERT(region.ofRank(0).share() > 0.9);
    }

    // Guards against demand of a peer that has ended, and against an older report that arrives
    // later.
    void oldReportsAreDiscarded()
    {
        Policy::Shortage shortage;
        const Model::InstanceId peer("peer");
        const auto item = [](double arrivals, int age) {
            return Policy::DemandItem{service, 1, Model::RequestsPerSecond(arrivals),
                                      Model::RequestsPerSecond(0), Milliseconds(age)};
        };
        const Policy::ShortageCapacity capacity{10, Milliseconds(100), 2};
        Policy::mergePeerDemand(shortage, service, peer, {item(50, 100)}, start);
        Policy::mergePeerDemand(shortage, service, peer, {item(900, 400)}, start);
        Policy::mergePeerDemand(shortage, service, Model::InstanceId("late"), {item(900, 3001)},
                                start);
        Policy::updateShortage(shortage, capacity, start);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shortage.freshPeers_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(5, shortage.demand_, 1e-9);
        Policy::updateShortage(shortage, capacity, start + Milliseconds(2900));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shortage.freshPeers_);
        Policy::updateShortage(shortage, capacity, start + Milliseconds(3000));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), shortage.freshPeers_);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0, shortage.demand_, 1e-9);
        // An empty report says that there are no requests.
        Policy::mergePeerDemand(shortage, service, peer, {}, start + Milliseconds(3000));
        Policy::updateShortage(shortage, capacity, start + Milliseconds(3100));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), shortage.freshPeers_);
    }

    // Guards against admitting each of many workspaces because its own rate is low.
    void rareWorkspacesAreNotAllAdmitted()
    {
        Policy::Shortage shortage;
        std::mt19937_64 random(3);
        SteadyTime now = start;
        Tally tally;
        for (int i = 0; i < 4000; ++i, now += Milliseconds(10)) {
            const Model::WorkspaceId workspace("w" + std::to_string(random() % 1000));
            const auto verdict = Policy::admitDuringShortage(
                shortage, {1, workspace, Microseconds(0), Milliseconds(1000)});
            Policy::updateShortage(shortage, {2.5, Milliseconds(100), 1}, now);
            if (i < 1000)
                continue;
            tally.arrived_ += 1;
            tally.admitted_ += verdict == Policy::ShortageVerdict::Admit ? 1 : 0;
        }
        CPPUNIT_ASSERT_DOUBLES_EQUAL(0.95 / 4, tally.share(), 0.02);
        CPPUNIT_ASSERT(shortage.workspaces_.size() <= Policy::maxWorkspacesCounted);
    }

    // Guards against slots spent on answers that arrive after their deadline.
    void workThatWouldMissItsDeadlineIsNotAdmitted()
    {
        Policy::Shortage shortage;
        const Policy::ShortageRequest late{0, Model::WorkspaceId("w"), Milliseconds(150),
                                           Milliseconds(149)};
        CPPUNIT_ASSERT(Policy::admitDuringShortage(shortage, late)
                       == Policy::ShortageVerdict::Admit);
        shortage.isShort_ = true;
        CPPUNIT_ASSERT(Policy::admitDuringShortage(shortage, late)
                       == Policy::ShortageVerdict::WouldBeLate);
        Policy::ShortageRequest timely = late;
        timely.left_ = timely.expected_;
        CPPUNIT_ASSERT(Policy::admitDuringShortage(shortage, timely)
                       == Policy::ShortageVerdict::Admit);
    }

    // Guards against messages that grow with the number of services, and against leaving out the
    // busiest ones.
    void largeDemandFitsIntoAMessage()
    {
        std::vector<Policy::DemandItem> items;
        for (int i = 0; i < 100; ++i) {
            items.push_back({Policy::ServiceKey(static_cast<std::uint32_t>(i)), 0,
                             Model::RequestsPerSecond(i), Model::RequestsPerSecond(0),
                             Milliseconds(0)});
        }
        Policy::keepLargestDemand(items);
        CPPUNIT_ASSERT_EQUAL(Policy::maxDemandPerMessage, items.size());
        for (const auto &item : items)
            CPPUNIT_ASSERT(item.arrivals_.value() >= 68);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestShortage);
