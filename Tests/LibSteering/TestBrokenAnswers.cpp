#include "FakePlatform.h"

#include <Support/AnswerHeads.h>
#include <Support/Property.h>
#include <Support/RawPeer.h>

namespace {

using Fakes::InstanceFixture;
using Model::Milliseconds;
using Model::ResultCode;
using Policy::Outcome;
using Support::AnswerHead;
using Support::HeadKind;
using Support::RawAnswer;
namespace http = Http::http;

const std::string targetFields = "Id: 1\r\nContent-Length: 6\r\n";
const std::string soundAnswer = "HTTP/1.1 200 OK\r\n" + targetFields + "\r\nsecond";
/// A second try is due this long after the first: the goal less the usual time of 160 ms.
constexpr Milliseconds secondTryDelay{10};
constexpr Milliseconds slowAnswer{200};
/// Requests that are in progress at the same time, each at an instance of its own.
constexpr std::size_t concurrency = 64;

/// Two targets of each service that send the same answers in turn, and a dispatcher that sends
/// a request to them.
struct BrokenAnswerFixture
{
    BrokenAnswerFixture(Http::asio::io_context &context, std::deque<RawAnswer> answers)
        : context_(context)
    {
        const auto handler = Support::inTurn(std::move(answers));
        instance_.port_.headers_.expectedTarget_ = "Expected";
        instance_.port_.headers_.notRun_ = "Not-Run";
        instance_.port_.parsePause_ = [](const Http::Response &answer) {
            return Http::retryAfterIn(answer, Model::WallTime());
        };
        instance_.port_.takeLeave_ = [](Http::Response &) {
            return false;
        };
        // One request earns a whole retry.
        instance_.port_.terms_.retryShare_ = 2;
        instance_.port_.terms_.retryExtra_ = 64;
        guard_.setInformed();
        std::string table = Fakes::operatorsText(3);
        const std::string goal = "latency_goal_ms = 400";
        table.replace(table.find(goal), goal.size(),
                      "latency_goal_ms = " + std::to_string(160 + secondTryDelay.count()));
        instance_.setTable(table, 1);
        std::vector<Platform::StoredRow> rows;
        for (const char *service : {"gauging", "transfers"}) {
            for (const char *id : {"a", "b"}) {
                peers_.push_back(std::make_unique<Support::RawPeer>(context_, handler));
                rows.push_back(Fakes::row(std::string(service) + id,
                                          std::string(service) + " r-a "
                                              + toText(peers_.back()->address()) + " 4 ready 0",
                                          2));
            }
        }
        instance_.setTargetRows(2, rows);
    }

    void start(const std::string &route)
    {
        Http::IncomingRequest incoming;
        incoming.message_ = Http::Request(http::verb::get, "/" + route + "/x", 11);
        incoming.message_.set(http::field::host, "h");
        incoming.message_.set("Id", "1");
        incoming.arrivedAt_ = std::chrono::steady_clock::now();
        incoming.hasPeerClosed_ = [] {
            return false;
        };
        Http::asio::co_spawn(context_, answer(std::move(incoming)), Http::asio::detached);
    }

    Http::Task<void> answer(Http::IncomingRequest incoming)
    {
        answer_ = co_await dispatcher_.answer(std::move(incoming));
    }

    int requests() const
    {
        int requests = 0;
        for (const auto &peer : peers_)
            requests += peer->requests();
        return requests;
    }

    double failureRates() const
    {
        double sum = 0;
        for (const auto &[id, target] : instance_.targetRegistry_.all())
            sum += target->pace_.failureRate_;
        return sum;
    }

    Http::asio::io_context &context_;
    InstanceFixture instance_{"r-a"};
    Steering::CrashGuard guard_{instance_.port_, instance_.log_};
    Steering::PeerExchange exchange_{context_, instance_.settings_, instance_.platformState_,
                                     instance_.log_};
    Steering::QuotaExchange quotas_{context_, instance_.settings_, instance_.platformState_,
                                    exchange_, instance_.log_};
    Steering::Dispatcher dispatcher_{context_,
                                     instance_.port_,
                                     instance_.platformState_,
                                     instance_.placementEngine_,
                                     instance_.reach_,
                                     guard_,
                                     quotas_,
                                     instance_.log_};
    std::vector<std::unique_ptr<Support::RawPeer>> peers_;
    std::optional<Http::Response> answer_;
};

/// Runs a request of \a route for each head, with the answers that \a script makes of the head, and
/// passes the ended ones to \a check.
template <typename Script, typename Check>
void forEachHead(const std::string &route, bool reportsPace, Script script, Check check)
{
    const auto heads = Support::answerHeads(targetFields);
    for (std::size_t first = 0; first < heads.size(); first += concurrency) {
        Http::asio::io_context context;
        std::vector<std::unique_ptr<BrokenAnswerFixture>> running;
        const std::size_t count = std::min(concurrency, heads.size() - first);
        for (std::size_t i = 0; i < count; ++i) {
            const std::string broken = heads[first + i].text_ + "\r\nbroken";
            running.push_back(std::make_unique<BrokenAnswerFixture>(context, script(broken)));
            if (reportsPace) {
                running.back()->instance_.placementEngine_.notePaceReported(
                    Model::ServiceId("gauging"));
            }
            running.back()->start(route);
        }
        const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
        const auto isRunning = [](const auto &fixture) {
            return !fixture->answer_;
        };
        while (std::any_of(running.begin(), running.end(), isRunning)
               && std::chrono::steady_clock::now() < end)
            context.run_one_for(Milliseconds(50));
        for (std::size_t i = 0; i < count; ++i) {
            const AnswerHead &head = heads[first + i];
            CPPUNIT_ASSERT_MESSAGE(head.name_, running[i]->answer_.has_value());
            check(head, *running[i]);
        }
        // Probes of the targets end while their dispatchers exist.
        context.run_for(Milliseconds(20));
    }
}

/// Tells whether a target states with \a head that it is not the one that was asked.
bool isMisdirected(const AnswerHead &head)
{
    return head.text_.starts_with("HTTP/1.1 421 ");
}

/// A forwarder, and a peer that sends prepared bytes.
struct ForwardingFixture
{
    explicit ForwardingFixture(const std::string &bytes)
        : peer_(context_, Support::inTurn({{bytes}}))
    {
        instanceOfPeer_.id_ = Model::InstanceId("peer");
        instanceOfPeer_.region_ = Model::RegionId("r");
        instanceOfPeer_.addresses_.control_ = peer_.address();
        instance_.setOperatorRows(1, 1);
        request_ = Fakes::requestContext(instance_, "order", 1);
        Http::IncomingRequest incoming;
        incoming.message_ = Http::Request(http::verb::get, "/order/x", 11);
        incoming.message_.set(http::field::host, "h");
        incoming.message_.set("Id", "1");
        request_.incoming_ = std::make_shared<const Http::IncomingRequest>(incoming);
        request_.deadline_ = std::chrono::steady_clock::now() + Milliseconds(2000);
    }

    Http::asio::io_context context_;
    InstanceFixture instance_{"r-a"};
    Steering::PeerExchange peers_{context_, instance_.settings_, instance_.platformState_,
                                  instance_.log_};
    Steering::RequestForwarder forwarder_{context_, instance_.port_, instance_.placementEngine_,
                                          peers_, instance_.log_};
    Support::RawPeer peer_;
    Model::Instance instanceOfPeer_;
    Steering::RequestContext request_;
};

class TestBrokenAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBrokenAnswers);
    CPPUNIT_TEST(unsafeRequestIsSentOnceAndItsOutcomeIsUnknown);
    CPPUNIT_TEST(safeRequestIsAnsweredByAnotherTarget);
    CPPUNIT_TEST(brokenAnswerOfASecondTryIsDropped);
    CPPUNIT_TEST(brokenAnswerOfAPeerLeavesAForwardedRequestUnknown);
    CPPUNIT_TEST(callsToPeersTakeNoBrokenAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against passing a broken answer on, sending such a request again, or holding nothing
    // against the target.
    void unsafeRequestIsSentOnceAndItsOutcomeIsUnknown()
    {
        const auto script = [](const std::string &broken) {
            return std::deque<RawAnswer>{{broken}};
        };
        forEachHead("order", false, script, [](const AnswerHead &head, const auto &fixture) {
            const auto &counters = fixture.dispatcher_.counters();
            if (isMisdirected(head))
                return;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, 1, fixture.requests());
            if (head.kind_ == HeadKind::Final) {
                CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::uint64_t(1), counters.answered_);
                return;
            }
            // No final answer follows the interim one.
            const ResultCode code = head.kind_ == HeadKind::Interim ? ResultCode::TruncatedAnswer
                                                                    : ResultCode::MalformedAnswer;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::uint64_t(1), counters.unknown_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::uint64_t(0), counters.answered_);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::size_t(1), counters.byCode_.count(code));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, http::status::bad_gateway,
                                         fixture.answer_->result());
            CPPUNIT_ASSERT_MESSAGE(head.name_, fixture.failureRates() > 0);
        });
    }

    // Guards against a caller that gets the broken answer although another target is sound.
    void safeRequestIsAnsweredByAnotherTarget()
    {
        const auto script = [](const std::string &broken) {
            return std::deque<RawAnswer>{{broken}, {soundAnswer}};
        };
        forEachHead("read", false, script, [](const AnswerHead &head, const auto &fixture) {
            if (head.kind_ == HeadKind::Final)
                return;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::string("second"),
                                         fixture.answer_->body());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, 2, fixture.requests());
            CPPUNIT_ASSERT_MESSAGE(head.name_, fixture.failureRates() > 0);
        });
    }

    // Guards against a second try whose broken answer wins against the sound one of the first.
    void brokenAnswerOfASecondTryIsDropped()
    {
        const auto script = [](const std::string &broken) {
            return std::deque<RawAnswer>{{soundAnswer, slowAnswer}, {broken}};
        };
        forEachHead("read", true, script, [](const AnswerHead &head, const auto &fixture) {
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::uint64_t(1),
                                         fixture.dispatcher_.counters().secondTries_);
            if (head.kind_ == HeadKind::Final)
                return;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::string("second"),
                                         fixture.answer_->body());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::uint64_t(0),
                                         fixture.dispatcher_.counters().secondTriesWon_);
        });
    }

    // Guards against passing on a broken answer of a peer, or taking its request for one not run.
    void brokenAnswerOfAPeerLeavesAForwardedRequestUnknown()
    {
        Http::Response outcome;
        Steering::addForwardingOutcome(outcome, Outcome::Run, ResultCode::Ok, std::nullopt);
        std::string fields = targetFields;
        for (const auto &field : outcome) {
            fields += std::string(field.name_string()) + ": " + std::string(field.value()) + "\r\n";
        }
        for (const auto &head : Support::answerHeads(fields)) {
            ForwardingFixture fixture(head.text_ + "\r\nbroken");
            const auto result = Support::resultOf(
                fixture.context_,
                fixture.forwarder_.forward(fixture.request_, fixture.instanceOfPeer_, nullptr));
            const bool isFinal = head.kind_ == HeadKind::Final;
            CPPUNIT_ASSERT_MESSAGE(head.name_,
                                   result.outcome_ == (isFinal ? Outcome::Run : Outcome::Unknown));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, isFinal, result.answer_.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, 1, fixture.peer_.requests());
        }
    }

    // Guards against state taken from a peer's answer that is not valid HTTP.
    void callsToPeersTakeNoBrokenAnswer()
    {
        for (const auto &head : Support::answerHeads("Content-Length: 6\r\n")) {
            ForwardingFixture fixture(head.text_ + "\r\nbroken");
            Http::ConnectionPool pool(fixture.context_);
            const auto result = Support::resultOf(
                fixture.context_, fixture.peers_.call(fixture.instanceOfPeer_, "/v1/x", "",
                                                      Milliseconds(2000), pool));
            const bool isFinal = head.kind_ == HeadKind::Final;
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, isFinal, result.answer_.has_value());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, std::size_t(isFinal ? 1 : 0),
                                         pool.openCount());
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestBrokenAnswers);
