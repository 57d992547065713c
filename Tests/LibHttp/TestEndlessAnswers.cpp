#include <LibHttp/LibHttp.h>
#include <Support/Property.h>
#include <atomic>
#include <thread>

namespace {

using Http::tcp;
using Model::Milliseconds;
using Model::ResultCode;

constexpr std::size_t megabyte = 1024 * 1024;
/// What a peer sends at the most, so that a test ends where nothing stops it.
constexpr std::size_t maxSentBytes = 128 * megabyte;
/// What the two sockets buffer at the most, besides what the exchange takes.
constexpr std::size_t socketBytes = 12 * megabyte;
constexpr Milliseconds deadline{2000};

/// An answer that has no end: a beginning, and a part that is repeated.
struct EndlessAnswer
{
    std::string name_;
    std::string beginning_;
    std::string repeated_;
    ResultCode code_ = ResultCode::MalformedAnswer;
};

std::string repeat(const std::string &text, std::size_t bytes)
{
    std::string result;
    while (result.size() < bytes)
        result += text;
    return result;
}

/// A peer that answers one request and sends until the connection closes.
class EndlessPeer
{
public:
    explicit EndlessPeer(const EndlessAnswer &answer)
        : acceptor_(context_, {Http::asio::ip::make_address("127.0.0.1"), 0})
    {
        thread_ = std::thread([this, answer] {
            run(answer);
        });
    }

    ~EndlessPeer() { thread_.join(); }

    Model::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }
    std::size_t sentBytes() const { return sentBytes_; }

private:
    void run(const EndlessAnswer &answer)
    {
        tcp::socket socket(context_);
        acceptor_.accept(socket);
        char buffer[4096];
        Http::ErrorCode error;
        socket.read_some(Http::asio::buffer(buffer), error);
        Http::asio::write(socket, Http::asio::buffer(answer.beginning_), error);
        const std::string part = repeat(answer.repeated_, 65536);
        while (!error && sentBytes_ < maxSentBytes)
            sentBytes_ += Http::asio::write(socket, Http::asio::buffer(part), error);
        socket.read_some(Http::asio::buffer(buffer), error);
    }

    Http::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::atomic<std::size_t> sentBytes_{0};
    std::thread thread_;
};

/// The result of an exchange with an endless peer.
struct Observed
{
    Http::ExchangeResult result_;
    std::size_t heldBytes_ = 0;
    std::size_t openConnections_ = 0;
    Milliseconds took_{0};
};

Observed exchangeWith(const EndlessPeer &peer, Http::ExchangeOptions options = {})
{
    Http::asio::io_context context;
    Http::ConnectionPool pool(context);
    Http::Request request(Http::http::verb::get, "/", 11);
    request.set(Http::http::field::host, "h");
    options.address_ = peer.address();
    options.acceptsUnframed_ = true;
    const auto startedAt = std::chrono::steady_clock::now();
    options.deadline_ = startedAt + deadline;
    Observed observed;
    if (!options.holdAnswer_) {
        options.holdAnswer_ = [&](std::size_t bytes, Http::AnswerLength) {
            observed.heldBytes_ += bytes;
            return true;
        };
    }
    const auto isFinal = [](const Http::RequestHead &, const Http::Response &answer) {
        return answer.result_int() >= 200;
    };
    const auto run = [&]() -> Http::Task<void> {
        observed.result_ = co_await Http::exchange(pool, options, request, isFinal);
    };
    Http::asio::co_spawn(context, run(), Http::asio::detached);
    context.run();
    observed.openConnections_ = pool.openCount();
    observed.took_
        = std::chrono::duration_cast<Milliseconds>(std::chrono::steady_clock::now() - startedAt);
    return observed;
}

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
const std::string filler(1000, 'x');

class TestEndlessAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestEndlessAnswers);
    CPPUNIT_TEST(partWithoutEndClosesTheConnection);
    CPPUNIT_TEST(bodyWithoutEndStopsAtItsLimit);
    CPPUNIT_TEST(growingBodyCountsTwice);
    CPPUNIT_TEST(bodyThatMayNotBeHeldIsNotReadOn);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against buffering a part of an answer that never ends until the memory is full.
    void partWithoutEndClosesTheConnection()
    {
        const std::vector<EndlessAnswer> answers = {
            {"header lines", head, "X: " + filler + "\r\n"},
            {"a header line", head + "X: ", filler},
            {"a status line", "HTTP/1.1 200 ", filler},
            {"no HTTP", "", filler},
            {"interim answers", "", "HTTP/1.1 103 Early Hints\r\n\r\n", ResultCode::ForeignAnswer},
            {"a chunk extension", chunkedHead + "5;x=", filler, ResultCode::TruncatedAnswer},
            {"a chunk size", chunkedHead, "0000000000", ResultCode::TruncatedAnswer},
            {"a trailer", chunkedHead + "0\r\nX: ", filler, ResultCode::TruncatedAnswer},
            {"trailers", chunkedHead + "0\r\n", "X: x\r\n", ResultCode::TruncatedAnswer},
            {"a length of 2^63", head + "Content-Length: 9223372036854775808\r\n\r\n", filler},
        };
        for (const auto &answer : answers) {
            const EndlessPeer peer(answer);
            const auto observed = exchangeWith(peer);
            const std::string message = answer.name_ + ", " + std::to_string(peer.sentBytes())
                                        + " bytes, code "
                                        + std::to_string(Model::number(observed.result_.code_));
            CPPUNIT_ASSERT_MESSAGE(message, !observed.result_.answer_);
            CPPUNIT_ASSERT_MESSAGE(message, observed.result_.code_ == answer.code_);
            CPPUNIT_ASSERT_MESSAGE(message, peer.sentBytes() <= socketBytes);
            CPPUNIT_ASSERT_MESSAGE(message, observed.took_ < deadline);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(message, std::size_t(0), observed.openConnections_);
        }
    }

    // Guards against taking 64 MB from each target whose answer never ends.
    void bodyWithoutEndStopsAtItsLimit()
    {
        const std::vector<EndlessAnswer> answers = {
            {"chunks", chunkedHead, "3e8\r\n" + filler + "\r\n"},
            {"no length", head + "\r\n", filler},
        };
        for (const auto &answer : answers) {
            const EndlessPeer peer(answer);
            Http::ExchangeOptions options;
            options.unstatedAnswerLimitBytes_ = megabyte;
            const auto observed = exchangeWith(peer, options);
            CPPUNIT_ASSERT(observed.result_.code_ == ResultCode::TruncatedAnswer);
            CPPUNIT_ASSERT(!observed.result_.isAnswerNotHeld_);
            CPPUNIT_ASSERT_MESSAGE(answer.name_, observed.heldBytes_ <= 2 * megabyte);
            CPPUNIT_ASSERT_MESSAGE(answer.name_, peer.sentBytes() <= megabyte + socketBytes);
            CPPUNIT_ASSERT_EQUAL(std::size_t(0), observed.openConnections_);
        }
    }

    // Guards against counting only the bytes that have arrived: growing the body copies it.
    void growingBodyCountsTwice()
    {
        const std::string chunk = "186a0\r\n" + std::string(100000, 'x') + "\r\n";
        const EndlessPeer peer({"", chunkedHead + chunk + "0\r\n\r\n", "x"});
        const auto observed = exchangeWith(peer);
        CPPUNIT_ASSERT(observed.result_.answer_);
        CPPUNIT_ASSERT_EQUAL(std::size_t(100000), observed.result_.answer_->body().size());
        CPPUNIT_ASSERT_EQUAL(std::size_t(200000), observed.heldBytes_);
    }

    // Guards against an answer without a length that is read on beyond the instance's bound.
    void bodyThatMayNotBeHeldIsNotReadOn()
    {
        const EndlessPeer peer({"", head + "\r\n", filler});
        std::size_t held = 0;
        Http::ExchangeOptions options;
        options.holdAnswer_ = [&](std::size_t bytes, Http::AnswerLength length) {
            CPPUNIT_ASSERT(length == Http::AnswerLength::Unstated);
            held += bytes;
            return held <= megabyte;
        };
        const auto observed = exchangeWith(peer, options);
        CPPUNIT_ASSERT(!observed.result_.answer_);
        CPPUNIT_ASSERT(observed.result_.isAnswerNotHeld_);
        CPPUNIT_ASSERT(held <= 2 * megabyte);
        CPPUNIT_ASSERT(peer.sentBytes() <= megabyte + socketBytes);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestEndlessAnswers);
