#include "ScriptedPeer.h"

#include <Support/AnswerHeads.h>
#include <Support/Property.h>

namespace {

using HttpStandIns::ScriptedPeer;
using Model::ResultCode;
using Support::AnswerHead;
using Support::HeadKind;

const std::string ownFields = "Cassiacrank-Request-Id: mine\r\nContent-Length: 4\r\n";

/// Exchanges that each use a new connection of one pool.
class Exchanges
{
public:
    explicit Exchanges(const Model::Address &address)
    {
        options_.address_ = address;
        options_.maxIdle_ = Model::Milliseconds(0);
        request_.set(Http::http::field::host, "h");
        request_.set("Cassiacrank-Request-Id", "mine");
    }

    Http::ExchangeResult runOne()
    {
        Http::ExchangeResult result;
        options_.deadline_ = std::chrono::steady_clock::now() + std::chrono::seconds(5);
        const auto isOwn = [](const Http::RequestHead &sent, const Http::Response &answer) {
            return sent["Cassiacrank-Request-Id"] == answer["Cassiacrank-Request-Id"];
        };
        const auto run = [&]() -> Http::Task<void> {
            result = co_await Http::exchange(pool_, options_, request_, isOwn);
        };
        Http::asio::co_spawn(context_, run(), Http::asio::detached);
        context_.restart();
        context_.run();
        return result;
    }

    /// Returns the connections that are still open, and closes them.
    std::size_t takeOpen()
    {
        const std::size_t open = pool_.openCount();
        pool_.dropIdle(options_.address_);
        return open;
    }

private:
    Http::asio::io_context context_;
    Http::ConnectionPool pool_{context_};
    Http::ExchangeOptions options_;
    Http::Request request_{Http::http::verb::get, "/", 11};
};

std::vector<std::string> answersWith(const std::vector<AnswerHead> &heads)
{
    std::vector<std::string> answers;
    for (const auto &head : heads)
        answers.push_back(head.text_ + "\r\nbody");
    return answers;
}

void check(const std::vector<AnswerHead> &heads)
{
    const ScriptedPeer peer(answersWith(heads));
    Exchanges exchanges(peer.address());
    std::string wrong;
    for (const auto &head : heads) {
        const auto result = exchanges.runOne();
        const bool isFinal = head.kind_ == HeadKind::Final;
        const ResultCode code = head.kind_ == HeadKind::Interim ? ResultCode::ForeignAnswer
                                                                : ResultCode::MalformedAnswer;
        const bool isRight = isFinal ? result.stage_ == Http::ExchangeStage::Answered
                                           && result.code_ == ResultCode::Ok
                                     : result.stage_ == Http::ExchangeStage::Sent && !result.answer_
                                           && result.code_ == code;
        // A connection that sent no answer is closed.
        const bool isClosedRight = exchanges.takeOpen() == (isFinal ? 1U : 0U);
        if (!isRight || !isClosedRight)
            wrong += "\n" + head.name_ + ": code " + std::to_string(Model::number(result.code_));
    }
    CPPUNIT_ASSERT_EQUAL(std::string(), wrong);
}

class TestAnswerHeads : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestAnswerHeads);
    CPPUNIT_TEST(statusOutsideItsRangeIsNoAnswer);
    CPPUNIT_TEST(byteThatNoFieldLineHasIsNoAnswer);
    CPPUNIT_TEST(blockingClientTakesNoBrokenAnswer);
    CPPUNIT_TEST(trailerFieldsAreNotPartOfTheHead);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against passing on an answer whose status is none, such as 000.
    void statusOutsideItsRangeIsNoAnswer() { check(Support::headsWithEveryStatus(ownFields)); }

    // Guards against passing on a field line that other parsers read differently, or a body that
    // such a line frames wrongly.
    void byteThatNoFieldLineHasIsNoAnswer() { check(Support::headsWithEveryByte(ownFields)); }

    // Guards against the same answers at clients that wait for one answer.
    void blockingClientTakesNoBrokenAnswer()
    {
        const auto heads = Support::answerHeads(ownFields);
        const ScriptedPeer peer(answersWith(heads));
        for (const auto &head : heads) {
            Http::SimpleRequest request;
            request.address_ = peer.address();
            const auto answer = Http::sendAndWait(request);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, head.kind_ == HeadKind::Final,
                                         answer.has_value());
            CPPUNIT_ASSERT_MESSAGE(head.name_, answer
                                                   || Model::lastReason().code_
                                                          == ResultCode::CommitOutcomeUnknown);
        }
    }

    // Guards against a field behind the body that states what only the head may state, such as that
    // the request was not run, and against passing on a folded one.
    void trailerFieldsAreNotPartOfTheHead()
    {
        for (const char *trailer : {"X-T: 1\r\n", "X-T: 1\r\n X-U: 2\r\n", "Retry-After: 1\r\n",
                                    "Cassiacrank-Request-Id: mine\r\n"}) {
            const ScriptedPeer peer(
                {"HTTP/1.1 200 OK\r\nCassiacrank-Request-Id: mine\r\nX-Head: 1\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n"
                 + std::string(trailer) + "\r\n"});
            const auto result = Exchanges(peer.address()).runOne();
            CPPUNIT_ASSERT_MESSAGE(trailer, result.answer_.has_value());
            CPPUNIT_ASSERT_EQUAL(std::string("body"), result.answer_->body());
            const auto fields = std::distance(result.answer_->begin(), result.answer_->end());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(trailer, std::ptrdiff_t(3), fields);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestAnswerHeads);
