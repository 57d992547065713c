#include "Load.h"

#include <atomic>
#include <functional>
#include <thread>

namespace {

using Harness::Site;
using Http::http::verb;
using Model::Milliseconds;
using Model::SteadyTime;

/// After this time from the third crash under a request, the request crashes at most
/// maxCrashesAfterBound more targets.
constexpr Milliseconds quarantineBound{4000};
constexpr std::size_t maxCrashesAfterBound = 3;
constexpr Milliseconds sendInterval{250};
constexpr Milliseconds restartDelay{1500};

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

/// Restarts targets that crashed, and records when they crashed.
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
        isStopping_ = true;
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
        while (!isStopping_) {
            for (auto &target : site_.targets()) {
                auto &process = *target.process_;
                if (process.isRunning() && process.wait(Milliseconds(0))) {
                    endedAt[process.name()] = steadyNow();
                    const std::lock_guard lock(mutex_);
                    ends_.push_back(steadyNow());
                }
                const auto found = endedAt.find(process.name());
                if (found != endedAt.end() && steadyNow() - found->second > restartDelay) {
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
    std::atomic<bool> isStopping_{false};
    std::thread thread_;
};

/// A request that callers send repeatedly.
struct RequestOptions
{
    verb method_ = verb::get;
    std::string path_;
    std::string body_;
    bool hasKey_ = false;
};

class TestDaemonCrashes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDaemonCrashes);
    CPPUNIT_TEST(readThatCrashesTargetsIsQuarantinedEverywhere);
    CPPUNIT_TEST(keyedOrderWithALongBodyIsQuarantinedEverywhere);
    CPPUNIT_TEST_SUITE_END();

public:
    static std::optional<Http::Response> send(const Harness::SiteInstance &instance,
                                              const RequestOptions &what, const std::string &caller)
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

    static bool isRefusedAsQuarantined(const std::optional<Http::Response> &answer)
    {
        return field(answer, "Cassiacrank-Code") == "213";
    }

    /// Sends requests of other callers until \a isOver and returns the share that is served.
    static double measureServedShare(Site &site, const std::function<bool()> &isOver)
    {
        std::size_t sent = 0;
        std::size_t served = 0;
        for (std::size_t i = 0; !isOver(); ++i) {
            const auto &instance = site.instances()[i % site.instances().size()];
            const RequestOptions other{verb::get, "/gauging/tank/" + std::to_string(i % 40), "",
                                       false};
            const auto answer = send(instance, other, "pilot-" + std::to_string(i % 10));
            ++sent;
            served += field(answer, "Cassiacrank-Outcome") == "run" ? 1 : 0;
            Harness::pause(Milliseconds(20));
        }
        return static_cast<double>(served) / static_cast<double>(std::max<std::size_t>(1, sent));
    }

    static void assertQuarantined(const RequestOptions &what)
    {
        Harness::SiteOptions options;
        options.instances_ = 6;
        options.crashPath_ = "poison";
        Site site(options);
        site.start();
        Supervisor supervisor(site);
        const auto until = steadyNow() + Milliseconds(9000);
        double served = 0;
        std::thread others([&] {
            served = measureServedShare(site, [&] {
                return steadyNow() >= until;
            });
        });
        std::optional<Http::Response> last;
        Milliseconds slowest{0};
        for (std::size_t i = 0; steadyNow() < until; ++i) {
            const auto sentAt = steadyNow();
            last = send(site.instances()[i % site.instances().size()], what, "harbour");
            if (isRefusedAsQuarantined(last)) {
                const auto took = steadyNow() - sentAt;
                slowest = std::max(slowest, std::chrono::duration_cast<Milliseconds>(took));
            }
            Harness::pause(sendInterval);
        }
        others.join();
        const auto ends = supervisor.ends();
        const auto after = std::count_if(ends.begin(), ends.end(), [&](SteadyTime time) {
            return ends.size() >= 3 && time > ends[2] + quarantineBound;
        });
        const std::string seen = std::to_string(ends.size()) + " ended, " + std::to_string(after)
                                 + " of them after the bound, others served "
                                 + std::to_string(served) + ", slowest refusal "
                                 + std::to_string(slowest.count()) + " ms";
        CPPUNIT_ASSERT_MESSAGE(seen, ends.size() >= 3);
        CPPUNIT_ASSERT_MESSAGE(seen, static_cast<std::size_t>(after) <= maxCrashesAfterBound);
        CPPUNIT_ASSERT_MESSAGE(seen, served >= 0.95);
        CPPUNIT_ASSERT_MESSAGE(seen, isRefusedAsQuarantined(last));
        CPPUNIT_ASSERT_EQUAL(std::string("not-run"), field(last, "Cassiacrank-Outcome"));
        CPPUNIT_ASSERT(!field(last, "Retry-After").empty());
        assertFreshInstanceLoadsQuarantine(site, what);
        assertOperatorsCanRelease(site);
    }

    static void assertFreshInstanceLoadsQuarantine(Site &site, const RequestOptions &what)
    {
        auto &fresh = site.instances()[1];
        CPPUNIT_ASSERT(site.stopInstance(fresh, Milliseconds(20000)));
        site.startInstance(fresh);
        CPPUNIT_ASSERT(site.waitUntilServing(fresh, Milliseconds(20000)));
        CPPUNIT_ASSERT(isRefusedAsQuarantined(send(fresh, what, "harbour")));
    }

    static Model::Address adminOf(const Harness::SiteInstance &instance)
    {
        return {instance.host_, 7006};
    }

    static void assertOperatorsCanRelease(Site &site)
    {
        const auto listAt = [&](const Harness::SiteInstance &instance) {
            const auto listed = Harness::getJson(adminOf(instance), "/quarantines");
            return listed ? listed->at("quarantined") : nlohmann::json::array();
        };
        const auto quarantined = listAt(site.instances()[0]);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), quarantined.size());
        const auto fingerprint = quarantined.at(0).at("print").get<std::string>();
        const std::string ask = "--ask=" + toText(adminOf(site.instances()[0]));
        std::string listed;
        CPPUNIT_ASSERT_EQUAL(0, site.tablectl({"quarantines", ask}, &listed));
        CPPUNIT_ASSERT_MESSAGE(listed, listed.find(fingerprint) != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(0, site.tablectl({"lift", fingerprint, ask}));
        CPPUNIT_ASSERT_EQUAL(1, site.tablectl({"lift", fingerprint, ask}));
        CPPUNIT_ASSERT_EQUAL(1, site.tablectl({"lift", "none", ask}));
        for (const auto &instance : site.instances()) {
            CPPUNIT_ASSERT(Harness::waitUntil(Milliseconds(5000), [&] {
                return listAt(instance).empty();
            }));
        }
    }

    // Guards against daemons that retry a poison request on one target after another.
    void readThatCrashesTargetsIsQuarantinedEverywhere()
    {
        assertQuarantined({verb::get, "/gauging/poison", "", false});
    }

    void keyedOrderWithALongBodyIsQuarantinedEverywhere()
    {
        assertQuarantined({verb::post, "/transfers/poison", std::string(200 * 1024, 'x'), true});
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestDaemonCrashes);
