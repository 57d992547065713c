#include "Fleet.h"

#include <Support/Property.h>
#include <algorithm>
#include <atomic>
#include <thread>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Arrival;
using PlatformStandIns::Fleet;
using PlatformStandIns::FleetInstance;

/// The platform's terms: from this time after a target asked for a pause until its end, at most so
/// many requests reach it from the instance that it told.
constexpr Milliseconds requestsOnTheWay{500};
constexpr std::size_t maxRequestsInAPause = 2;

/// Requests for many objects through every instance, until the end of this object's lifetime.
class Callers
{
public:
    explicit Callers(Fleet &fleet)
    {
        for (const auto &instance : fleet.instances_) {
            threads_.emplace_back([this, &fleet, &instance] {
                for (int i = 0; !isOver_; ++i) {
                    const std::string id = instance->name_ + "/" + std::to_string(i);
                    const auto answer = fleet.send(*instance, i % 3 == 0 ? "order" : "read", id,
                                                   1000, std::to_string(i % 97));
                    ++sent_;
                    served_ += answer && answer->result() == status::ok ? 1 : 0;
                    Harness::pause(Milliseconds(10));
                }
            });
        }
    }
    ~Callers()
    {
        isOver_ = true;
        for (auto &thread : threads_)
            thread.join();
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    int sent() const { return sent_; }
    int served() const { return served_; }

private:
    std::atomic<bool> isOver_ = false;
    std::atomic<int> sent_ = 0;
    std::atomic<int> served_ = 0;
    std::vector<std::thread> threads_;
};

/// Returns the most requests that reached a target from one instance within the part of a pause in
/// which the platform counts them. Each of \a refusals asked for a pause of \a pause.
std::size_t mostInAPause(const std::vector<Arrival> &refusals, Milliseconds pause)
{
    std::map<std::string, std::vector<Model::SteadyTime>> byInstance;
    for (const auto &refusal : refusals)
        byInstance[refusal.request_.substr(0, refusal.request_.find('/'))].push_back(refusal.at_);
    std::size_t most = 0;
    for (const auto &[instance, times] : byInstance) {
        for (const auto asked : times) {
            const auto inPause = std::count_if(times.begin(), times.end(), [&](const auto time) {
                return time > asked + requestsOnTheWay && time < asked + pause;
            });
            most = std::max(most, static_cast<std::size_t>(inPause));
        }
    }
    return most;
}

class TestTargetPauses : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestTargetPauses);
    CPPUNIT_TEST(pausingTargetGetsNoRequestsFromInstancesThatItTold);
    CPPUNIT_TEST(pausesOfSeveralTargetsHoldWithFractions);
    CPPUNIT_TEST(callersAreToldTheSoonestEndWhereAllTargetsPause);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against instances that go on sending requests to a target that has asked them for a
    // pause, once and again after it, and against a target that gets none after its pauses.
    void pausingTargetGetsNoRequestsFromInstancesThatItTold()
    {
        constexpr Milliseconds pause{2000};
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(6, {"t1", "t2", "t3"}));
        auto &target = *fleet.targets_[0];
        const Callers callers(fleet);
        Harness::pause(Milliseconds(500));
        target.setFaults({.isShedding_ = true, .retryAfter_ = "2"});
        Harness::pause(2 * pause + requestsOnTheWay);
        const auto refusals = target.takeRefusals();
        CPPUNIT_ASSERT(refusals.size() >= fleet.instances_.size());
        const std::size_t most = mostInAPause(refusals, pause);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in a pause",
                               most <= maxRequestsInAPause);
        target.setFaults({});
        target.takeArrivals();
        CPPUNIT_ASSERT(Harness::waitUntil(pause + Milliseconds(2000), [&] {
            return target.runCount() > 0 && !target.takeArrivals().empty();
        }));
    }

    // Guards against pauses that are cut off to whole seconds or forgotten while further targets
    // ask for others.
    void pausesOfSeveralTargetsHoldWithFractions()
    {
        constexpr Milliseconds pause{1800};
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(4, {"t1", "t2", "t3", "t4", "t5"}));
        const Callers callers(fleet);
        Harness::pause(Milliseconds(500));
        std::size_t most = 0;
        for (std::size_t i = 0; i < 3; ++i) {
            fleet.targets_[i]->setFaults({.isShedding_ = true, .retryAfter_ = "1.8"});
            Harness::pause(Milliseconds(300));
        }
        Harness::pause(2 * pause);
        for (std::size_t i = 0; i < 3; ++i)
            most = std::max(most, mostInAPause(fleet.targets_[i]->takeRefusals(), pause));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(most) + " requests in a pause",
                               most <= maxRequestsInAPause);
    }

    // Guards against callers who are held, or told to come back before any target takes a request,
    // where all targets have asked for pauses.
    void callersAreToldTheSoonestEndWhereAllTargetsPause()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(1, {"t1", "t2"}));
        const auto &instance = *fleet.instances_.front();
        fleet.targets_[0]->setFaults({.isShedding_ = true, .retryAfter_ = "30"});
        fleet.targets_[1]->setFaults({.isShedding_ = true, .retryAfter_ = "20.5"});
        const auto hasRefused = [&](std::size_t target) {
            return !fleet.targets_[target]->takeRefusals().empty();
        };
        int sent = 0;
        for (const std::size_t target : {std::size_t(0), std::size_t(1)}) {
            CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(10000), [&] {
                const std::string number = std::to_string(++sent);
                fleet.send(instance, "read", "w" + number, 1000, number);
                return hasRefused(target);
            }));
        }
        const auto begun = std::chrono::steady_clock::now();
        const auto answer = fleet.send(instance, "order", "last", 1000);
        const auto took = std::chrono::steady_clock::now() - begun;
        CPPUNIT_ASSERT(answer && answer->result() == status::service_unavailable);
        CPPUNIT_ASSERT(took < Milliseconds(500));
        const double delay = std::stod("0" + std::string((*answer)["Retry-After"]));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(delay), delay > 10 && delay <= 21);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestTargetPauses);
