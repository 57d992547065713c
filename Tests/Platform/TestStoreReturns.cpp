#include "Fleet.h"

#include <Support/Property.h>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;
using PlatformStandIns::FleetInstance;

constexpr std::size_t instances = 4;
/// The platform's bound for applying a change at every instance.
constexpr Milliseconds applyBound{2500};
/// After this time instances that have started together have settled who reads the store.
constexpr Milliseconds settlingTime{3000};
/// How old the copy is, and for how long the store is away.
constexpr Milliseconds copyAge{2500};
constexpr Milliseconds awayTime{400};
/// After this time every instance has noticed the return: calls that waited during it have ended.
constexpr Milliseconds contactTime{4000};
/// Requests that instances in touch may make of the store in a second; all of them together.
constexpr int maxCallsPerSecond = 100;

class TestStoreReturns : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreReturns);
    CPPUNIT_TEST(changesAfterTheReturnAreInForceInTime);
    CPPUNIT_TEST(changesAreInForceWhereTheOldRevisionIsReached);
    CPPUNIT_TEST(leaveBeforeTheReturnStaysInForce);
    CPPUNIT_TEST(removalBeforeTheReturnStaysInForce);
    CPPUNIT_TEST(tableAndRevocationBeforeTheReturnStayInForce);
    CPPUNIT_TEST(drainsBeforeTheReturnStayAsTheyWere);
    CPPUNIT_TEST(drainAfterTheReturnIsInForceBesideAnOlderTable);
    CPPUNIT_TEST(whatTheInstancesWroteIsWrittenAgain);
    CPPUNIT_TEST_SUITE_END();

public:
    /// A fleet whose store returns from a copy.
    struct ReturningFleet
    {
        ReturningFleet()
        {
            CPPUNIT_ASSERT(fleet_.serve(instances, {"t0", "t1", "t2", "t3"}));
            Harness::pause(settlingTime);
        }

        /// Advances the store's revision, as registrations of other targets do.
        void heartbeat(int count)
        {
            for (int i = 0; i < count; ++i)
                fleet_.store_.put("status", "x", std::to_string(++beats_));
        }

        /// Loses what was written since the copy was made.
        void returnFromCopy()
        {
            fleet_.store_.setFaults({.isSilent_ = true});
            Harness::pause(awayTime);
            fleet_.store_.returnFromCopy();
            fleet_.store_.setFaults({});
            callsBefore_ = fleet_.store_.calls();
            Harness::pause(contactTime);
        }

        /// Sends requests through all instances, and returns how many are answered with \a wanted.
        int answered(const std::string &route, status wanted, const std::string &key = "")
        {
            int count = 0;
            for (int i = 0; i < 5; ++i) {
                for (const auto &instance : fleet_.instances_) {
                    const std::string id = "r" + std::to_string(++sent_);
                    const auto answer = key.empty() ? fleet_.send(*instance, route, id, 2000, id)
                                                    : fleet_.sendWithKey(*instance, route, id, key);
                    count += answer && answer->result() == wanted ? 1 : 0;
                }
            }
            return count;
        }

        int requests() const { return 5 * static_cast<int>(fleet_.instances_.size()); }

        /// Requires that target \a index gets no requests from any instance.
        void requireNoRequests(std::size_t index)
        {
            auto &target = *fleet_.targets_[index];
            const auto before = target.runCount();
            for (int i = 0; i < 4; ++i)
                answered("read", status::ok);
            CPPUNIT_ASSERT_EQUAL(before, target.runCount());
        }

        Fleet fleet_;
        int beats_ = 0;
        int callsBefore_ = 0;
        int sent_ = 0;
    };

    static void changesAfterTheReturn(int lostRevisions)
    {
        ReturningFleet site;
        Fleet &fleet = site.fleet_;
        fleet.store_.save();
        site.heartbeat(lostRevisions);
        fleet.configure(2);
        fleet.registerTarget(*fleet.targets_[0], "r-a", "draining");
        Harness::pause(copyAge);
        site.returnFromCopy();
        fleet.configure(3, "added");
        fleet.registerTarget(*fleet.targets_[0], "r-a", "draining");
        fleet.registerTarget(*fleet.targets_[1], "r-a", "draining");
        Harness::pause(applyBound);
        const int calls = fleet.store_.calls() - site.callsBefore_;
        CPPUNIT_ASSERT_EQUAL(site.requests(), site.answered("added", status::ok));
        site.requireNoRequests(0);
        site.requireNoRequests(1);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(calls) + " calls",
                               calls <= maxCallsPerSecond
                                            * Model::inSeconds(contactTime + applyBound));
    }

    // Guards against rows of a store that has returned that are refused as older than known ones,
    // and read again without an end.
    void changesAfterTheReturnAreInForceInTime() { changesAfterTheReturn(50); }

    // Guards against changes under revisions that were given out before, taken for known ones.
    void changesAreInForceWhereTheOldRevisionIsReached() { changesAfterTheReturn(1); }

    // Guards against a copy in which a target that has announced its leave is ready.
    void leaveBeforeTheReturnStaysInForce()
    {
        ReturningFleet site;
        Fleet &fleet = site.fleet_;
        fleet.store_.save();
        fleet.registerTarget(*fleet.targets_[0], "r-a", "draining");
        Harness::pause(copyAge);
        site.requireNoRequests(0);
        site.returnFromCopy();
        site.requireNoRequests(0);
    }

    // Guards against a copy that holds the registration of a target that has left since.
    void removalBeforeTheReturnStaysInForce()
    {
        ReturningFleet site;
        Fleet &fleet = site.fleet_;
        fleet.store_.save();
        fleet.store_.remove("servers", fleet.targets_[0]->id());
        Harness::pause(applyBound);
        site.requireNoRequests(0);
        site.returnFromCopy();
        site.requireNoRequests(0);
    }

    // Guards against a copy with an older table, in which a revoked key is valid.
    void tableAndRevocationBeforeTheReturnStayInForce()
    {
        ReturningFleet site;
        Fleet &fleet = site.fleet_;
        fleet.setWorkspaces(R"([{"name":"w","apiKeys":["old-key","new-key"]}])");
        fleet.configure(2);
        Harness::pause(applyBound);
        fleet.store_.save();
        fleet.setWorkspaces(R"([{"name":"w","apiKeys":["new-key"]}])");
        fleet.configure(3, "added");
        Harness::pause(copyAge);
        CPPUNIT_ASSERT_EQUAL(0, site.answered("read", status::ok, "old-key"));
        site.returnFromCopy();
        CPPUNIT_ASSERT_EQUAL(site.requests(), site.answered("added", status::ok, "new-key"));
        CPPUNIT_ASSERT_EQUAL(0, site.answered("read", status::ok, "old-key"));
    }

    // Guards against a copy that ends a drain, or orders one that has been taken back.
    void drainsBeforeTheReturnStayAsTheyWere()
    {
        ReturningFleet site;
        Fleet &fleet = site.fleet_;
        fleet.addTarget("u0", "s-a");
        fleet.addTarget("v0", "r-b");
        fleet.store_.put("op", "evacuate/s-a", "{}");
        Harness::pause(applyBound);
        fleet.store_.save();
        fleet.store_.remove("op", "evacuate/s-a");
        fleet.store_.put("op", "evacuate/r-a", "{}");
        Harness::pause(copyAge);
        site.returnFromCopy();
        for (std::size_t i = 0; i < 4; ++i)
            site.requireNoRequests(i);
        // The domain whose drain was taken back gets requests.
        const auto before = fleet.targets_[4]->runCount();
        site.answered("read", status::ok);
        CPPUNIT_ASSERT(fleet.targets_[4]->runCount() > before);
    }

    // Guards against refusing a drain together with the older table that stands beside it.
    void drainAfterTheReturnIsInForceBesideAnOlderTable()
    {
        ReturningFleet site;
        Fleet &fleet = site.fleet_;
        fleet.addTarget("u0", "s-a");
        fleet.store_.save();
        fleet.configure(2, "added");
        Harness::pause(copyAge);
        site.returnFromCopy();
        fleet.store_.put("op", "evacuate/r-a", "{}");
        Harness::pause(applyBound);
        CPPUNIT_ASSERT_EQUAL(site.requests(), site.answered("added", status::ok));
        for (std::size_t i = 0; i < 4; ++i)
            site.requireNoRequests(i);
    }

    // Guards against records of the instances that are lost with what the store has lost.
    void whatTheInstancesWroteIsWrittenAgain()
    {
        constexpr const char *table = "cassiacrank-instances";
        ReturningFleet site;
        Fleet &fleet = site.fleet_;
        const auto isRecorded = [&] {
            return std::any_of(fleet.instances_.begin(), fleet.instances_.end(),
                               [&](const auto &instance) {
                                   return fleet.store_.value(table, instance->name_).has_value();
                               });
        };
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(10000), isRecorded));
        for (const auto &instance : fleet.instances_)
            fleet.store_.remove(table, instance->name_);
        fleet.store_.save();
        site.returnFromCopy();
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(10000), isRecorded));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreReturns);
