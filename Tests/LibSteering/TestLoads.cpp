#include "LoadedTargets.h"

#include <Support/Property.h>
#include <algorithm>
#include <memory>
#include <random>

namespace {

using Fakes::Brain;
using Fakes::PlayedRequest;
using Model::Milliseconds;

constexpr Milliseconds goal{400};
constexpr Milliseconds length{20000};
/// Objects of one kind of request, as many as our users' largest.
constexpr std::uint64_t objects = 76;

/// Three regions with 2, 12 and 14 targets of six slots, an entry in each region.
class LopsidedSite
{
public:
    LopsidedSite()
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
            entries_.push_back(std::make_unique<Brain>(domain));
            entries_.back()->tellOperators(3, 1);
            entries_.back()->tellTargets(2, list);
        }
    }

    std::vector<Brain *> entries() const
    {
        std::vector<Brain *> result;
        for (const auto &entry : entries_)
            result.push_back(entry.get());
        return result;
    }

private:
    std::vector<std::unique_ptr<Brain>> entries_;
};

/// Requests at random moments and for random objects, as many from each region; \a perSecond of
/// all regions together. The same in every run.
std::vector<PlayedRequest> evenLoad(double perSecond)
{
    std::mt19937_64 random(17);
    std::vector<PlayedRequest> requests;
    double at = 0;
    while (at < static_cast<double>(length.count())) {
        at += std::exponential_distribution<double>(perSecond / 1000)(random);
        PlayedRequest request;
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
    CPPUNIT_TEST(callersOfThePoorRegionFareLikeTheOthers);
    CPPUNIT_TEST(darkTargetCostsFewRequests);
    CPPUNIT_TEST(slowTargetLosesMostOfItsRequests);
    CPPUNIT_TEST(overloadIsRefusedAtOnceAndTheRestIsInTime);
    CPPUNIT_TEST(serviceThatLostTargetsRecoversFromABurst);
    CPPUNIT_TEST(ownerOfWhatAllAskForIsRelievedInALargeFleet);
    CPPUNIT_TEST_SUITE_END();

public:
    // Pattern: a third of the callers in a region with a fourteenth of the slots.
    // Grounds: 500 requests a second of 144 ms fill 72 of 168 slots; the poor region's own 12 would
    // get 24 of them. A far target answers after 254 ms, inside the goal of 400.
    void callersOfThePoorRegionFareLikeTheOthers()
    {
        const LopsidedSite site;
        const auto requests = evenLoad(500);
        const auto results = Fakes::play(site.entries(), requests, {});
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

    // Symptom: after a target lost power, a part of all requests hangs for seconds.
    // Sequence: it answers nothing any more; its registration stays for a few seconds.
    // Cause: learning of a target only from its answers.
    // Grounds: it owns some six of 76 objects, 13 requests a second of each region's 167; without
    // the judgement by silence all of them would be lost in 20 s.
    void darkTargetCostsFewRequests()
    {
        const LopsidedSite site;
        const auto requests = evenLoad(400);
        Fakes::WorkModel model;
        model.dark_ = {"t5"};
        const auto results = Fakes::play(site.entries(), requests, model);
        const auto lost = std::count_if(results.begin(), results.end(), [](const auto &result) {
            return result.isLost_;
        });
        CPPUNIT_ASSERT_MESSAGE(std::to_string(lost), lost > 0 && lost < 90);
    }

    // Pattern: a target that works five times as long, as with a failing disk.
    // Grounds: at its usual part of a twelfth of its region's requests it would need twice its
    // slots.
    void slowTargetLosesMostOfItsRequests()
    {
        const auto requests = evenLoad(400);
        const auto countOf = [&](const Fakes::WorkModel &model) {
            const LopsidedSite site;
            const auto results = Fakes::play(site.entries(), requests, model);
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

    // Pattern: twice the requests that all slots carry.
    // Grounds: 168 slots do 1166 warm requests of 144 ms in a second. What is taken must be of use:
    // half of the load is served in time or a little late, and no answer takes as long as the
    // caller waits.
    void overloadIsRefusedAtOnceAndTheRestIsInTime()
    {
        const LopsidedSite site;
        const auto requests = evenLoad(2300);
        const auto results = Fakes::play(site.entries(), requests, {});
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

    // Symptom: one request in eight is late long after a burst has gone, though the slots would do.
    // Sequence: a third of a service's targets left; a burst makes requests stray; each stray
    // pushes another object out of a target that keeps twelve, and that one is loaded again later.
    // Cause: what was sent somewhere once is taken to be there for ever, and a load costs the same
    // however full the service is.
    // Pattern: 72 objects at eight targets of three slots, 90 requests a second and for three
    // seconds 300. Grounds: 90 a second of 192 ms take 17 of 24 slots; each target is the owner of
    // nine objects, so three strays fit in beside them. 0.87 were in time with free strays.
    void serviceThatLostTargetsRecoversFromABurst()
    {
        std::vector<Platform::StoredRow> list;
        int number = 0;
        for (const char *domain : {"r-a", "s-a", "s-b", "s-b", "t-a", "t-a", "t-b", "t-b"}) {
            list.push_back(
                Fakes::target("t" + std::to_string(number++), "gauging", domain, 1, "ready", 0, 3));
        }
        std::vector<std::unique_ptr<Brain>> entries;
        std::vector<Brain *> brains;
        for (const char *domain : {"r-a", "r-b", "s-a", "s-b", "t-a", "t-b"}) {
            entries.push_back(std::make_unique<Brain>(domain));
            entries.back()->tellOperators(3, 1);
            entries.back()->tellTargets(2, list);
            brains.push_back(entries.back().get());
        }
        const auto requests = burst();
        Fakes::WorkModel model;
        model.warm_ = Milliseconds(192);
        model.cold_ = Milliseconds(640);
        model.keeps_ = 12;
        const auto results = Fakes::play(brains, requests, model);
        const auto late = std::find_if(requests.begin(), requests.end(), [](const auto &request) {
            return request.at_ >= Milliseconds(12000);
        });
        const auto first = static_cast<std::size_t>(late - requests.begin());
        const double inTime
            = Fakes::servedWithin(results, first, results.size(), Milliseconds(500));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(inTime), inTime > 0.9);
    }

    // Symptom: some owners are full all day, and a request waits there for longer than it works
    //   while second owners have free slots.
    // Sequence: none; in a fleet of 600 entries an object is asked for more often than its owner
    // can
    //   serve, and each entry hears from that one every ten seconds.
    // Cause: an entry that believes only what a target told it, and that lately, takes all for
    // idle. Pattern: 8 targets of six slots, work of 144 ms; 50 requests a second for one object,
    // 80 for
    //   forty others. An owner serves 41 a second.
    void ownerOfWhatAllAskForIsRelievedInALargeFleet()
    {
        const double told = inTimeWithAHotObject(Milliseconds(200));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(told), told > 0.9);
        const double untold = inTimeWithAHotObject(Milliseconds(0));
        CPPUNIT_ASSERT_MESSAGE(std::to_string(untold), untold < told - 0.1);
    }

    static double inTimeWithAHotObject(Milliseconds newsPause)
    {
        constexpr std::size_t fleet = 600;
        std::vector<Platform::StoredRow> list;
        for (int i = 0; i < 8; ++i) {
            list.push_back(
                Fakes::target("t" + std::to_string(i), "gauging", "r-a", 1, "ready", 0, 6));
        }
        std::vector<std::unique_ptr<Brain>> entries;
        std::vector<Brain *> brains;
        for (std::size_t i = 0; i < fleet; ++i) {
            entries.push_back(std::make_unique<Brain>(i % 2 == 0 ? "r-a" : "r-b"));
            entries.back()->tellOperators(3, 1);
            entries.back()->tellTargets(2, list);
            brains.push_back(entries.back().get());
        }
        std::mt19937_64 random(29);
        std::vector<PlayedRequest> requests;
        double at = 0;
        while (at < static_cast<double>(length.count())) {
            at += std::exponential_distribution<double>(0.13)(random);
            PlayedRequest request;
            request.at_ = Milliseconds(static_cast<long long>(at));
            request.entry_ = random() % fleet;
            request.object_ = random() % 13 < 5 ? 0 : 1 + random() % 40;
            requests.push_back(request);
        }
        Fakes::WorkModel model;
        model.keeps_ = 12;
        model.newsPause_ = newsPause;
        const auto results = Fakes::play(brains, requests, model);
        return Fakes::servedWithin(results, results.size() / 3, results.size(), goal);
    }

    /// 90 requests a second of six entries' callers, 300 from 4 s to 7 s; each
    /// region's callers ask for 24 objects of their own.
    static std::vector<PlayedRequest> burst()
    {
        std::mt19937_64 random(23);
        std::vector<PlayedRequest> requests;
        double at = 0;
        while (at < static_cast<double>(length.count())) {
            const bool isBurst = at >= 4000 && at < 7000;
            at += std::exponential_distribution<double>(isBurst ? 0.3 : 0.09)(random);
            PlayedRequest request;
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
