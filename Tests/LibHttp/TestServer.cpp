#include <LibHttp/LibHttp.h>
#include <Support/Property.h>
#include <boost/asio/read_until.hpp>

#include <thread>

namespace {

using Http::tcp;
using Model::Milliseconds;

/// A server on a separate thread that answers with the method, the path and the body's length.
class EchoServer
{
public:
    explicit EchoServer(Http::ServerLimits limits = EchoServer::limits())
        : server_(context_, limits, [](Http::IncomingRequest request) {
            return echo(std::move(request));
        })
    {
        for (std::uint16_t port = 21000; port < 22000; ++port) {
            address_ = {"127.0.0.1", port};
            tcp::acceptor probe(context_);
            Http::ErrorCode error;
            probe.open(tcp::v4(), error);
            probe.bind(Http::endpointOf(address_), error);
            if (error)
                continue;
            probe.close();
            if (server_.listen(address_))
                break;
        }
        thread_ = std::thread([this] {
            context_.run();
        });
    }

    ~EchoServer()
    {
        context_.stop();
        thread_.join();
    }

    static Http::ServerLimits limits()
    {
        Http::ServerLimits limits;
        limits.headBytes_ = 1024;
        limits.bodyBytes_ = 2048;
        limits.idle_ = Milliseconds(2000);
        limits.request_ = Milliseconds(300);
        return limits;
    }

    static Http::Task<Http::Response> echo(Http::IncomingRequest request)
    {
        const auto &message = request.message_;
        if (message.target().starts_with("/slow")) {
            co_await Http::sleepFor(Milliseconds(200));
        }
        std::string body(message.method_string());
        body += " " + std::string(message.target()) + " " + std::to_string(message.body().size());
        auto answer
            = Http::textAnswer(Http::http::status::ok, "text/plain", body, message.version());
        if (message.target().ends_with("/close"))
            answer.keep_alive(false);
        co_return answer;
    }

    /// Makes the server begin to leave as soon as \a requests are in progress. Must be called
    /// before they are sent.
    void leaveDuring(std::size_t requests)
    {
        Http::asio::co_spawn(context_, leaveOnceInProgress(requests), Http::asio::detached);
    }

    Http::Task<void> leaveOnceInProgress(std::size_t requests)
    {
        while (server_.requestsInProgress() < requests) {
            co_await Http::sleepFor(Milliseconds(1));
        }
        server_.beginLeaving();
    }

    Http::asio::io_context context_{1};
    Http::Server server_;
    Model::Address address_;
    std::thread thread_;
};

/// The head of a request whose caller waits for an interim answer, without its end.
const std::string expectingHead = "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                                  "Expect: 100-continue\r\n";

/// A part of a message that is sent once something has been received.
struct LaterPart
{
    std::string awaited_;
    std::string text_;
};

/// Sends \a text and the \a later parts, shuts down the sending side if \a halfCloses, and returns
/// all that is received.
std::string talk(const EchoServer &server, const std::string &text, bool halfCloses,
                 const std::vector<LaterPart> &later = {})
{
    Http::asio::io_context context;
    tcp::socket socket(context);
    socket.connect(Http::endpointOf(server.address_));
    Http::asio::write(socket, Http::asio::buffer(text));
    std::string answer;
    Http::ErrorCode error;
    for (const auto &part : later) {
        Http::asio::read_until(socket, Http::asio::dynamic_buffer(answer), part.awaited_, error);
        Http::asio::write(socket, Http::asio::buffer(part.text_), error);
    }
    if (halfCloses)
        socket.shutdown(tcp::socket::shutdown_send);
    while (!error) {
        char buffer[4096];
        const auto received = socket.read_some(Http::asio::buffer(buffer), error);
        answer.append(buffer, received);
    }
    return answer;
}

int count(const std::string &text, const std::string &part)
{
    int found = 0;
    for (auto at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

class TestServer : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestServer);
    CPPUNIT_TEST(pipelinedRequestsAreAnsweredInOrder);
    CPPUNIT_TEST(pipelinedRequestsAreProcessedConcurrently);
    CPPUNIT_TEST(requestsAfterAClosingAnswerAreDropped);
    CPPUNIT_TEST(leavingServerAnswersAllPipelinedRequests);
    CPPUNIT_TEST(leavingServerReadsNoEndlessPipeline);
    CPPUNIT_TEST(answerThatClosesWaitsForThoseBehindIt);
    CPPUNIT_TEST(halfClosedCallerGetsItsAnswer);
    CPPUNIT_TEST(chunkedBodyIsRead);
    CPPUNIT_TEST(expect100ContinueIsAnswered);
    CPPUNIT_TEST(interimAnswerIsLeftOutWhereTheBodyHasBegun);
    CPPUNIT_TEST(refusedHeadGetsNoInterimAnswer);
    CPPUNIT_TEST(waitForTheInterimAnswerIsNotTheCallersTime);
    CPPUNIT_TEST(bodyThatNeverFollowsTheInterimAnswerIsTooSlow);
    CPPUNIT_TEST(ambiguousRequestsAreRefusedAndTheConnectionCloses);
    CPPUNIT_TEST(slowBodyIsRefused);
    CPPUNIT_TEST(headGetsNoBody);
    CPPUNIT_TEST(randomBytesNeverBreakTheServer);
    CPPUNIT_TEST_SUITE_END();

public:
    void pipelinedRequestsAreAnsweredInOrder()
    {
        const EchoServer server;
        const std::string answer
            = talk(server,
                   "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n"
                   "GET /3 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                   false);
        CPPUNIT_ASSERT_EQUAL(3, count(answer, "HTTP/1.1 200"));
        CPPUNIT_ASSERT(answer.find("/1") < answer.find("/2"));
        CPPUNIT_ASSERT(answer.find("/2") < answer.find("/3"));
    }

    // Guards against serial processing of pipelined requests: if each starts only after the one
    // before it was answered, the fourth of four requests takes four times as long.
    void pipelinedRequestsAreProcessedConcurrently()
    {
        auto limits = EchoServer::limits();
        limits.pipelineDepth_ = 8;
        const EchoServer server(limits);
        const auto begun = std::chrono::steady_clock::now();
        const std::string answer
            = talk(server,
                   "GET /slow1 HTTP/1.1\r\nHost: h\r\n\r\nGET /slow2 HTTP/1.1\r\nHost: h\r\n\r\n"
                   "GET /slow3 HTTP/1.1\r\nHost: h\r\n\r\nGET /4 HTTP/1.1\r\nHost: h\r\n"
                   "Connection: close\r\n\r\n",
                   false);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begun < Milliseconds(550));
        CPPUNIT_ASSERT_EQUAL(4, count(answer, "HTTP/1.1 200"));
        CPPUNIT_ASSERT(answer.find("/slow1") < answer.find("/slow2"));
        CPPUNIT_ASSERT(answer.find("/slow3") < answer.find("/4"));
    }

    void requestsAfterAClosingAnswerAreDropped()
    {
        auto limits = EchoServer::limits();
        limits.pipelineDepth_ = 8;
        const EchoServer server(limits);
        const std::string answer
            = talk(server,
                   "GET /slow1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
                   "GET /2 HTTP/1.1\r\nHost: h\r\n\r\n",
                   false);
        CPPUNIT_ASSERT_EQUAL(1, count(answer, "HTTP/1.1 200"));
        CPPUNIT_ASSERT(answer.find("Connection: close") != std::string::npos);
    }

    // Guards against discarding, at a planned stop, the answers to pipelined requests that targets
    // are processing.
    void leavingServerAnswersAllPipelinedRequests()
    {
        auto limits = EchoServer::limits();
        limits.pipelineDepth_ = 8;
        EchoServer server(limits);
        server.leaveDuring(3);
        const std::string answers = talk(server,
                                         "GET /slow1 HTTP/1.1\r\nHost: h\r\n\r\n"
                                         "GET /slow2 HTTP/1.1\r\nHost: h\r\n\r\n"
                                         "GET /slow3 HTTP/1.1\r\nHost: h\r\n\r\n",
                                         false);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answers, 3, count(answers, "HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(1, count(answers, "Connection: close"));
        CPPUNIT_ASSERT(answers.find("/slow2") < answers.find("Connection: close"));
    }

    // Guards against a planned stop that waits for a caller that never stops pipelining.
    void leavingServerReadsNoEndlessPipeline()
    {
        auto limits = EchoServer::limits();
        limits.pipelineDepth_ = 8;
        EchoServer server(limits);
        std::string requests;
        constexpr int sent = 100;
        for (int i = 0; i < sent; ++i)
            requests += "GET /slow" + std::to_string(i) + " HTTP/1.1\r\nHost: h\r\n\r\n";
        server.leaveDuring(8);
        const int answered = count(talk(server, requests, false), "HTTP/1.1 200");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(answered), answered >= 8 && answered <= 9);
    }

    // Guards against an answer without keep-alive that discards the requests passed on behind it.
    void answerThatClosesWaitsForThoseBehindIt()
    {
        auto limits = EchoServer::limits();
        limits.pipelineDepth_ = 8;
        const EchoServer server(limits);
        const std::string answers = talk(server,
                                         "GET /slow/close HTTP/1.1\r\nHost: h\r\n\r\n"
                                         "GET /slow2 HTTP/1.1\r\nHost: h\r\n\r\n",
                                         false);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answers, 2, count(answers, "HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(1, count(answers, "Connection: close"));
        CPPUNIT_ASSERT(answers.find("/slow/close") < answers.find("Connection: close"));
    }

    void halfClosedCallerGetsItsAnswer()
    {
        const EchoServer server;
        const std::string answer = talk(server, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", true);
        CPPUNIT_ASSERT(answer.find("GET /x 0") != std::string::npos);
    }

    void chunkedBodyIsRead()
    {
        const EchoServer server;
        const std::string answer
            = talk(server,
                   "POST /x HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
                   "Connection: close\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\n\r\n",
                   false);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("POST /x 8") != std::string::npos);
    }

    void expect100ContinueIsAnswered()
    {
        const EchoServer server;
        const std::string answer = talk(server, expectingHead + "Connection: close\r\n\r\n", false,
                                        {{"HTTP/1.1 100", "abc"}});
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 100"));
        CPPUNIT_ASSERT_EQUAL(2, count(answer, "HTTP/1.1 "));
        CPPUNIT_ASSERT(answer.find("POST /x 3") != std::string::npos);
    }

    void interimAnswerIsLeftOutWhereTheBodyHasBegun()
    {
        const EchoServer server;
        const std::string answer
            = talk(server, expectingHead + "Connection: close\r\n\r\nabc", false);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT_EQUAL(1, count(answer, "HTTP/1.1 "));
        CPPUNIT_ASSERT(answer.find("POST /x 3") != std::string::npos);
    }

    // Guards against inviting a body that is then refused.
    void refusedHeadGetsNoInterimAnswer()
    {
        const EchoServer server;
        const std::string answer = talk(server,
                                        "POST /x HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n"
                                        "Expect: 100-continue\r\n\r\n",
                                        false);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 413"));
        CPPUNIT_ASSERT_EQUAL(1, count(answer, "HTTP/1.1 "));
    }

    // Guards against refusing a caller as too slow that waits for its interim answer behind an
    // earlier request.
    void waitForTheInterimAnswerIsNotTheCallersTime()
    {
        auto limits = EchoServer::limits();
        limits.pipelineDepth_ = 8;
        limits.request_ = Milliseconds(100);
        const EchoServer server(limits);
        const std::string answers = talk(server,
                                         "GET /slow1 HTTP/1.1\r\nHost: h\r\n\r\n" + expectingHead
                                             + "Connection: close\r\n\r\n",
                                         false, {{"HTTP/1.1 100", "abc"}});
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answers, 2, count(answers, "HTTP/1.1 200"));
        CPPUNIT_ASSERT(answers.find("/slow1") < answers.find("HTTP/1.1 100"));
        CPPUNIT_ASSERT(answers.find("HTTP/1.1 100") < answers.find("POST /x 3"));
    }

    void bodyThatNeverFollowsTheInterimAnswerIsTooSlow()
    {
        const EchoServer server;
        const auto begun = std::chrono::steady_clock::now();
        const std::string answers = talk(server, expectingHead + "\r\n", false);
        CPPUNIT_ASSERT_MESSAGE(answers, answers.starts_with("HTTP/1.1 100"));
        CPPUNIT_ASSERT(answers.find("Cassiacrank-Code: 105") != std::string::npos);
        CPPUNIT_ASSERT(std::chrono::steady_clock::now() - begun < Milliseconds(1500));
    }

    // Guards against request smuggling: a caller states the body's length in two ways, or in a way
    // that parsers interpret differently, and the server picks one of them.
    void ambiguousRequestsAreRefusedAndTheConnectionCloses()
    {
        const EchoServer server;
        struct Case
        {
            std::string head_;
            std::string code_;
        };
        const std::vector<Case> cases = {
            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
             "102"},
            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
             "chunked\r\n\r\n",
             "102"},
            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: "
             "3\r\n\r\n",
             "102"},
            {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
             "102"},
            {"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "102"},
            {"GET / HTTP/1.1\r\n\r\n", "106"},
            {"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", "106"},
            {"GET / HTTP/1.1\r\nHost: h\r\nX: " + std::string(3000, 'x') + "\r\n\r\n", "103"},
            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n", "104"},
            {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nExpect: 200-ok\r\n\r\n", "112"},
            {"GET  / HTTP/1.1\r\nHost h\r\n\r\n", "101"},
            {"\x16\x03\x01\r\n\r\n", "101"},
        };
        for (const auto &item : cases) {
            const std::string answer = talk(server, item.head_, false);
            CPPUNIT_ASSERT_MESSAGE(item.head_ + "\n" + answer,
                                   answer.find("Cassiacrank-Code: " + item.code_ + "\r\n")
                                       != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(1, count(answer, "HTTP/1.1 4"));
        }
    }

    void slowBodyIsRefused()
    {
        const EchoServer server;
        const std::string answer
            = talk(server, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc", false);
        CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Cassiacrank-Code: 105") != std::string::npos);
    }

    void headGetsNoBody()
    {
        const EchoServer server;
        const std::string answer
            = talk(server, "HEAD /x HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false);
        CPPUNIT_ASSERT(answer.ends_with("\r\n\r\n"));
    }

    void randomBytesNeverBreakTheServer()
    {
        const EchoServer server;
        Support::assertProperty("the server still answers after arbitrary bytes", [&] {
            const auto bytes = *rc::gen::container<std::string>(
                rc::gen::elementOf(std::string("GET /POST HTTP/1.1\r\n:Host-Length0123 \x00\xff")));
            talk(server, bytes, true);
            const std::string answer = talk(server, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n", true);
            RC_ASSERT(answer.find("GET /x 0") != std::string::npos);
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestServer);
