#include "LoadedTargets.h"

#include <Support/Property.h>
#include <algorithm>
#include <memory>
#include <random>

namespace {

using Fakes::InstanceFixture;
using Fakes::SimulatedRequest;
using Model::Milliseconds;

constexpr Milliseconds goal{400};
constexpr Milliseconds length{20000};
/// Objects of one kind of request, as many as the users' largest kind has.
constexpr std::uint64_t objects = 76;

/// Three regions with 2, 12 and 14 targets of six slots, and one entry in each region.
class UnevenSite
{
public:
    UnevenSite()
    {
        std::vector<Platform::StoredRow> list;
        int number = 0;
        for (const auto &[region, count] :
             std::vector<std::pair<std::string, int>>{{"r", 1}, {"s", 6}, {"t", 7}}) {
            for (const char *part : {"-a", "-b"}) {
                for (int i = 0; i < count; ++i) {
                    list.push_back(Fakes::target("t" + std::to_string(number++), "gauging",
                                                 region + part, 1, "ready", 0, 6));
                }
            }
        }
        for (const char *domain : {"r-a", "s-a", "t-a"}) {
            entries_.push_back(std::make_unique<InstanceFixture>(domain));
            entries_.back()->setOperatorRows(3, 1);
            entries_.back()->setTargetRows(2, list);
        }
    }

    std::vector<InstanceFixture *> entries() const
    {
        std::vector<InstanceFixture *> result;
        for (const auto &entry : entries_)
            result.push_back(entry.get());
        return result;
    }

private:
    std::vector<std::unique_ptr<InstanceFixture>> entries_;
};

/// Returns requests at random times for random objects, evenly spread over the regions, at \a
/// perSecond for all regions together. The result is the same in every run.
std::vector<SimulatedRequest> evenLoad(double perSecond)
{
    std::mt19937_64 random(17);
    std::vector<SimulatedRequest> requests;
    double at = 0;
    while (at < static_cast<double>(length.count())) {
        at += std::exponential_distribution<double>(perSecond / 1000)(random);
        SimulatedRequest request;
        request.at_ = Milliseconds(static_cast<long long>(at));
        request.entry_ = random() % 3;
        request.object_ = random() % objects;
        requests.push_back(request);
    }
    return requests;
}

class TestLoads : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLoads);
    CPPUNIT_TEST(callersOfASmallRegionAreServedLikeTheOthers);
    CPPUNIT_TEST(unresponsiveTargetCostsFewRequests);
    CPPUNIT_TEST(slowTargetLosesMostOfItsRequests);
    CPPUNIT_TEST(overloadIsRefusedAtOnceAndTheRestIsInTime);
    CPPUNIT_TEST(serviceThatLostTargetsRecoversFromABurst);
    CPPUNIT_TEST(secondaryOwnerTakesLoadOfAHotObjectInALargeFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    // A third of the callers is in a region with a fourteenth of the slots. 500 requests per second
    // of 144 ms fill 72 of 168 slots; served locally, the poor region's 12 slots would get 24 of
    // these. A remote target answers after 254 ms, within the goal of 400 ms.
    void callersOfASmallRegionAreServedLikeTheOthers()
    {
        const UnevenSite site;
        const auto requests = evenLoad(500);
        const auto results = Fakes::simulate(site.entries(), requests, {});
        std::vector<int> sent(3, 0);
        std::vector<int> served(3, 0);
        for (std::size_t i = requests.size() / 4; i < requests.size(); ++i) {
            const bool isServed = !results[i].isRefused_ && results[i].took_ <= goal;
            ++sent[requests[i].entry_];
            served[requests[i].entry_] += isServed ? 1 : 0;
        }
        std::vector<double> parts;
        for (std::size_t i = 0; i < 3; ++i)
            parts.push_back(served[i] / double(sent[i]));
        const std::string message = std::to_string(parts[0]) + " " + std::to_string(parts[1]) + " "
                                    + std::to_string(parts[2]);
        CPPUNIT_ASSERT_MESSAGE(message, *std::min_element(parts.begin(), parts.end()) > 0.85);
        CPPUNIT_ASSERT_MESSAGE(message, parts[0] > parts[2] - 0.08);
    }

    // Guards against requests that hang for seconds after a target lost power: it stops answering,
    // but its registration stays for a few seconds. This happens if a target is judged only by its
    // answers. The target owns about 6 of 76 objects, which is 13 of each region's 167 requests per
    // second; without detection by missing answers, all of them are lost during the 20 s.
    void unresponsiveTargetCostsFewRequests()
    {
        const UnevenSite site;
        const auto requests = evenLoad(400);
        Fakes::WorkModel model;
        model.unresponsive_ = {"t5"};
        const auto results = Fakes::simulate(site.entries(), requests, model);
        const auto lost = std::count_if(results.begin(), results.end(), [](const auto &result) {
            return result.isLost_;
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(lost), lost > 0 && lost < 90);
    }

    // A target takes five times as long for each request, as with a failing disk. With its usual
    // twelfth of its region's requests it would need twice its slots.
    void slowTargetLosesMostOfItsRequests()
    {
        const auto requests = evenLoad(400);
        const auto countOf = [&](const Fakes::WorkModel &model) {
            const UnevenSite site;
            const auto results = Fakes::simulate(site.entries(), requests, model);
            return std::count_if(results.begin(), results.end(), [](const auto &result) {
                return result.target_ == "t5";
            });
        };
        Fakes::WorkModel slow;
        slow.slowness_["t5"] = 5;
        const auto usual = countOf({});
        const auto now = countOf(slow);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(usual) + " " + std::to_string(now), now < usual / 2);
        CPPUNIT_ASSERT(now > 0);
    }

    // The load is twice the capacity: 168 slots serve 1166 warm requests of 144 ms per second.
    // Admitted requests must be useful: half of the load is served in time or slightly late, and no
    // answer takes longer than the caller waits.
    void overloadIsRefusedAtOnceAndTheRestIsInTime()
    {
        const UnevenSite site;
        const auto requests = evenLoad(2300);
        const auto results = Fakes::simulate(site.entries(), requests, {});
        const std::size_t from = requests.size() / 3;
        int refused = 0;
        int late = 0;
        for (std::size_t i = from; i < results.size(); ++i) {
            refused += results[i].isRefused_ ? 1 : 0;
            late += results[i].took_ > Milliseconds(1200) ? 1 : 0;
        }
        const double all = double(results.size() - from);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused / all), refused / all > 0.3);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(refused / all), refused / all < 0.65);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(late / all), late / all < 0.02);
        const double inTime = Fakes::servedWithin(results, from, results.size(), goal);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(inTime), inTime > 0.2);
    }

    // Guards against one request in eight being late long after a burst has ended, although there
    // are enough slots. A third of a service's targets left, and a burst sends requests off-owner.
    // Each of these evicts another object from a target that keeps twelve, and the evicted object
    // is loaded again later. This happens if an object sent to a target once is considered loaded
    // there forever, and if a cold load has the same cost however full the service is.
    // The load is 72 objects at eight targets of three slots, with 90 requests per second and 300
    // for three seconds. 90 per second of 192 ms take 17 of 24 slots; each target owns nine
    // objects, so that three off-owner ones fit in beside them. Without a cost for off-owner
    // requests, 0.87 are in time.
    void serviceThatLostTargetsRecoversFromABurst()
    {
        std::vector<Platform::StoredRow> list;
        int number = 0;
        for (const char *domain : {"r-a", "s-a", "s-b", "s-b", "t-a", "t-a", "t-b", "t-b"}) {
            list.push_back(
                Fakes::target("t" + std::to_string(number++), "gauging", domain, 1, "ready", 0, 3));
        }
        std::vector<std::unique_ptr<InstanceFixture>> entries;
        std::vector<InstanceFixture *> instances;
        for (const char *domain : {"r-a", "r-b", "s-a", "s-b", "t-a", "t-b"}) {
            entries.push_back(std::make_unique<InstanceFixture>(domain));
            entries.back()->setOperatorRows(3, 1);
            entries.back()->setTargetRows(2, list);
            instances.push_back(entries.back().get());
        }
        const auto requests = burst();
        Fakes::WorkModel model;
        model.warm_ = Milliseconds(192);
        model.cold_ = Milliseconds(640);
        model.objectCapacity_ = 12;
        const auto results = Fakes::simulate(instances, requests, model);
        const auto late = std::find_if(requests.begin(), requests.end(), [](const auto &request) {
            return request.at_ >= Milliseconds(12000);
        });
        const auto first = static_cast<std::size_t>(late - requests.begin());
        const double inTime
            = Fakes::servedWithin(results, first, results.size(), Milliseconds(500));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(inTime), inTime > 0.9);
    }

    // Guards against owners that stay full all day, where a request waits longer than its
    // processing takes, while secondary owners have free slots. In a fleet of 600 entries an object
    // is requested more often than its owner can serve, and each entry gets an answer from that
    // owner only every ten seconds. An entry that relies only on loads that a target reported to it
    // directly and recently considers all targets idle.
    // The load is 50 requests per second for one object and 80 for forty others, at 8 targets of
    // six slots with a processing time of 144 ms. An owner serves 41 per second.
    void secondaryOwnerTakesLoadOfAHotObjectInALargeFleet()
    {
        const double withExchange = inTimeWithAHotObject(Milliseconds(200));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(withExchange), withExchange > 0.9);
        const double withoutExchange = inTimeWithAHotObject(Milliseconds(0));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(withoutExchange),
                               withoutExchange < withExchange - 0.1);
    }

    static double inTimeWithAHotObject(Milliseconds exchangeInterval)
    {
        constexpr std::size_t fleet = 600;
        std::vector<Platform::StoredRow> list;
        for (int i = 0; i < 8; ++i) {
            list.push_back(
                Fakes::target("t" + std::to_string(i), "gauging", "r-a", 1, "ready", 0, 6));
        }
        std::vector<std::unique_ptr<InstanceFixture>> entries;
        std::vector<InstanceFixture *> instances;
        for (std::size_t i = 0; i < fleet; ++i) {
            entries.push_back(std::make_unique<InstanceFixture>(i % 2 == 0 ? "r-a" : "r-b"));
            entries.back()->setOperatorRows(3, 1);
            entries.back()->setTargetRows(2, list);
            instances.push_back(entries.back().get());
        }
        std::mt19937_64 random(29);
        std::vector<SimulatedRequest> requests;
        double at = 0;
        while (at < static_cast<double>(length.count())) {
            at += std::exponential_distribution<double>(0.13)(random);
            SimulatedRequest request;
            request.at_ = Milliseconds(static_cast<long long>(at));
            request.entry_ = random() % fleet;
            request.object_ = random() % 13 < 5 ? 0 : 1 + random() % 40;
            requests.push_back(request);
        }
        Fakes::WorkModel model;
        model.objectCapacity_ = 12;
        model.loadExchangeInterval_ = exchangeInterval;
        const auto results = Fakes::simulate(instances, requests, model);
        return Fakes::servedWithin(results, results.size() / 3, results.size(), goal);
    }

    /// Returns 90 requests per second from the callers of six entries, and 300 from 4 s to 7 s.
    /// Each region's callers request 24 objects of their own.
    static std::vector<SimulatedRequest> burst()
    {
        std::mt19937_64 random(23);
        std::vector<SimulatedRequest> requests;
        double at = 0;
        while (at < static_cast<double>(length.count())) {
            const bool isBurst = at >= 4000 && at < 7000;
            at += std::exponential_distribution<double>(isBurst ? 0.3 : 0.09)(random);
            SimulatedRequest request;
            request.at_ = Milliseconds(static_cast<long long>(at));
            request.entry_ = random() % 6;
            request.object_ = request.entry_ / 2 * 24 + random() % 24;
            requests.push_back(request);
        }
        return requests;
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestLoads);
