#include "Load.h"

#include <atomic>
#include <functional>
#include <thread>

namespace {

using Harness::Site;
using Http::http::verb;
using Model::Milliseconds;
using Model::SteadyTime;

/// So long after the third target ended under a request it reaches targets no more often than this.
constexpr Milliseconds knownWithin{4000};
constexpr std::size_t mostAfter = 3;
constexpr Milliseconds pauseBetween{250};
constexpr Milliseconds backAfter{1500};

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

/// Starts targets that ended again, and remembers when they did.
class Supervisor
{
public:
    explicit Supervisor(Site &site)
        : site_(site)
        , thread_([this] {
            run();
        })
    {
    }
    ~Supervisor()
    {
        isOver_ = true;
        thread_.join();
    }
    Supervisor(const Supervisor &) = delete;
    Supervisor &operator=(const Supervisor &) = delete;

    std::vector<SteadyTime> ends()
    {
        const std::lock_guard lock(mutex_);
        return ends_;
    }

private:
    void run()
    {
        std::map<std::string, SteadyTime> endedAt;
        while (!isOver_) {
            for (auto &target : site_.targets()) {
                auto &process = *target.process_;
                if (process.isRunning() && process.wait(Milliseconds(0))) {
                    endedAt[process.name()] = steadyNow();
                    const std::lock_guard lock(mutex_);
                    ends_.push_back(steadyNow());
                }
                const auto found = endedAt.find(process.name());
                if (found != endedAt.end() && steadyNow() - found->second > backAfter) {
                    endedAt.erase(found);
                    process.start();
                }
            }
            Harness::pause(Milliseconds(20));
        }
    }

    Site &site_;
    std::mutex mutex_;
    std::vector<SteadyTime> ends_;
    std::atomic<bool> isOver_{false};
    std::thread thread_;
};

/// What callers send again and again.
struct Repeated
{
    verb method_ = verb::get;
    std::string path_;
    std::string body_;
    bool hasKey_ = false;
};

class TestDaemonCrashes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDaemonCrashes);
    CPPUNIT_TEST(readThatEndsTargetsIsKeptFromThemEverywhere);
    CPPUNIT_TEST(keyedOrderWithALongBodyIsKeptFromThemEverywhere);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::optional<Http::Response> send(const Harness::SiteInstance &instance,
                                              const Repeated &what, const std::string &caller)
    {
        static std::atomic<int> number{0};
        Http::SimpleRequest request;
        request.address_ = instance.row_.addresses_.entry_;
        request.method_ = what.method_;
        request.target_ = what.path_;
        request.body_ = what.body_;
        request.fields_ = {{"Caller", caller}, {"Request-Timeout-Ms", "1500"}};
        if (what.hasKey_) {
            request.fields_.emplace_back("Idempotency-Key", "key-" + std::to_string(++number));
            request.fields_.emplace_back("Request-Attempt", "1");
        }
        return Http::sendAndWait(request);
    }

    static std::string field(const std::optional<Http::Response> &answer, const char *name)
    {
        return answer ? std::string((*answer)[name]) : "";
    }

    static bool isKept(const std::optional<Http::Response> &answer)
    {
        return field(answer, "Cassiacrank-Code") == "213";
    }

    /// Whether requests of other callers are served meanwhile.
    static double partServed(Site &site, const std::function<bool()> &isOver)
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (std::size_t i = 0; !isOver(); ++i) {
            const auto &instance = site.instances()[i % site.instances().size()];
            const Repeated other{verb::get, "/gauging/tank/" + std::to_string(i % 40), "", false};
            const auto answer = send(instance, other, "pilot-" + std::to_string(i % 10));
            ++sent;
            served += field(answer, "Cassiacrank-Outcome") == "run" ? 1 : 0;
            Harness::pause(Milliseconds(20));
        }
        return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(1, sent));
    }

    static void assertKeptFromTargets(const Repeated &what)
    {
        Harness::SiteOptions options;
        options.instances_ = 6;
        options.endUnder_ = "poison";
        Site site(options);
        site.start();
        Supervisor supervisor(site);
        const auto until = steadyNow() + Milliseconds(9000);
        double served = 0;
        std::thread others([&] {
            served = partServed(site, [&] {
                return steadyNow() >= until;
            });
        });
        std::optional<Http::Response> last;
        Milliseconds slowest{0};
        for (std::size_t i = 0; steadyNow() < until; ++i) {
            const auto sentAt = steadyNow();
            last = send(site.instances()[i % site.instances().size()], what, "harbour");
            if (isKept(last)) {
                const auto took = steadyNow() - sentAt;
                slowest = std::max(slowest, std::chrono::duration_cast<Milliseconds>(took));
            }
            Harness::pause(pauseBetween);
        }
        others.join();
        const auto ends = supervisor.ends();
        const auto after = std::count_if(ends.begin(), ends.end(), [&](SteadyTime time) {
            return ends.size() >= 3 && time > ends[2] + knownWithin;
        });
        const std::string seen = std::to_string(ends.size()) + " ended, " + std::to_string(after)
                                 + " of them too late, others served " + std::to_string(served)
                                 + ", slowest refusal " + std::to_string(slowest.count()) + " ms";
        CPPUNIT_ASSERT_MESSAGE(seen, ends.size() >= 3);
        CPPUNIT_ASSERT_MESSAGE(seen, static_cast<std::size_t>(after) <= mostAfter);
        CPPUNIT_ASSERT_MESSAGE(seen, served >= 0.95);
        CPPUNIT_ASSERT_MESSAGE(seen, isKept(last));
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), field(last, "Cassiacrank-Outcome"));
        CPPUNIT_ASSERT(!field(last, "Retry-After").empty());
        assertFreshInstanceKnows(site, what);
        assertOperatorsCanLift(site);
    }

    static void assertFreshInstanceKnows(Site &site, const Repeated &what)
    {
        auto &fresh = site.instances()[1];
        CPPUNIT_ASSERT(site.stopInstance(fresh, Milliseconds(20000)));
        site.startInstance(fresh);
        CPPUNIT_ASSERT(site.waitUntilServing(fresh, Milliseconds(20000)));
        CPPUNIT_ASSERT(isKept(send(fresh, what, "harbour")));
    }

    static Model::Address adminOf(const Harness::SiteInstance &instance)
    {
        return {instance.host_, 7006};
    }

    static void assertOperatorsCanLift(Site &site)
    {
        const auto listAt = [&](const Harness::SiteInstance &instance) {
            const auto listed = Harness::getJson(adminOf(instance), "/quarantines");
            return listed ? listed->at("quarantined") : nlohmann::json::array();
        };
        const auto quarantined = listAt(site.instances()[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), quarantined.size());
        const auto print = quarantined.at(0).at("print").get<std::string>();
        const std::string ask = "--ask=" + toText(adminOf(site.instances()[0]));
        std::string listed;
        CPPUNIT_ASSERT_EQUAL(0, site.tablectl({"quarantines", ask}, &listed));
        CPPUNIT_ASSERT_MESSAGE(listed, listed.find(print) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, site.tablectl({"lift", print, ask}));
        CPPUNIT_ASSERT_EQUAL(1, site.tablectl({"lift", print, ask}));
        CPPUNIT_ASSERT_EQUAL(1, site.tablectl({"lift", "none", ask}));
        for (const auto &instance : site.instances()) {
            CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(5000), [&] {
                return listAt(instance).empty();
            }));
        }
    }

    // Guards against daemons that send a request under which targets end to one after the other.
    void readThatEndsTargetsIsKeptFromThemEverywhere()
    {
        assertKeptFromTargets({verb::get, "/gauging/poison", "", false});
    }

    void keyedOrderWithALongBodyIsKeptFromThemEverywhere()
    {
        assertKeptFromTargets(
            {verb::post, "/transfers/poison", std::string(200 * 1024, 'x'), true});
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestDaemonCrashes);
