#include "FakePlatform.h"

#include <Support/Property.h>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <unistd.h>

namespace {

using Fakes::InstanceFixture;
using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;

/// A monitor of an instance in r-a whose region has one target with four slots, at which a request
/// takes 100 ms: 40 requests a second. The log goes to a file.
struct MonitorFixture
{
    explicit MonitorFixture(bool isOn)
        : log_(openLog())
        , monitor_(instance_.settings_, instance_.platformState_, instance_.targetRegistry_,
                   instance_.placementEngine_, log_, isOn)
    {
        instance_.setOperatorRows(3, 1);
        // The target in s-a is not of the region.
        instance_.setTargetRows(
            2, {Fakes::target("a", "gauging", "r-a", 2), Fakes::target("b", "gauging", "s-a", 2)});
        Steering::Placement placement;
        placement.target_ = instance_.targetRegistry_.all().at(Model::TargetId("a"));
        const auto roundTrip = instance_.placementEngine_.roundTripTo(*placement.target_);
        instance_.placementEngine_.noteAnswer(request(), placement,
                                              roundTrip + Microseconds(100000), instance_.now_);
    }

    ~MonitorFixture()
    {
        close(descriptor_);
        unlink(path_.data());
    }
    MonitorFixture(const MonitorFixture &) = delete;
    MonitorFixture &operator=(const MonitorFixture &) = delete;

    int openLog()
    {
        descriptor_ = mkstemp(path_.data());
        return descriptor_;
    }

    std::string logText()
    {
        log_.flush();
        std::ifstream file(path_);
        return {std::istreambuf_iterator<char>(file), {}};
    }

    Steering::RequestContext request() const { return Fakes::requestContext(instance_, "read", 5); }

    /// Sends \a rate requests a second and returns how many are refused.
    int run(Milliseconds duration, int rate, std::size_t entries = 1)
    {
        int refused = 0;
        const Microseconds step(1000000 / rate);
        auto nextTick = instance_.now_;
        for (Microseconds at{0}; at < duration; at += step, instance_.now_ += step) {
            const auto refusal = monitor_.check(request(), instance_.now_);
            refused += refusal ? 1 : 0;
            if (refusal)
                lastRefusal_ = *refusal;
            if (instance_.now_ < nextTick)
                continue;
            monitor_.update(entries, instance_.now_);
            nextTick += Policy::tickPeriod;
        }
        return refused;
    }

    bool isShort() const
    {
        const auto &services = monitor_.services();
        const auto found = services.find(Model::ServiceId("gauging"));
        return found != services.end() && found->second.isShort_;
    }

    std::string path_ = "/tmp/shortage-monitor-XXXXXX";
    int descriptor_ = -1;
    InstanceFixture instance_{"r-a"};
    Observe::DecisionLog log_;
    Steering::ShortageMonitor monitor_;
    Steering::Refusal lastRefusal_;
};

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++count;
    return count;
}

class TestShortageMonitor : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestShortageMonitor);
    CPPUNIT_TEST(anExcessIsRefusedAndLoggedOnce);
    CPPUNIT_TEST(nothingIsCountedOrSentWhereItIsOff);
    CPPUNIT_TEST(demandOfPeersBeginsAShortage);
    CPPUNIT_TEST(aRequestThatWouldBeLateIsRefusedAsLate);
    CPPUNIT_TEST(theDispatcherRefusesWithoutAskingATarget);
    CPPUNIT_TEST(demandStaysInTheRegion);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a state that does not follow from the instance's own requests and slots, and
    // against a line in the log for each request.
    void anExcessIsRefusedAndLoggedOnce()
    {
        MonitorFixture fixture(true);
        CPPUNIT_ASSERT_EQUAL(0, fixture.run(Milliseconds(5000), 30));
        CPPUNIT_ASSERT(fixture.logText().empty());
        fixture.run(Milliseconds(3000), 80);
        CPPUNIT_ASSERT(fixture.isShort());
        const int refused = fixture.run(Milliseconds(10000), 80);
        CPPUNIT_ASSERT_DOUBLES_EQUAL(800 - 0.95 * 400, refused, 16);
        CPPUNIT_ASSERT(fixture.lastRefusal_.code_ == Model::ResultCode::OverCapacity);
        CPPUNIT_ASSERT(fixture.lastRefusal_.retryAfter_.count() > 0);
        fixture.run(Milliseconds(10000), 20);
        CPPUNIT_ASSERT(!fixture.isShort());
        const auto log = fixture.logText();
        CPPUNIT_ASSERT_EQUAL_MESSAGE(log, std::size_t(1), countOf(log, "ShortageBegan"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(log, std::size_t(1), countOf(log, "ShortageEnded"));
        CPPUNIT_ASSERT_MESSAGE(log, log.find("slots=4.00") != std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(log, log.find("service=gauging") != std::string::npos);
    }

    // Guards against other behaviour than before in deployments that do not call for it.
    void nothingIsCountedOrSentWhereItIsOff()
    {
        MonitorFixture fixture(false);
        CPPUNIT_ASSERT_EQUAL(0, fixture.run(Milliseconds(5000), 400));
        fixture.monitor_.receiveDemand({}, Model::InstanceId("peer"), fixture.instance_.now_);
        CPPUNIT_ASSERT(fixture.monitor_.services().empty());
        CPPUNIT_ASSERT(!fixture.monitor_.demandToSend(fixture.instance_.now_));
        CPPUNIT_ASSERT(fixture.logText().empty());
    }

    // Guards against an instance with few requests that admits all of them in its region's
    // shortage.
    void demandOfPeersBeginsAShortage()
    {
        MonitorFixture busy(true);
        MonitorFixture calm(true);
        busy.run(Milliseconds(3000), 100);
        calm.run(Milliseconds(3000), 10, 2);
        CPPUNIT_ASSERT(!calm.isShort());
        for (int i = 0; i < 10; ++i) {
            busy.run(Milliseconds(300), 100);
            const auto items = busy.monitor_.demandToSend(busy.instance_.now_);
            CPPUNIT_ASSERT_EQUAL(std::size_t(1), items->size());
            CPPUNIT_ASSERT_EQUAL(2, items->front().rank_);
            calm.monitor_.receiveDemand(*items, Model::InstanceId("busy"), calm.instance_.now_);
            calm.run(Milliseconds(300), 10, 2);
        }
        CPPUNIT_ASSERT(calm.isShort());
        calm.run(Milliseconds(6000), 10, 2);
        CPPUNIT_ASSERT(!calm.isShort());
    }

    // Guards against a refusal that hides from the caller that its time was too short.
    void aRequestThatWouldBeLateIsRefusedAsLate()
    {
        MonitorFixture fixture(true);
        fixture.run(Milliseconds(3000), 100);
        auto request = fixture.request();
        request.deadline_ = fixture.instance_.now_ + Milliseconds(90);
        const auto refusal = fixture.monitor_.check(request, fixture.instance_.now_);
        CPPUNIT_ASSERT(refusal && refusal->code_ == Model::ResultCode::WouldBeLate);
    }

    // Guards against requests that are sent although the shortage refuses them.
    void theDispatcherRefusesWithoutAskingATarget()
    {
        MonitorFixture fixture(true);
        InstanceFixture &instance = fixture.instance_;
        // The dispatcher reads the clock.
        instance.now_ = std::chrono::steady_clock::now() - Milliseconds(3000);
        fixture.run(Milliseconds(3000), 400);
        CPPUNIT_ASSERT(fixture.isShort());

        Http::asio::io_context context;
        Steering::CrashGuard guard(instance.port_, instance.log_);
        guard.setInformed();
        Steering::PeerExchange peers(context, instance.settings_, instance.platformState_,
                                     instance.log_);
        Steering::QuotaExchange quotas(context, instance.settings_, instance.platformState_, peers,
                                       instance.log_);
        Steering::Dispatcher dispatcher(context, instance.port_, instance.platformState_,
                                        instance.placementEngine_, instance.reach_, guard, quotas,
                                        instance.log_);
        dispatcher.setShortageMonitor(fixture.monitor_);
        Http::IncomingRequest incoming;
        incoming.message_ = Http::Request(Http::http::verb::get, "/read/x", 11);
        incoming.message_.set(Http::http::field::host, "h");
        incoming.message_.set("Id", "1");
        incoming.arrivedAt_ = std::chrono::steady_clock::now();
        incoming.hasPeerClosed_ = [] {
            return false;
        };
        // A tenth is admitted, so one of two requests in series is refused.
        std::vector<Http::Response> answers;
        for (int i = 0; i < 2 && answers.empty(); ++i) {
            Http::asio::co_spawn(
                context,
                [&dispatcher, &answers, request = incoming]() -> Http::Task<void> {
                    answers.push_back(co_await dispatcher.answer(request));
                },
                Http::asio::detached);
            context.poll();
        }
        CPPUNIT_ASSERT(!answers.empty());
        CPPUNIT_ASSERT(answers.front().result() == Http::http::status::service_unavailable);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t(1),
                             dispatcher.counters().byCode_.at(Model::ResultCode::OverCapacity));
        context.stop();
    }

    // Guards against demand of another region that counts against this region's slots, and against
    // demand that is sent while there is none to tell.
    void demandStaysInTheRegion()
    {
        Http::asio::io_context context;
        std::vector<std::unique_ptr<InstanceFixture>> instances;
        std::vector<std::unique_ptr<Steering::PeerExchange>> exchanges;
        std::map<std::string, std::set<std::string>> heard;
        const auto freeAddress = [] {
            Http::asio::io_context probing;
            Http::tcp::acceptor probe(probing, {Http::asio::ip::make_address("127.0.0.1"), 0});
            return Model::Address{"127.0.0.1", probe.local_endpoint().port()};
        };
        for (const char *domain : {"r-a", "r-b", "s-a", "s-b"}) {
            instances.push_back(std::make_unique<InstanceFixture>(domain));
            InstanceFixture &instance = *instances.back();
            instance.settings_.addresses_.control_ = freeAddress();
            instance.settings_.addresses_.entry_ = freeAddress();
            instance.settings_.seeds_ = {instances.front()->settings_.addresses_.control_};
            instance.setOperatorRows(3, 1);
            exchanges.push_back(std::make_unique<Steering::PeerExchange>(
                context, instance.settings_, instance.platformState_, instance.log_));
            const bool isSilent = std::string(domain) == "s-b";
            exchanges.back()->setDemandExchange(
                [isSilent] {
                    using Items = std::vector<Policy::DemandItem>;
                    return isSilent ? std::optional<Items>() : std::optional<Items>(Items());
                },
                [&heard, own = instance.settings_.instance_.value()](
                    const auto &, const Model::InstanceId &peer) {
                    heard[own].insert(peer.value());
                });
            CPPUNIT_ASSERT(exchanges.back()->start());
        }
        context.run_for(Milliseconds(3000));
        CPPUNIT_ASSERT(heard["i-r-a"] == std::set<std::string>{"i-r-b"});
        CPPUNIT_ASSERT(heard["i-r-b"] == std::set<std::string>{"i-r-a"});
        CPPUNIT_ASSERT(heard["i-s-a"].empty());
        CPPUNIT_ASSERT(heard["i-s-b"] == std::set<std::string>{"i-s-a"});
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestShortageMonitor);
