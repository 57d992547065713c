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

/// By the platform's terms: so long after the third target ended under a request it reaches targets
/// no more often than this.
constexpr Milliseconds knownWithin{4000};
constexpr std::size_t mostAfter = 3;
constexpr Milliseconds pauseBetween{250};
constexpr Milliseconds patience{10000};

class TestCrashes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCrashes);
    CPPUNIT_TEST(readThatEndsTargetsIsKeptFromThem);
    CPPUNIT_TEST(orderThatEndsTargetsIsKeptFromThem);
    CPPUNIT_TEST(longBodyThatEndsTargetsIsKeptFromThemAndOthersAreNot);
    CPPUNIT_TEST(refusalComesAtOnceAndOthersAreServed);
    CPPUNIT_TEST(fleetThatStartsAnewKnowsFromTheStore);
    CPPUNIT_TEST(freshInstanceThatTheStoreRefusesKnowsFromPeers);
    CPPUNIT_TEST(frozenInstanceKnowsSoonAfterItWakes);
    CPPUNIT_TEST(requestOnTargetsThatAreKilledTogetherIsServed);
    CPPUNIT_TEST(requestOnTargetsThatDrainIsServed);
    CPPUNIT_TEST(operatorsLiftAQuarantineEverywhere);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Starts instances, and targets that end under requests for paths that begin with \a path.
    static void serveWith(Fleet &fleet, std::size_t instances, const std::string &path)
    {
        CPPUNIT_ASSERT(
            fleet.serve(instances, {"t1", "t2", "t3", "t4", "t5", "t6", "t7", "t8", "t9", "t10"}));
        for (const auto &target : fleet.targets_)
            target->setFaults({.endsUnder_ = path});
    }

    /// When targets ended under requests, in order.
    static std::vector<SteadyTime> endsOf(Fleet &fleet)
    {
        std::vector<SteadyTime> all;
        for (const auto &target : fleet.targets_) {
            for (const auto &end : target->ends())
                all.push_back(end.at_);
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    /// Sends \a path by turns through all instances for \a length.
    static void sendAgainAndAgain(Fleet &fleet, const std::string &path, Milliseconds length)
    {
        static int number = 0;
        const auto until = std::chrono::steady_clock::now() + length;
        for (std::size_t i = 0; std::chrono::steady_clock::now() < until; ++i) {
            const auto &instance = *fleet.instances_[i % fleet.instances_.size()];
            fleet.sendTo(instance, path, "again-" + std::to_string(++number));
            Harness::pause(pauseBetween);
        }
    }

    static void assertFewEnd(Fleet &fleet)
    {
        const auto ends = endsOf(fleet);
        CPPUNIT_ASSERT(ends.size() >= 3);
        const auto after = std::count_if(ends.begin(), ends.end(), [&](SteadyTime time) {
            return time > ends[2] + knownWithin;
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(ends.size()) + " ended, " + std::to_string(after)
                                   + " of them too late",
                               static_cast<std::size_t>(after) <= mostAfter);
    }

    static void assertKeptFromTargets(const std::string &path)
    {
        Fleet fleet;
        serveWith(fleet, 4, path);
        sendAgainAndAgain(fleet, path, Milliseconds(9000));
        assertFewEnd(fleet);
    }

    // Guards against sending a request under which targets end to one target after the other.
    void readThatEndsTargetsIsKeptFromThem() { assertKeptFromTargets("/read/poison"); }
    void orderThatEndsTargetsIsKeptFromThem() { assertKeptFromTargets("/order/poison"); }

    static bool isKept(const std::optional<Http::Response> &answer)
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

    /// Sends the request under which targets end until every instance keeps it from them.
    static void quarantine(Fleet &fleet)
    {
        serveWith(fleet, 4, "/read/poison");
        CPPUNIT_ASSERT(Harness::waitUntil(patience, [&] {
            return std::all_of(fleet.instances_.begin(), fleet.instances_.end(),
                               [&](const auto &instance) {
                                   return isKept(sendPoison(fleet, *instance));
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

    // Guards against blaming a path for one of the bodies that are sent there.
    void longBodyThatEndsTargetsIsKeptFromThemAndOthersAreNot()
    {
        Fleet fleet;
        serveWith(fleet, 2, "/order/poison");
        const std::string body(300 * 1024, 'x');
        static int number = 0;
        const auto send = [&](const std::string &what) {
            const auto &instance = *fleet.instances_[static_cast<std::size_t>(++number) % 2];
            return fleet.sendTo(instance, "/order/poison", "long-" + std::to_string(number), what);
        };
        CPPUNIT_ASSERT(Harness::waitUntil(patience, [&] {
            return isKept(send(body));
        }));
        // Only the body tells them apart, and this one ends nothing.
        for (const auto &target : fleet.targets_)
            target->setFaults({});
        CPPUNIT_ASSERT(Harness::waitUntil(patience, [&] {
            const auto answer = send(body + "y");
            return answer && answer->result() == status::ok;
        }));
        CPPUNIT_ASSERT(isKept(send(body)));
    }

    // Guards against holding back what is refused, and against refusing what ran beside it.
    void refusalComesAtOnceAndOthersAreServed()
    {
        Fleet fleet;
        serveWith(fleet, 4, "/read/poison");
        for (const auto &target : fleet.targets_)
            target->setFaults({.work_ = Milliseconds(60), .endsUnder_ = "/read/poison"});
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
            if (isKept(answer)) {
                ++kept;
                const auto took = std::chrono::steady_clock::now() - sentAt;
                slowest = std::max(slowest, std::chrono::duration_cast<Milliseconds>(took));
                CPPUNIT_ASSERT(!(*answer)[Http::http::field::retry_after].empty());
            }
            Harness::pause(pauseBetween);
        }
        for (auto &thread : others)
            thread.join();
        const double part = double(served) / std::max(1, sent.load());
        const std::string seen = std::to_string(kept) + " refused, slowest after "
                                 + std::to_string(slowest.count()) + " ms; others served "
                                 + std::to_string(part) + " of " + std::to_string(sent) + "; ended "
                                 + std::to_string(endsOf(fleet).size());
        std::cout << " (" << seen << ")";
        CPPUNIT_ASSERT_MESSAGE(seen, kept > 5);
        CPPUNIT_ASSERT_MESSAGE(seen, slowest < Milliseconds(500));
        CPPUNIT_ASSERT_MESSAGE(seen, part >= 0.97);
        assertFewEnd(fleet);
    }

    // Guards against a fleet that forgets, when all of it is killed, what ended targets.
    void fleetThatStartsAnewKnowsFromTheStore()
    {
        Fleet fleet;
        quarantine(fleet);
        // What is written is written within a moment of the verdict.
        Harness::pause(Milliseconds(1000));
        for (const auto &instance : fleet.instances_)
            instance->process_->kill();
        const auto ended = endsOf(fleet).size();
        for (const auto &instance : fleet.instances_)
            instance->process_->start();
        for (const auto &instance : fleet.instances_) {
            CPPUNIT_ASSERT(Harness::waitUntil(patience, [&] {
                return isKept(sendPoison(fleet, *instance));
            }));
        }
        CPPUNIT_ASSERT_EQUAL(ended, endsOf(fleet).size());
        assertServed(fleet, "/read/x");
    }

    void freshInstanceThatTheStoreRefusesKnowsFromPeers()
    {
        Fleet fleet;
        quarantine(fleet);
        PlatformStandIns::StoreFaults down;
        down.isRefusing_ = true;
        fleet.store_.setFaults(down);
        const auto ended = endsOf(fleet).size();
        const auto &fresh = fleet.startOne();
        CPPUNIT_ASSERT(Harness::waitUntil(patience, [&] {
            return isKept(sendPoison(fleet, fresh));
        }));
        CPPUNIT_ASSERT_EQUAL(ended, endsOf(fleet).size());
    }

    // Guards against an instance that was cut off and goes on as if nothing had happened.
    void frozenInstanceKnowsSoonAfterItWakes()
    {
        Fleet fleet;
        serveWith(fleet, 4, "/read/poison");
        auto &frozen = *fleet.instances_[1];
        frozen.process_->signal(SIGSTOP);
        CPPUNIT_ASSERT(Harness::waitUntil(patience, [&] {
            return isKept(sendPoison(fleet, *fleet.instances_[0]))
                   && quarantinesAt(*fleet.instances_[0]).size() == 1;
        }));
        Harness::pause(Milliseconds(1000));
        frozen.process_->signal(SIGCONT);
        CPPUNIT_ASSERT(Harness::waitUntil(knownWithin, [&] {
            return quarantinesAt(frozen).size() == 1;
        }));
        const auto ended = endsOf(fleet).size();
        CPPUNIT_ASSERT(isKept(sendPoison(fleet, frozen)));
        CPPUNIT_ASSERT_EQUAL(ended, endsOf(fleet).size());
    }

    static void assertNobodyAccused(Fleet &fleet)
    {
        for (const auto &instance : fleet.instances_) {
            CPPUNIT_ASSERT(quarantinesAt(*instance).empty());
            const auto log = instance->process_->log();
            CPPUNIT_ASSERT(log.find("RequestQuarantined") == std::string::npos);
        }
    }

    // Guards against blaming a request for targets that were killed while it was there.
    void requestOnTargetsThatAreKilledTogetherIsServed()
    {
        Fleet fleet;
        serveWith(fleet, 4, "");
        for (const auto &target : fleet.targets_)
            target->setFaults({.work_ = Milliseconds(250), .backAfter_ = Milliseconds(500)});
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
        assertNobodyAccused(fleet);
        Harness::pause(Milliseconds(1500));
        assertServed(fleet, "/read/same");
    }

    void requestOnTargetsThatDrainIsServed()
    {
        Fleet fleet;
        serveWith(fleet, 2, "");
        for (const auto &target : fleet.targets_)
            target->setFaults({.work_ = Milliseconds(300), .backAfter_ = Milliseconds(500)});
        std::atomic<bool> isOver{false};
        std::thread caller([&] {
            for (int i = 0; !isOver; ++i) {
                const auto &instance = *fleet.instances_[static_cast<std::size_t>(i) % 2];
                fleet.sendTo(instance, "/read/same", "d" + std::to_string(i));
            }
        });
        // One after the other leaves, and ends with the request in progress.
        for (std::size_t i = 0; i < 6; ++i) {
            auto &target = *fleet.targets_[i];
            fleet.registerTarget(target, "r-a", "draining");
            Harness::pause(Milliseconds(700));
            target.kill();
        }
        isOver = true;
        caller.join();
        assertNobodyAccused(fleet);
        assertServed(fleet, "/read/same");
    }

    void operatorsLiftAQuarantineEverywhere()
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
            CPPUNIT_ASSERT(Harness::waitUntil(patience, [&] {
                const auto answer = sendPoison(fleet, *instance);
                return answer && answer->result() == status::ok;
            }));
        }
        // There is none to lift any more, and no such thing.
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
