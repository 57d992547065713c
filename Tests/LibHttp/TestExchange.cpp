#include "ScriptedPeer.h"

#include <Support/Property.h>
#include <boost/asio/read.hpp>
#include <thread>

namespace {

using Http::tcp;
using HttpStandIns::exchangeWith;
using HttpStandIns::ScriptedPeer;
using Model::Milliseconds;
using Model::ResultCode;

/// A peer that sends an answer whose body arrives byte by byte.
class SlowPeer
{
public:
    /// Sends \a count bytes at intervals, but stops after \a sent of them and keeps the connection
    /// open.
    SlowPeer(int count, Milliseconds interval, int sent = std::numeric_limits<int>::max())
        : acceptor_(context_, {Http::asio::ip::make_address("127.0.0.1"), 0})
    {
        thread_ = std::thread([this, count, interval, sent] {
            run(count, interval, sent);
        });
    }

    ~SlowPeer() { thread_.join(); }

    Model::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
    void run(int count, Milliseconds interval, int sent)
    {
        tcp::socket socket(context_);
        acceptor_.accept(socket);
        char buffer[4096];
        Http::ErrorCode error;
        socket.read_some(Http::asio::buffer(buffer), error);
        const std::string head = "HTTP/1.1 200 OK\r\nCassiacrank-Request-Id: mine\r\n"
                                 "Content-Length: "
                                 + std::to_string(count) + "\r\n\r\n";
        Http::asio::write(socket, Http::asio::buffer(head), error);
        for (int i = 0; i < std::min(count, sent) && !error; ++i) {
            std::this_thread::sleep_for(interval);
            Http::asio::write(socket, Http::asio::buffer("x", 1), error);
        }
        // Until the other end closes the connection.
        socket.read_some(Http::asio::buffer(buffer), error);
    }

    Http::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

/// Takes 1.2 s, four times the deadline of exchangeWith().
constexpr int slowPieces = 20;

std::string answerWith(const std::string &id, const std::string &length, const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nCassiacrank-Request-Id: " + id + "\r\n" + length + "\r\n" + body;
}

class TestExchange : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestExchange);
    CPPUNIT_TEST(ownAnswerIsReturned);
    CPPUNIT_TEST(foreignAnswerIsDropped);
    CPPUNIT_TEST(truncatedAnswerIsAnError);
    CPPUNIT_TEST(ownAnswerAfterALateForeignOneIsReturned);
    CPPUNIT_TEST(unframedAnswerIsAcceptedOnlyIfEnabled);
    CPPUNIT_TEST(cancelledExchangeEndsAtOnce);
    CPPUNIT_TEST(longBodyStopsWhenSendingIsWithdrawn);
    CPPUNIT_TEST(nothingIsSentWhenSendingIsWithdrawn);
    CPPUNIT_TEST(silentPeerTimesOutAtTheDeadline);
    CPPUNIT_TEST(answerThatKeepsArrivingIsReadBeyondTheDeadline);
    CPPUNIT_TEST(answerThatStopsArrivingTimesOut);
    CPPUNIT_TEST(answerThatArrivesTooLongTimesOut);
    CPPUNIT_TEST(requestThatWasGivenUpIsNotDeliveredLater);
    CPPUNIT_TEST(refusedConnectionMeansNothingWasSent);
    CPPUNIT_TEST(connectionWithUnreadBytesIsNotReused);
    CPPUNIT_TEST_SUITE_END();

public:
    void ownAnswerIsReturned()
    {
        const ScriptedPeer peer({answerWith("mine", "Content-Length: 2\r\n", "ok")});
        const auto result = exchangeWith(peer.address());
        CPPUNIT_ASSERT(result.stage_ == Http::ExchangeStage::Answered);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.answer_->body());
    }

    // Guards against giving a caller the answer to another caller's request: an answer to an
    // earlier request arrives late on a reused connection and is accepted unchecked.
    void foreignAnswerIsDropped()
    {
        const ScriptedPeer peer({answerWith("another's", "Content-Length: 2\r\n", "no")});
        const auto result = exchangeWith(peer.address());
        CPPUNIT_ASSERT(result.code_ == ResultCode::ForeignAnswer);
        CPPUNIT_ASSERT(!result.answer_);
        CPPUNIT_ASSERT(result.stage_ == Http::ExchangeStage::Sent);
    }

    // Guards against returning a truncated answer as complete: the connection ends inside the body,
    // or the answer has no length, and its end is considered the end of the answer.
    void truncatedAnswerIsAnError()
    {
        const ScriptedPeer peer({answerWith("mine", "Content-Length: 9\r\n", "half"),
                                 answerWith("mine", "", "no length")});
        for (int i = 0; i < 2; ++i) {
            const auto result = exchangeWith(peer.address());
            CPPUNIT_ASSERT(result.code_ == ResultCode::TruncatedAnswer);
            CPPUNIT_ASSERT(!result.answer_);
        }
    }

    // Guards against reporting a successful request as lost: a target's second answer to an earlier
    // request arrives on a reused connection after the next request was sent, and the exchange
    // fails at that answer although the matching one follows it.
    void ownAnswerAfterALateForeignOneIsReturned()
    {
        const std::string late = answerWith("another's", "Content-Length: 2\r\n", "no");
        const ScriptedPeer peer({late + answerWith("mine", "Content-Length: 2\r\n", "ok"),
                                 late + late + answerWith("mine", "Content-Length: 2\r\n", "ok")});
        Http::ExchangeOptions options;
        options.maxForeignAnswers_ = 1;
        const auto result = exchangeWith(peer.address(), options);
        CPPUNIT_ASSERT(result.answer_);
        CPPUNIT_ASSERT_EQUAL(std::string("ok"), result.answer_->body());
        CPPUNIT_ASSERT_EQUAL(1, result.foreignAnswers_);
        CPPUNIT_ASSERT(exchangeWith(peer.address(), options).code_ == ResultCode::ForeignAnswer);
    }

    void unframedAnswerIsAcceptedOnlyIfEnabled()
    {
        const ScriptedPeer peer({answerWith("mine", "", "whole"), answerWith("mine", "", "whole")});
        CPPUNIT_ASSERT(!exchangeWith(peer.address()).answer_);
        Http::ExchangeOptions options;
        options.acceptsUnframed_ = true;
        const auto result = exchangeWith(peer.address(), options);
        CPPUNIT_ASSERT(result.answer_);
        CPPUNIT_ASSERT_EQUAL(std::string("whole"), result.answer_->body());
    }

    /// An exchange with a peer that accepts connections and reads nothing.
    struct SilentExchange
    {
        SilentExchange()
        {
            options_.address_ = {"127.0.0.1", acceptor_.local_endpoint().port()};
            options_.deadline_ = std::chrono::steady_clock::now() + std::chrono::seconds(30);
        }

        void start() { Http::asio::co_spawn(context_, run(), Http::asio::detached); }

        Http::Task<void> run()
        {
            result_ = co_await Http::exchange(pool_, options_, request_, Http::acceptAnyAnswer);
        }

        Http::asio::io_context context_;
        tcp::acceptor acceptor_{context_, {Http::asio::ip::make_address("127.0.0.1"), 0}};
        Http::ConnectionPool pool_{context_};
        Http::ExchangeOptions options_;
        Http::Request request_{Http::http::verb::get, "/", 11};
        std::optional<Http::ExchangeResult> result_;
    };

    void cancelledExchangeEndsAtOnce()
    {
        SilentExchange exchange;
        Http::ExchangeControl control;
        exchange.options_.control_ = &control;
        exchange.start();
        exchange.context_.run_for(Milliseconds(100));
        CPPUNIT_ASSERT(!exchange.result_);
        control.cancel();
        exchange.context_.run_for(std::chrono::seconds(5));
        CPPUNIT_ASSERT(exchange.result_);
        CPPUNIT_ASSERT(!exchange.result_->answer_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), exchange.pool_.openCount(exchange.options_.address_));
    }

    // Guards against sending the rest of a body long after the target is known to be leaving.
    void longBodyStopsWhenSendingIsWithdrawn()
    {
        constexpr std::size_t moreThanSocketBuffersHold = 64 * 1024 * 1024;
        SilentExchange exchange;
        exchange.request_.body() = std::string(moreThanSocketBuffersHold, 'x');
        exchange.request_.prepare_payload();
        bool isAllowed = true;
        exchange.options_.maySend_ = [&] {
            return isAllowed;
        };
        exchange.start();
        exchange.context_.run_for(Milliseconds(400));
        CPPUNIT_ASSERT(!exchange.result_);
        isAllowed = false;
        exchange.context_.run_for(std::chrono::seconds(5));
        CPPUNIT_ASSERT(exchange.result_);
        CPPUNIT_ASSERT(exchange.result_->isWithdrawn_);
        // Part of the request was sent, so whether it ran is unknown.
        CPPUNIT_ASSERT(exchange.result_->stage_ == Http::ExchangeStage::Sent);
    }

    // Guards against sending the first byte to a target that began leaving during the connect.
    void nothingIsSentWhenSendingIsWithdrawn()
    {
        SilentExchange exchange;
        exchange.options_.maySend_ = [] {
            return false;
        };
        exchange.start();
        exchange.context_.run_for(std::chrono::seconds(5));
        CPPUNIT_ASSERT(exchange.result_);
        CPPUNIT_ASSERT(exchange.result_->isWithdrawn_);
        CPPUNIT_ASSERT(exchange.result_->stage_ == Http::ExchangeStage::NotConnected);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), exchange.pool_.openCount(exchange.options_.address_));
    }

    void silentPeerTimesOutAtTheDeadline()
    {
        const ScriptedPeer peer({""});
        const auto result = exchangeWith(peer.address());
        CPPUNIT_ASSERT(result.code_ == ResultCode::TargetTimeout);
        CPPUNIT_ASSERT(result.stage_ == Http::ExchangeStage::Sent);
    }

    // Guards against a long answer that is requested again and again on a narrow link, because each
    // exchange ends at a fixed time while its answer is arriving.
    void answerThatKeepsArrivingIsReadBeyondTheDeadline()
    {
        Http::ExchangeOptions options;
        options.maxSilence_ = Milliseconds(300);
        const SlowPeer peer(slowPieces, Milliseconds(60));
        const auto result = exchangeWith(peer.address(), options);
        CPPUNIT_ASSERT(result.answer_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(slowPieces), result.answer_->body().size());
        const SlowPeer second(slowPieces, Milliseconds(60));
        CPPUNIT_ASSERT(exchangeWith(second.address()).code_ == ResultCode::TargetTimeout);
    }

    // Guards against waiting for the rest of an answer whose connection has gone silent.
    void answerThatStopsArrivingTimesOut()
    {
        Http::ExchangeOptions options;
        options.maxSilence_ = Milliseconds(300);
        const SlowPeer peer(slowPieces, Milliseconds(60), 5);
        const auto startedAt = std::chrono::steady_clock::now();
        const auto result = exchangeWith(peer.address(), options);
        CPPUNIT_ASSERT(result.code_ == ResultCode::TargetTimeout);
        CPPUNIT_ASSERT_EQUAL(std::size_t(5), result.receivedBytes_);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - startedAt < Milliseconds(2000));
    }

    // Guards against an exchange without end with a peer that sends a byte now and then.
    void answerThatArrivesTooLongTimesOut()
    {
        Http::ExchangeOptions options;
        options.maxSilence_ = Milliseconds(300);
        options.maxTransferTime_ = Milliseconds(400);
        const SlowPeer peer(slowPieces, Milliseconds(60));
        CPPUNIT_ASSERT(exchangeWith(peer.address(), options).code_ == ResultCode::TargetTimeout);
    }

    // Guards against requests that the system delivers seconds after they were given up, when a
    // partition ends: an orderly close keeps resending what was sent.
    void requestThatWasGivenUpIsNotDeliveredLater()
    {
        SilentExchange exchange;
        exchange.options_.deadline_ = std::chrono::steady_clock::now() + Milliseconds(200);
        exchange.start();
        exchange.context_.run_for(std::chrono::seconds(5));
        CPPUNIT_ASSERT(exchange.result_ && !exchange.result_->answer_);
        tcp::socket peer = exchange.acceptor_.accept();
        std::string received;
        Http::ErrorCode error;
        Http::asio::read(peer, Http::asio::dynamic_buffer(received), error);
        CPPUNIT_ASSERT_EQUAL(Http::ErrorCode(Http::asio::error::connection_reset), error);
    }

    void refusedConnectionMeansNothingWasSent()
    {
        Model::Address address;
        {
            Http::asio::io_context context;
            tcp::acceptor acceptor(context, {Http::asio::ip::make_address("127.0.0.1"), 0});
            address = {"127.0.0.1", acceptor.local_endpoint().port()};
        }
        const auto result = exchangeWith(address);
        CPPUNIT_ASSERT(result.stage_ == Http::ExchangeStage::NotConnected);
        CPPUNIT_ASSERT(result.code_ == ResultCode::TargetUnreachable);
    }

    void connectionWithUnreadBytesIsNotReused()
    {
        Http::asio::io_context context;
        tcp::acceptor acceptor(context, {Http::asio::ip::make_address("127.0.0.1"), 0});
        const Model::Address address{"127.0.0.1", acceptor.local_endpoint().port()};
        Http::ConnectionPool pool(context);
        auto connection = pool.openNew(address, 1);
        connection->stream_.connect(Http::endpointOf(address));
        tcp::socket other = acceptor.accept();
        pool.giveBack(address, std::move(connection));
        auto kept = pool.takeIdle(address, Milliseconds(10000));
        CPPUNIT_ASSERT(kept);
        CPPUNIT_ASSERT(!pool.openNew(address, 1));
        pool.giveBack(address, std::move(kept));
        Http::asio::write(other, Http::asio::buffer(std::string("late")));
        std::this_thread::sleep_for(Milliseconds(50));
        CPPUNIT_ASSERT(!pool.takeIdle(address, Milliseconds(10000)));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), pool.openCount(address));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestExchange);
