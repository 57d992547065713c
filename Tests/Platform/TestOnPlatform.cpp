#include "Fleet.h"

#include <LibModel/LibModel.h>
#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>
#include <future>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;
using PlatformStandIns::StoreFaults;
using PlatformStandIns::TargetFaults;

constexpr Milliseconds waitTimeout{10000};
/// The platform's bound for applying a change at every instance.
constexpr Milliseconds applyBound{2500};
/// The platform's bounds hold again this long after a fault of the store.
constexpr Milliseconds recoveryBound{4000};

class TestOnPlatform : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestOnPlatform);
    CPPUNIT_TEST(configuredRoutesAreServedAndOthersAreNot);
    CPPUNIT_TEST(unsafeRequestIsNotRetriedAfterALostAnswer);
    CPPUNIT_TEST(safeRequestIsRetriedAfterALostAnswer);
    CPPUNIT_TEST(shedRequestGoesToAnotherTargetOrIsRefusedAsNotRun);
    CPPUNIT_TEST(refusalAfterALostAnswerDoesNotSayNotRun);
    CPPUNIT_TEST(requestForAnEarlierIncarnationIsNotRunByTheNext);
    CPPUNIT_TEST(foreignAnswerNeverReachesACaller);
    CPPUNIT_TEST(leavingTargetGetsNoNewWork);
    CPPUNIT_TEST(changedConfigurationIsInForceEverywhere);
    CPPUNIT_TEST(unusualValueCostsNoOtherChange);
    CPPUNIT_TEST(instanceThatTheStoreRefusesLearnsFromPeers);
    CPPUNIT_TEST(instanceThatTheStoreRefusesLearnsFromPeersThatATargetLeft);
    CPPUNIT_TEST(changeDuringAnOutageIsInForceAfterIt);
    CPPUNIT_TEST(editAfterASilenceOfTheStoreIsInForceInTime);
    CPPUNIT_TEST(leaveAfterASilenceOfTheStoreIsKnownInTime);
    CPPUNIT_TEST(freshInstanceStartsFromPeersWhileTheStoreIsDown);
    CPPUNIT_TEST(tableIsReadAgainAfterTheStoreDiscardsItsHistory);
    CPPUNIT_TEST(callerThatDisconnectsCancelsASafeRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    static status statusOf(const std::optional<Http::Response> &answer)
    {
        return answer ? answer->result() : status::unknown;
    }

    /// Sends 30 requests for 30 objects round robin through the instances and expects all served.
    static void sendRoundRobin(Fleet &fleet)
    {
        for (std::size_t i = 0; i < 30; ++i) {
            const auto &instance = *fleet.instances_[i % fleet.instances_.size()];
            const std::string number = std::to_string(i);
            const auto answer = fleet.send(instance, "read", "r" + number, 2000, number);
            CPPUNIT_ASSERT(statusOf(answer) == status::ok);
        }
    }

    void configuredRoutesAreServedAndOthersAreNot()
    {
        Fleet fleet;
        auto &instance = fleet.startOne();
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return statusOf(fleet.send(instance, "read", "early")) == status::service_unavailable;
        }));
        CPPUNIT_ASSERT(!fleet.isReady(instance));
        fleet.configure(1);
        auto &target = fleet.addTarget("t1", "r-a");
        CPPUNIT_ASSERT(fleet.waitUntilServing());
        const auto answer = fleet.send(instance, "order", "o1");
        CPPUNIT_ASSERT(statusOf(answer) == status::ok);
        CPPUNIT_ASSERT_EQUAL(std::string("body of o1"), answer->body());
        CPPUNIT_ASSERT_EQUAL(std::string("stamp-t1"),
                             std::string((*answer)["X-Cassiacrank-Server-Stamp"]));
        CPPUNIT_ASSERT(statusOf(fleet.send(instance, "nowhere", "n1")) == status::not_found);
        const auto left = std::stoi(target.seen("X-Cassiacrank-Deadline-Ms").back());
        CPPUNIT_ASSERT(left > 0 && left <= 1500);
    }

    // Guards against running an unsafe request twice: a target runs it, the answer is lost, and a
    // retry reaches the same target or another one.
    void unsafeRequestIsNotRetriedAfterALostAnswer()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
        for (const auto &target : fleet.targets_)
            target->setFaults({.losesAnswers_ = true});
        const auto answer = fleet.send(*fleet.instances_[0], "order", "once", 600);
        CPPUNIT_ASSERT(statusOf(answer) == status::gateway_timeout
                       || statusOf(answer) == status::bad_gateway);
        int runs = 0;
        for (const auto &target : fleet.targets_)
            runs += target->runs()["once"];
        CPPUNIT_ASSERT_EQUAL(1, runs);
    }

    void safeRequestIsRetriedAfterALostAnswer()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
        auto &faultyTarget = *fleet.targets_[0];
        // The retry budget grows with the number of requests.
        for (int i = 0; i < 60; ++i) {
            fleet.send(*fleet.instances_[0], "read", "e" + std::to_string(i), 2000,
                       std::to_string(i));
        }
        faultyTarget.setFaults({.isTruncating_ = true});
        int served = 0;
        for (int i = 0; i < 4; ++i) {
            const auto answer = fleet.send(*fleet.instances_[0], "read", "r" + std::to_string(i),
                                           2000, std::to_string(i));
            served += statusOf(answer) == status::ok ? 1 : 0;
        }
        CPPUNIT_ASSERT_EQUAL(4, served);
        CPPUNIT_ASSERT(faultyTarget.runs().contains("r0") || faultyTarget.runs().contains("r1")
                       || faultyTarget.runs().contains("r2") || faultyTarget.runs().contains("r3"));
    }

    void shedRequestGoesToAnotherTargetOrIsRefusedAsNotRun()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
        for (int i = 0; i < 30; ++i)
            fleet.send(*fleet.instances_[0], "read", "e" + std::to_string(i));
        fleet.targets_[0]->setFaults({.isShedding_ = true});
        const auto served = fleet.send(*fleet.instances_[0], "order", "o1");
        CPPUNIT_ASSERT(statusOf(served) == status::ok);
        fleet.targets_[1]->setFaults({.isShedding_ = true});
        const auto refused = fleet.send(*fleet.instances_[0], "order", "o2");
        CPPUNIT_ASSERT(statusOf(refused) == status::service_unavailable);
        CPPUNIT_ASSERT(!(*refused)[Http::http::field::retry_after].empty());
        for (const auto &target : fleet.targets_)
            CPPUNIT_ASSERT_EQUAL(0, target->runs()["o2"]);
    }

    // Guards against reporting "not run" for a request that ran: the first target runs a safe
    // request and truncates its answer, and the second target refuses the retry. The caller must
    // not get the outcome of the last attempt alone.
    void refusalAfterALostAnswerDoesNotSayNotRun()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
        for (int i = 0; i < 60; ++i) {
            fleet.send(*fleet.instances_[0], "read", "e" + std::to_string(i), 2000,
                       std::to_string(i));
        }
        fleet.targets_[0]->setFaults({.isTruncating_ = true});
        fleet.targets_[1]->setFaults({.isShedding_ = true});
        int ranAndAnswered = 0;
        for (int i = 0; i < 12; ++i) {
            const std::string id = "r" + std::to_string(i);
            const auto answer
                = fleet.send(*fleet.instances_[0], "read", id, 2000, std::to_string(i));
            if (fleet.targets_[0]->runs()[id] == 0)
                continue;
            ++ranAndAnswered;
            CPPUNIT_ASSERT(statusOf(answer) != status::service_unavailable);
            CPPUNIT_ASSERT(statusOf(answer) != status::too_many_requests);
        }
        CPPUNIT_ASSERT(ranAndAnswered > 0);
    }

    // Guards against a request that is run by a target of another service: a target ends, and its
    // address is reused before the store reports it. Requests must name the expected incarnation.
    void requestForAnEarlierIncarnationIsNotRunByTheNext()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1"}));
        auto &target = *fleet.targets_[0];
        target.become("other");
        const auto answer = fleet.send(*fleet.instances_[0], "order", "o1");
        CPPUNIT_ASSERT(statusOf(answer) == status::service_unavailable);
        CPPUNIT_ASSERT_EQUAL(0, target.runs()["o1"]);
        // The log names the target that refused the request.
        const auto &process = *fleet.instances_[0]->process_;
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return process.log().find("target=t1 target_status=421") != std::string::npos;
        }));
    }

    // Guards against handing a caller the answer to another caller's request: a target answers with
    // the id of another request, and the next answer on the connection is accepted unchecked.
    void foreignAnswerNeverReachesACaller()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1"}));
        auto &target = *fleet.targets_[0];
        target.setFaults({.isForeign_ = true});
        const auto answer = fleet.send(*fleet.instances_[0], "order", "o1", 500);
        CPPUNIT_ASSERT(statusOf(answer) == status::gateway_timeout
                       || statusOf(answer) == status::bad_gateway);
        CPPUNIT_ASSERT(answer->body().find("body of") == std::string::npos);
    }

    void leavingTargetGetsNoNewWork()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1", "t2"}));
        auto &leaving = *fleet.targets_[0];
        fleet.registerTarget(leaving, "r-a", "draining");
        Harness::pause(applyBound);
        const auto before = leaving.runCount();
        sendRoundRobin(fleet);
        CPPUNIT_ASSERT_EQUAL(before, leaving.runCount());
    }

    void changedConfigurationIsInForceEverywhere()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1"}));
        fleet.configure(5, "added");
        Harness::pause(applyBound);
        for (const auto &instance : fleet.instances_)
            CPPUNIT_ASSERT(statusOf(fleet.send(*instance, "added", "a")) == status::ok);
        // An older version is never applied, whatever its source.
        fleet.configure(3);
        Harness::pause(applyBound);
        for (const auto &instance : fleet.instances_)
            CPPUNIT_ASSERT(statusOf(fleet.send(*instance, "added", "b")) == status::ok);
    }

    /// Starts an instance whose store is \a refusing, which refuses every call.
    static PlatformStandIns::FleetInstance &startRefused(Fleet &fleet,
                                                         PlatformStandIns::Store &refusing)
    {
        StoreFaults faults;
        faults.isRefusing_ = true;
        refusing.setFaults(faults);
        auto &refused = fleet.startOne(refusing.address());
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return statusOf(fleet.send(refused, "read", "r")) == status::ok;
        }));
        return refused;
    }

    // Guards against considering the local instance's failed calls an outage of the store.
    void instanceThatTheStoreRefusesLearnsFromPeersThatATargetLeft()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1", "t2"}));
        PlatformStandIns::Store refusing("127.0.0.1");
        const auto &refused = startRefused(fleet, refusing);
        // Before this, the peers have not read the store for long enough to distinguish a target
        // that left from an expired registration.
        Harness::pause(recoveryBound);
        const auto &leaving = *fleet.targets_[0];
        fleet.store_.remove("servers", leaving.id());
        const auto hasDropped = [&] {
            const auto log = refused.process_->log();
            return log.find("name=TargetGone target=" + leaving.id()) != std::string::npos;
        };
        CPPUNIT_ASSERT(Harness::waitUntil(applyBound, hasDropped));
        const auto log = refused.process_->log();
        const std::string keptAs = "after=lapse missing_ms=";
        const auto kept = log.find(keptAs);
        if (kept != std::string::npos) {
            const Milliseconds keptFor(std::stoi(log.substr(kept + keptAs.size())));
            CPPUNIT_ASSERT(keptFor < Policy::registrationExpiryGrace / 2);
        }
    }

    // Guards against an accepted configuration that is lost for one long time-out: its other
    // changes never come into force, and an instance that starts again is never ready.
    void unusualValueCostsNoOtherChange()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(2, {"t1"}));
        fleet.setRouteTimeout(Milliseconds(900000000));
        fleet.configure(2, "added");
        for (const auto &instance : fleet.instances_) {
            CPPUNIT_ASSERT(Harness::waitUntil(applyBound, [&] {
                return statusOf(fleet.send(*instance, "added", "a1")) == status::ok;
            }));
            CPPUNIT_ASSERT(fleet.metric(*instance, "cassiacrank_table_fitted") > 0);
        }
        auto &restarted = *fleet.instances_[0];
        restarted.process_->kill();
        restarted.process_->start();
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return fleet.isReady(restarted)
                   && statusOf(fleet.send(restarted, "added", "a2")) == status::ok;
        }));
    }

    // Guards against an instance that applies only what it reads from the store itself.
    void instanceThatTheStoreRefusesLearnsFromPeers()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(2, {"t1", "t2"}));
        PlatformStandIns::Store refusing("127.0.0.1");
        const auto &refused = startRefused(fleet, refusing);
        auto &leaving = *fleet.targets_[0];
        fleet.registerTarget(leaving, "r-a", "draining");
        fleet.configure(4, "added");
        Harness::pause(applyBound);
        const auto before = leaving.runCount();
        for (int i = 0; i < 20; ++i) {
            const auto answer
                = fleet.send(refused, "added", "a" + std::to_string(i), 2000, std::to_string(i));
            CPPUNIT_ASSERT(statusOf(answer) == status::ok);
        }
        CPPUNIT_ASSERT_EQUAL(before, leaving.runCount());
    }

    // Guards against instances that keep stale state after an outage of the store: a change is
    // written while the store refuses every call, and an instance then waits for changes after a
    // revision that it never reached.
    void changeDuringAnOutageIsInForceAfterIt()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1"}));
        StoreFaults down;
        down.isRefusing_ = true;
        fleet.store_.setFaults(down);
        Harness::pause(Milliseconds(300));
        fleet.configure(4, "added");
        Harness::pause(Milliseconds(1000));
        for (const auto &instance : fleet.instances_)
            CPPUNIT_ASSERT(statusOf(fleet.send(*instance, "read", "r")) == status::ok);
        fleet.store_.setFaults({});
        for (const auto &instance : fleet.instances_) {
            CPPUNIT_ASSERT(Harness::waitUntil(applyBound, [&] {
                return statusOf(fleet.send(*instance, "added", "x")) == status::ok;
            }));
        }
    }

    // Guards against a configuration that is accepted after an outage and not in force at any
    // instance 6 s later. A change makes all instances call the store at the same moment; soon
    // after, the store is silent for 4.5 s. Calls begun before the silence, or retried first during
    // it, wait 8 s for an answer that never comes.
    void editAfterASilenceOfTheStoreIsInForceInTime()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1"}));
        Harness::pause(Milliseconds(2500));
        fleet.configure(2, "before");
        Harness::pause(Milliseconds(1000));
        StoreFaults silent;
        silent.isSilent_ = true;
        fleet.store_.setFaults(silent);
        Harness::pause(Milliseconds(4500));
        fleet.store_.setFaults({});
        Harness::pause(Milliseconds(1000));
        fleet.configure(4, "added");
        Harness::pause(applyBound);
        for (const auto &instance : fleet.instances_)
            CPPUNIT_ASSERT(statusOf(fleet.send(*instance, "added", "x")) == status::ok);
    }

    // Guards against reads of the target table that hang after a short silence of the store.
    void leaveAfterASilenceOfTheStoreIsKnownInTime()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1", "t2"}));
        Harness::pause(Milliseconds(2500));
        // The change makes the calls of all instances begin together.
        fleet.addTarget("t3", "r-b");
        Harness::pause(Milliseconds(1000));
        StoreFaults silent;
        silent.isSilent_ = true;
        fleet.store_.setFaults(silent);
        Harness::pause(Milliseconds(500));
        fleet.store_.setFaults({});
        Harness::pause(recoveryBound);
        auto &leaving = *fleet.targets_[0];
        fleet.registerTarget(leaving, "r-a", "draining");
        Harness::pause(applyBound);
        const auto before = leaving.runCount();
        sendRoundRobin(fleet);
        CPPUNIT_ASSERT_EQUAL(before, leaving.runCount());
    }

    void freshInstanceStartsFromPeersWhileTheStoreIsDown()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(2, {"t1"}));
        StoreFaults down;
        down.isRefusing_ = true;
        fleet.store_.setFaults(down);
        auto &fresh = fleet.startOne();
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return statusOf(fleet.send(fresh, "read", "r")) == status::ok;
        }));
    }

    void tableIsReadAgainAfterTheStoreDiscardsItsHistory()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
        auto &removedTarget = *fleet.targets_[0];
        StoreFaults forgetful;
        forgetful.hasDiscardedHistory_ = true;
        fleet.store_.setFaults(forgetful);
        fleet.store_.remove("servers", removedTarget.id());
        fleet.configure(3, "added");
        Harness::pause(applyBound);
        const auto before = removedTarget.runCount();
        for (int i = 0; i < 20; ++i) {
            const auto answer = fleet.send(*fleet.instances_[0], "added", "a" + std::to_string(i),
                                           2000, std::to_string(i));
            CPPUNIT_ASSERT(statusOf(answer) == status::ok);
        }
        CPPUNIT_ASSERT_EQUAL(before, removedTarget.runCount());
    }

    // Guards against targets that stay busy with abandoned requests: a caller closes its connection
    // while its request runs, and the entry checks the connection only once the answer arrives.
    void callerThatDisconnectsCancelsASafeRequest()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1"}));
        auto &target = *fleet.targets_[0];
        target.setFaults({.work_ = Milliseconds(1200)});
        Http::SimpleRequest request;
        request.address_ = fleet.instances_[0]->entry();
        request.target_ = "/read/x";
        request.timeout_ = Milliseconds(200);
        request.fields_ = {{"Host", "h.example"}, {"X-Cassiacrank-Request-Id", "left"}};
        CPPUNIT_ASSERT(!Http::sendAndWait(request));
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(700), [&] {
            Http::SimpleRequest metrics;
            metrics.address_ = fleet.instances_[0]->admin();
            metrics.target_ = "/metrics";
            const auto answer = Http::sendAndWait(metrics);
            return answer
                   && answer->body().find("cassiacrank_abandoned_total 1") != std::string::npos;
        }));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestOnPlatform);
