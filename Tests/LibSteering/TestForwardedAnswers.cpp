#include "FakePlatform.h"

#include <Support/Property.h>

namespace {

using Http::AnswerLength;
using Model::Milliseconds;
using Policy::Outcome;
namespace http = Http::http;

constexpr std::size_t answerBytes = 200000;

/// A forwarder, and a peer that answers every forwarded request as if a target had run it.
struct ForwardingFixture
{
    ForwardingFixture()
        : peer_(context_, Http::ServerLimits(), [](Http::IncomingRequest request) {
            return answerAtPeer(std::move(request));
        })
    {
        Http::asio::io_context probing;
        Http::tcp::acceptor probe(probing, {Http::asio::ip::make_address("127.0.0.1"), 0});
        instanceOfPeer_.id_ = Model::InstanceId("peer");
        instanceOfPeer_.region_ = Model::RegionId("r");
        instanceOfPeer_.addresses_.control_ = {"127.0.0.1", probe.local_endpoint().port()};
        probe.close();
        CPPUNIT_ASSERT(peer_.listen(instanceOfPeer_.addresses_.control_));
        instance_.setOperatorRows(1, 1);
        request_ = Fakes::requestContext(instance_, "read", 1);
        Http::IncomingRequest incoming;
        incoming.message_ = Http::Request(http::verb::get, "/read/x", 11);
        incoming.message_.set(http::field::host, "h");
        incoming.message_.set("Id", "1");
        request_.incoming_ = std::make_shared<const Http::IncomingRequest>(incoming);
        request_.deadline_ = std::chrono::steady_clock::now() + Milliseconds(2000);
    }

    static Http::Task<Http::Response> answerAtPeer(Http::IncomingRequest request)
    {
        auto answer
            = Http::textAnswer(http::status::ok, "text/plain", std::string(answerBytes, 'x'), 11);
        answer.set("Id", request.message_["Id"]);
        Steering::addForwardingOutcome(answer, Outcome::Run, Model::ResultCode::Ok, std::nullopt);
        co_return answer;
    }

    Steering::ForwardingResult forward(bool mayHold)
    {
        Steering::ForwardingResult result;
        bool hasEnded = false;
        const auto run = [&]() -> Http::Task<void> {
            std::function<bool(std::size_t, AnswerLength)> holdAnswer
                = [&](std::size_t bytes, AnswerLength) {
                      askedBytes_ += bytes;
                      return mayHold;
                  };
            result = co_await forwarder_.forward(request_, instanceOfPeer_, std::move(holdAnswer));
            hasEnded = true;
        };
        Http::asio::co_spawn(context_, run(), Http::asio::detached);
        const auto end = std::chrono::steady_clock::now() + Milliseconds(5000);
        while (!hasEnded && std::chrono::steady_clock::now() < end)
            context_.run_one_for(Milliseconds(50));
        CPPUNIT_ASSERT(hasEnded);
        return result;
    }

    Http::asio::io_context context_;
    Fakes::InstanceFixture instance_{"r-a"};
    Steering::PeerExchange peers_{context_, instance_.settings_, instance_.platformState_,
                                  instance_.log_};
    Steering::RequestForwarder forwarder_{context_, instance_.port_, instance_.placementEngine_,
                                          peers_, instance_.log_};
    Http::Server peer_;
    Model::Instance instanceOfPeer_;
    Steering::RequestContext request_;
    std::size_t askedBytes_ = 0;
};

class TestForwardedAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestForwardedAnswers);
    CPPUNIT_TEST(answerOfAPeerCountsAsHeld);
    CPPUNIT_TEST(answerThatMayNotBeHeldIsNotRead);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against answers of peers that are held beside the instance's bound.
    void answerOfAPeerCountsAsHeld()
    {
        ForwardingFixture fixture;
        const auto result = fixture.forward(true);
        CPPUNIT_ASSERT(result.outcome_ == Outcome::Run);
        CPPUNIT_ASSERT_EQUAL(answerBytes, result.answer_->body().size());
        CPPUNIT_ASSERT_EQUAL(answerBytes, fixture.askedBytes_);
    }

    // Guards against reading such an answer beyond the bound. The request has run at the peer.
    void answerThatMayNotBeHeldIsNotRead()
    {
        ForwardingFixture fixture;
        const auto result = fixture.forward(false);
        CPPUNIT_ASSERT(result.outcome_ == Outcome::Unknown);
        CPPUNIT_ASSERT(!result.answer_);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestForwardedAnswers);
