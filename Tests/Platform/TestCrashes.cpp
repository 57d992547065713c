#include "Fleet.h"

#include <Support/Property.h>
#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>

namespace {

using Http::http::status;
using Model::Milliseconds;
using Model::SteadyTime;
using PlatformStandIns::Fleet;

/// The platform's bound: after this time from the third crash under a request, the request crashes
/// at most maxCrashesAfterBound more targets.
constexpr Milliseconds quarantineBound{4000};
constexpr std::size_t maxCrashesAfterBound = 3;
constexpr Milliseconds sendInterval{250};
constexpr Milliseconds waitTimeout{10000};

class TestCrashes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCrashes);
    CPPUNIT_TEST(readThatCrashesTargetsIsQuarantined);
    CPPUNIT_TEST(orderThatCrashesTargetsIsQuarantined);
    CPPUNIT_TEST(onlyTheLongBodyThatCrashesTargetsIsQuarantined);
    CPPUNIT_TEST(quarantinedRequestIsRefusedAtOnceAndOthersAreServed);
    CPPUNIT_TEST(restartedFleetLoadsQuarantinesFromTheStore);
    CPPUNIT_TEST(freshInstanceThatTheStoreRefusesLoadsQuarantinesFromPeers);
    CPPUNIT_TEST(frozenInstanceAppliesQuarantinesSoonAfterItResumes);
    CPPUNIT_TEST(requestOnTargetsThatAreKilledTogetherIsServed);
    CPPUNIT_TEST(requestOnTargetsThatDrainIsServed);
    CPPUNIT_TEST(operatorsReleaseAQuarantineEverywhere);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Starts instances, and targets that crash under requests whose path begins with \a path.
    static void serveWith(Fleet &fleet, std::size_t instances, const std::string &path)
    {
        CPPUNIT_ASSERT(
            fleet.serve(instances, {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9", "t10"}));
        for (const auto &target : fleet.targets_)
            target->setFaults({.crashPathPrefix_ = path});
    }

    /// Returns when targets crashed under requests, in order of time.
    static std::vector<SteadyTime> crashTimesOf(Fleet &fleet)
    {
        std::vector<SteadyTime> all;
        for (const auto &target : fleet.targets_) {
            for (const auto &end : target->ends())
                all.push_back(end.at_);
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    /// Sends \a path round robin through all instances for \a length.
    static void sendRepeatedly(Fleet &fleet, const std::string &path, Milliseconds length)
    {
        static int number = 0;
        const auto until = std::chrono::steady_clock::now() + length;
        for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
            const auto &instance = *fleet.instances_[i % fleet.instances_.size()];
            fleet.sendTo(instance, path, "again-" + std::to_string(++number));
            Harness::pause(sendInterval);
        }
    }

    static void assertCrashesAreBounded(Fleet &fleet)
    {
        const auto ends = crashTimesOf(fleet);
        CPPUNIT_ASSERT(ends.size() >= 3);
        const auto after = std::count_if(ends.begin(), ends.end(), [&](SteadyTime time) {
            return time > ends[2] + quarantineBound;
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ends.size()) + " ended, " + std::to_string(after)
                                   + " of them after the bound",
                               static_cast<std::size_t>(after) <= maxCrashesAfterBound);
    }

    static void assertQuarantined(const std::string &path)
    {
        Fleet fleet;
        serveWith(fleet, 4, path);
        sendRepeatedly(fleet, path, Milliseconds(9000));
        assertCrashesAreBounded(fleet);
    }

    // Guards against retrying a poison request on one target after another.
    void readThatCrashesTargetsIsQuarantined() { assertQuarantined("/read/poison"); }
    void orderThatCrashesTargetsIsQuarantined() { assertQuarantined("/order/poison"); }

    static bool isRefusedAsQuarantined(const std::optional<Http::Response> &answer)
    {
        return answer && answer->result() == status::service_unavailable
               && (*answer)["Cassiacrank-Code"] == "213";
    }

    static std::optional<Http::Response> sendPoison(Fleet &fleet,
                                                    const PlatformStandIns::FleetInstance &instance)
    {
        static int number = 0;
        return fleet.sendTo(instance, "/read/poison", "poison-" + std::to_string(++number));
    }

    /// Sends the poison request until every instance refuses it.
    static void quarantine(Fleet &fleet)
    {
        serveWith(fleet, 4, "/read/poison");
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return std::all_of(fleet.instances_.begin(), fleet.instances_.end(),
                               [&](const auto &instance) {
                                   return isRefusedAsQuarantined(sendPoison(fleet, *instance));
                               })
                   && quarantinesAt(*fleet.instances_[0]).size() == 1;
        }));
    }

    static nlohmann::json quarantinesAt(const PlatformStandIns::FleetInstance &instance)
    {
        Http::SimpleRequest request;
        request.address_ = instance.admin();
        request.target_ = "/quarantines";
        const auto answer = Http::sendAndWait(request);
        if (!answer)
            return nlohmann::json::array();
        return nlohmann::json::parse(answer->body()).at("quarantined");
    }

    static void assertServed(Fleet &fleet, const std::string &path, const std::string &body = "")
    {
        static int number = 0;
        for (const auto &instance : fleet.instances_) {
            const std::string id = "served-" + std::to_string(++number);
            const auto answer = fleet.sendTo(*instance, path, id, body);
            CPPUNIT_ASSERT_MESSAGE(path, answer && answer->result() == status::ok);
        }
    }

    // Guards against a quarantine of a whole path because of one request body.
    void onlyTheLongBodyThatCrashesTargetsIsQuarantined()
    {
        Fleet fleet;
        serveWith(fleet, 2, "/order/poison");
        const std::string body(300 * 1024, 'x');
        static int number = 0;
        const auto send = [&](const std::string &what) {
            const auto &instance = *fleet.instances_[static_cast<std::size_t>(++number) % 2];
            return fleet.sendTo(instance, "/order/poison", "long-" + std::to_string(number), what);
        };
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return isRefusedAsQuarantined(send(body));
        }));
        // The requests differ in the body alone, and targets no longer crash.
        for (const auto &target : fleet.targets_)
            target->setFaults({});
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            const auto answer = send(body + "y");
            return answer && answer->result() == status::ok;
        }));
        CPPUNIT_ASSERT(isRefusedAsQuarantined(send(body)));
    }

    // Guards against delayed refusals, and against refusing requests that ran on the same targets.
    void quarantinedRequestIsRefusedAtOnceAndOthersAreServed()
    {
        Fleet fleet;
        serveWith(fleet, 4, "/read/poison");
        for (const auto &target : fleet.targets_)
            target->setFaults({.work_ = Milliseconds(60), .crashPathPrefix_ = "/read/poison"});
        const auto until = std::chrono::steady_clock::now() + Milliseconds(8000);
        std::atomic<int> sent{0};
        std::atomic<int> served{0};
        std::vector<std::thread> others;
        for (std::size_t i = 0; i < fleet.instances_.size(); ++i) {
            others.emplace_back([&, i] {
                while (std::chrono::steady_clock::now() < until) {
                    const int number = ++sent;
                    const std::string object = std::to_string(number % 12);
                    const auto answer = fleet.sendTo(*fleet.instances_[i], "/read/tank/" + object,
                                                     "other-" + std::to_string(number), "", object);
                    served += answer && answer->result() == status::ok ? 1 : 0;
                    Harness::pause(Milliseconds(20));
                }
            });
        }
        Milliseconds slowest{0};
        int kept = 0;
        for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
            const auto sentAt = std::chrono::steady_clock::now();
            const auto answer = sendPoison(fleet, *fleet.instances_[i % fleet.instances_.size()]);
            if (isRefusedAsQuarantined(answer)) {
                ++kept;
                const auto took = std::chrono::steady_clock::now() - sentAt;
                slowest = std::max(slowest, std::chrono::duration_cast<Milliseconds>(took));
                CPPUNIT_ASSERT(!(*answer)[Http::http::field::retry_after].empty());
            }
            Harness::pause(sendInterval);
        }
        for (auto &thread : others)
            thread.join();
        const double servedShare = double(served) / std::max(1, sent.load());
        const std::string seen = std::to_string(kept) + " refused, slowest after "
                                 + std::to_string(slowest.count()) + " ms; others served "
                                 + std::to_string(servedShare) + " of " + std::to_string(sent)
                                 + "; ended " + std::to_string(crashTimesOf(fleet).size());
        std::cout << " (" << seen << ")";
        CPPUNIT_ASSERT_MESSAGE(seen, kept > 5);
        CPPUNIT_ASSERT_MESSAGE(seen, slowest < Milliseconds(500));
        CPPUNIT_ASSERT_MESSAGE(seen, servedShare >= 0.97);
        assertCrashesAreBounded(fleet);
    }

    // Guards against a fleet that loses its quarantines when all instances are killed.
    void restartedFleetLoadsQuarantinesFromTheStore()
    {
        Fleet fleet;
        quarantine(fleet);
        // Leaves time for the write to the store, which follows the quarantine decision.
        Harness::pause(Milliseconds(1000));
        for (const auto &instance : fleet.instances_)
            instance->process_->kill();
        const auto ended = crashTimesOf(fleet).size();
        for (const auto &instance : fleet.instances_)
            instance->process_->start();
        for (const auto &instance : fleet.instances_) {
            CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
                return isRefusedAsQuarantined(sendPoison(fleet, *instance));
            }));
        }
        CPPUNIT_ASSERT_EQUAL(ended, crashTimesOf(fleet).size());
        assertServed(fleet, "/read/x");
    }

    void freshInstanceThatTheStoreRefusesLoadsQuarantinesFromPeers()
    {
        Fleet fleet;
        quarantine(fleet);
        PlatformStandIns::StoreFaults down;
        down.isRefusing_ = true;
        fleet.store_.setFaults(down);
        const auto ended = crashTimesOf(fleet).size();
        const auto &fresh = fleet.startOne();
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return isRefusedAsQuarantined(sendPoison(fleet, fresh));
        }));
        CPPUNIT_ASSERT_EQUAL(ended, crashTimesOf(fleet).size());
    }

    // Guards against an instance that resumes after a pause without the quarantines made meanwhile.
    void frozenInstanceAppliesQuarantinesSoonAfterItResumes()
    {
        Fleet fleet;
        serveWith(fleet, 4, "/read/poison");
        auto &frozen = *fleet.instances_[1];
        frozen.process_->signal(SIGSTOP);
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return isRefusedAsQuarantined(sendPoison(fleet, *fleet.instances_[0]))
                   && quarantinesAt(*fleet.instances_[0]).size() == 1;
        }));
        Harness::pause(Milliseconds(1000));
        frozen.process_->signal(SIGCONT);
        CPPUNIT_ASSERT(Harness::waitUntil(quarantineBound, [&] {
            return quarantinesAt(frozen).size() == 1;
        }));
        const auto ended = crashTimesOf(fleet).size();
        CPPUNIT_ASSERT(isRefusedAsQuarantined(sendPoison(fleet, frozen)));
        CPPUNIT_ASSERT_EQUAL(ended, crashTimesOf(fleet).size());
    }

    static void assertNothingQuarantined(Fleet &fleet)
    {
        for (const auto &instance : fleet.instances_) {
            CPPUNIT_ASSERT(quarantinesAt(*instance).empty());
            const auto log = instance->process_->log();
            CPPUNIT_ASSERT(log.find("RequestQuarantined") == std::string::npos);
        }
    }

    // Guards against a quarantine of a request that was in progress on targets that were killed.
    void requestOnTargetsThatAreKilledTogetherIsServed()
    {
        Fleet fleet;
        serveWith(fleet, 4, "");
        for (const auto &target : fleet.targets_)
            target->setFaults({.work_ = Milliseconds(250), .restartDelay_ = Milliseconds(500)});
        const auto until = std::chrono::steady_clock::now() + Milliseconds(6000);
        std::vector<std::thread> callers;
        for (std::size_t i = 0; i < 8; ++i) {
            callers.emplace_back([&, i] {
                for (int j = 0; std::chrono::steady_clock::now() < until; ++j) {
                    const std::string number = std::to_string(i) + "-" + std::to_string(j);
                    const std::string object
                        = std::to_string((i + static_cast<std::size_t>(j)) % 10);
                    fleet.sendTo(*fleet.instances_[i % 4], "/read/same", "k" + number, "", object);
                }
            });
        }
        for (int i = 0; i < 3; ++i) {
            Harness::pause(Milliseconds(1500));
            for (std::size_t j = 0; j < 6; ++j)
                fleet.targets_[j]->kill();
        }
        for (auto &caller : callers)
            caller.join();
        assertNothingQuarantined(fleet);
        Harness::pause(Milliseconds(1500));
        assertServed(fleet, "/read/same");
    }

    void requestOnTargetsThatDrainIsServed()
    {
        Fleet fleet;
        serveWith(fleet, 2, "");
        for (const auto &target : fleet.targets_)
            target->setFaults({.work_ = Milliseconds(300), .restartDelay_ = Milliseconds(500)});
        std::atomic<bool> isOver{false};
        std::thread caller([&] {
            for (int i = 0; !isOver; ++i) {
                const auto &instance = *fleet.instances_[static_cast<std::size_t>(i) % 2];
                fleet.sendTo(instance, "/read/same", "d" + std::to_string(i));
            }
        });
        // Targets drain one after another, and each ends with a request in progress.
        for (std::size_t i = 0; i < 6; ++i) {
            auto &target = *fleet.targets_[i];
            fleet.registerTarget(target, "r-a", "draining");
            Harness::pause(Milliseconds(700));
            target.kill();
        }
        isOver = true;
        caller.join();
        assertNothingQuarantined(fleet);
        assertServed(fleet, "/read/same");
    }

    void operatorsReleaseAQuarantineEverywhere()
    {
        Fleet fleet;
        quarantine(fleet);
        const auto listed = quarantinesAt(*fleet.instances_[0]);
        CPPUNIT_ASSERT(
            std::any_of(fleet.instances_.begin(), fleet.instances_.end(), [](const auto &instance) {
                const auto text = quarantinesAt(*instance).dump();
                return text.find("GET h.example/read/poison") != std::string::npos;
            }));
        for (const auto &target : fleet.targets_)
            target->setFaults({});
        Http::SimpleRequest lift;
        lift.address_ = fleet.instances_[0]->admin();
        lift.method_ = Http::http::verb::delete_;
        lift.target_ = "/quarantines/" + listed.at(0).at("print").get<std::string>();
        const auto lifted = Http::sendAndWait(lift);
        CPPUNIT_ASSERT(lifted && lifted->result() == status::ok);
        for (const auto &instance : fleet.instances_) {
            CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
                const auto answer = sendPoison(fleet, *instance);
                return answer && answer->result() == status::ok;
            }));
        }
        // The quarantine is already released, and "none" is no fingerprint.
        for (const std::string &what : {lift.target_, std::string("/quarantines/none")}) {
            lift.target_ = what;
            const auto refused = Http::sendAndWait(lift);
            CPPUNIT_ASSERT(refused && refused->result() == status::bad_request);
        }
        Harness::pause(Milliseconds(1000));
        CPPUNIT_ASSERT(!fleet.store_.value("cassiacrank-quarantines",
                                           listed.at(0).at("print").get<std::string>()));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestCrashes);
