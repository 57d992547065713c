#include "Fleet.h"

#include <Support/Property.h>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <future>
#include <sys/stat.h>
#include <thread>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;

constexpr Milliseconds waitTimeout{10000};

class TestPlannedStops : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlannedStops);
    CPPUNIT_TEST(plannedStopFinishesRequestsInProgress);
    CPPUNIT_TEST(plannedStopAnswersPipelinedRequests);
    CPPUNIT_TEST(plannedStopUsesTheWholeGraceTime);
    CPPUNIT_TEST(requestThatArrivesTooLateInTheGraceIsRefused);
    CPPUNIT_TEST(reloadAppliesChangedTerms);
    CPPUNIT_TEST(stopSignalWhileStartingExitsCleanly);
    CPPUNIT_TEST(killedInstanceIsRemovedFromLookups);
    CPPUNIT_TEST_SUITE_END();

public:
    void plannedStopFinishesRequestsInProgress()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(2, {"t1"}));
        auto &target = *fleet.targets_[0];
        target.setFaults({.work_ = Milliseconds(900)});
        auto &stopping = *fleet.instances_[0];
        const auto before = target.runCount();
        auto answer = std::async(std::launch::async, [&] {
            return fleet.send(stopping, "order", "o1");
        });
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return target.runCount() > before;
        }));
        stopping.process_->signal(SIGTERM);
        const auto received = answer.get();
        CPPUNIT_ASSERT(received && received->result() == status::ok);
        CPPUNIT_ASSERT(!fleet.isReady(stopping));
        // The other instance drops it from look-ups, and it exits within the platform's grace
        // period.
        const std::string stoppedEntry = toText(stopping.entry());
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(4000), [&] {
            const auto named = fleet.lookUp(*fleet.instances_[1], "r");
            return !named.empty()
                   && std::find(named.begin(), named.end(), stoppedEntry) == named.end();
        }));
        CPPUNIT_ASSERT_EQUAL(0, stopping.process_->wait(Milliseconds(6000)).value_or(-1));
    }

    // Guards against discarding the answers to pipelined requests that targets are running.
    void plannedStopAnswersPipelinedRequests()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(2, {"t1", "t2"}));
        for (const auto &target : fleet.targets_)
            target->setFaults({.work_ = Milliseconds(700)});
        const auto &stopping = *fleet.instances_[0];
        Http::asio::io_context context;
        Http::tcp::socket caller(context);
        caller.connect(Http::endpointOf(stopping.entry()));
        std::string requests;
        for (const char *id : {"p1", "p2", "p3"}) {
            requests += std::string("GET /read/7 HTTP/1.1\r\nHost: h.example\r\n")
                        + "X-Cassiacrank-Request-Id: " + id
                        + "\r\nX-Cassiacrank-Deadline-Ms: 1500\r\n\r\n";
        }
        const auto runs = [&] {
            return fleet.targets_[0]->runCount() + fleet.targets_[1]->runCount();
        };
        const auto before = runs();
        Http::asio::write(caller, Http::asio::buffer(requests));
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return runs() == before + 3;
        }));
        stopping.process_->signal(SIGTERM);
        std::string answers;
        Http::ErrorCode error;
        while (!error) {
            char buffer[4096];
            const auto received = caller.read_some(Http::asio::buffer(buffer), error);
            answers.append(buffer, received);
        }
        std::size_t answered = 0;
        for (auto at = answers.find("HTTP/1.1 200"); at != std::string::npos;
             at = answers.find("HTTP/1.1 200", at + 1))
            ++answered;
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answers, std::size_t(3), answered);
        CPPUNIT_ASSERT_EQUAL(0, stopping.process_->wait(Milliseconds(6000)).value_or(-1));
    }

    // Guards against requests that are cut off because the platform's grace time is not read.
    void plannedStopUsesTheWholeGraceTime()
    {
        Fleet fleet;
        fleet.setTerms(R"({"graceS":10,"budgetRatio":0.2,"budgetExtra":64,"maxShift":0.15})");
        fleet.setRouteTimeout(Milliseconds(9000));
        CPPUNIT_ASSERT(fleet.serve(1, {"t1"}));
        auto &target = *fleet.targets_[0];
        target.setFaults({.work_ = Milliseconds(6500)});
        auto &stopping = *fleet.instances_[0];
        const auto before = target.runCount();
        auto answer = std::async(std::launch::async, [&] {
            return fleet.send(stopping, "order", "o1", 9000);
        });
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return target.runCount() > before;
        }));
        stopping.process_->signal(SIGTERM);
        const auto received = answer.get();
        CPPUNIT_ASSERT(received && received->result() == status::ok);
        CPPUNIT_ASSERT_EQUAL(0, stopping.process_->wait(Milliseconds(6000)).value_or(-1));
    }

    // Guards against passing on requests late in the grace time and cutting them off at its end.
    void requestThatArrivesTooLateInTheGraceIsRefused()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(2, {"t1"}));
        auto &target = *fleet.targets_[0];
        target.setFaults({.work_ = Milliseconds(1400)});
        const auto before = target.runCount();
        const auto &stopping = *fleet.instances_[0];
        stopping.process_->signal(SIGTERM);
        const auto stoppedAt = std::chrono::steady_clock::now();
        std::this_thread::sleep_until(stoppedAt + Milliseconds(1900));
        Http::asio::io_context context;
        Http::tcp::socket caller(context);
        caller.connect(Http::endpointOf(stopping.entry()));
        Http::asio::write(
            caller, Http::asio::buffer(std::string("POST /order/7 HTTP/1.1\r\nHost: h.example\r\n"
                                                   "X-Cassiacrank-Request-Id: late\r\n"
                                                   "Content-Length: 4\r\n\r\nbo")));
        std::this_thread::sleep_until(stoppedAt + Milliseconds(4500));
        const auto sentAt = std::chrono::steady_clock::now();
        Http::asio::write(caller, Http::asio::buffer(std::string("dy")));
        Http::beast::flat_buffer buffer;
        Http::Response answer;
        Http::ErrorCode error;
        Http::http::read(caller, buffer, answer, error);
        CPPUNIT_ASSERT_MESSAGE(error.message(), !error);
        CPPUNIT_ASSERT_EQUAL(status::service_unavailable, answer.result());
        CPPUNIT_ASSERT_EQUAL(std::string("207"), std::string(answer["Cassiacrank-Code"]));
        CPPUNIT_ASSERT(answer.count(Http::http::field::retry_after) == 1);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - sentAt < Milliseconds(500));
        CPPUNIT_ASSERT_EQUAL(before, target.runCount());
        CPPUNIT_ASSERT_EQUAL(0, stopping.process_->wait(Milliseconds(6000)).value_or(-1));
    }

    // Guards against terms that stay as they were at the start until the next restart.
    void reloadAppliesChangedTerms()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1"}));
        auto &process = *fleet.instances_[0]->process_;
        const std::string path = fleet.directory() + "/" + fleet.instances_[0]->name_ + ".ini";
        std::ifstream file(path);
        std::string settings((std::istreambuf_iterator<char>(file)), {});
        const std::string stated = "graceS=6";
        settings.replace(settings.find(stated), stated.size(), "graceS=9");
        std::ofstream(path) << settings;
        process.signal(SIGHUP);
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, [&] {
            return process.log().find("stop_grace_ms=9000") != std::string::npos;
        }));
        CPPUNIT_ASSERT(fleet.send(*fleet.instances_[0], "order", "o1"));
    }

    // Guards against a failure exit code when a stop signal arrives during start-up.
    void stopSignalWhileStartingExitsCleanly()
    {
        Fleet fleet;
        fleet.configure(1);
        fleet.start(1);
        auto &process = *fleet.instances_[0]->process_;
        process.kill();
        const std::string path = fleet.directory() + "/" + fleet.instances_[0]->name_ + ".ini";
        std::ifstream file(path);
        const std::string settings((std::istreambuf_iterator<char>(file)), {});
        std::filesystem::remove(path);
        CPPUNIT_ASSERT_EQUAL(0, mkfifo(path.c_str(), S_IRUSR | S_IWUSR));
        process.start();
        {
            // Opening blocks until the process begins to read its settings.
            std::ofstream pipe(path);
            process.signal(SIGTERM);
            Harness::pause(Milliseconds(100));
            pipe << settings;
        }
        CPPUNIT_ASSERT_EQUAL(0, process.wait(Milliseconds(6000)).value_or(-1));
    }

    void killedInstanceIsRemovedFromLookups()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1"}));
        const std::string stoppedEntry = toText(fleet.instances_[0]->entry());
        const auto isInLookups = [&] {
            const auto named = fleet.lookUp(*fleet.instances_[2], "r");
            return std::find(named.begin(), named.end(), stoppedEntry) != named.end();
        };
        CPPUNIT_ASSERT(Harness::waitUntil(waitTimeout, isInLookups));
        fleet.instances_[0]->process_->kill();
        CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(7000), [&] {
            return !isInLookups();
        }));
        CPPUNIT_ASSERT(!fleet.lookUp(*fleet.instances_[2], "r").empty());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlannedStops);
