#include <LibHttp/LibHttp.h>
#include <Support/Property.h>
#include <boost/asio/read_until.hpp>

#include <future>
#include <thread>

namespace {

using Http::tcp;
using Model::Milliseconds;
using Model::ResultCode;

constexpr std::size_t megabyte = 1024 * 1024;

/// A server on a separate thread whose answers have as many bytes as the path says.
class SizedServer
{
public:
    explicit SizedServer(std::size_t byteLimit, std::size_t connectionLimit = 1000)
        : server_(context_, limits(), [this](Http::IncomingRequest request) {
            return answer(std::move(request));
        })
    {
        Http::ServerBounds bounds;
        bounds.mayHold_ = [this, byteLimit](std::size_t more) {
            return server_.heldBytes() + more <= byteLimit;
        };
        bounds.mayOpen_ = [this, connectionLimit] {
            return server_.openSessions() < connectionLimit;
        };
        bounds.onRefused_ = [this](ResultCode code) {
            refused_.push_back(code);
        };
        bounds.lingeringRefusals_ = 3;
        server_.setBounds(bounds);
        for (std::uint16_t port = 23000; port < 24000; ++port) {
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

    ~SizedServer()
    {
        context_.stop();
        thread_.join();
    }

    static Http::ServerLimits limits()
    {
        Http::ServerLimits limits;
        limits.idle_ = Milliseconds(20000);
        limits.request_ = Milliseconds(20000);
        limits.pipelineDepth_ = 16;
        return limits;
    }

    Http::Task<Http::Response> answer(Http::IncomingRequest request)
    {
        ++handled_;
        const std::string path(request.message_.target());
        if (keepsRequests_)
            kept_.push_back(request);
        std::string body(std::stoul("0" + path.substr(1)), 'x');
        co_return Http::textAnswer(Http::http::status::ok, "text/plain", std::move(body), 11);
    }

    /// Returns what \a read returns on the server's thread.
    template <typename Read>
    std::size_t ask(Read read)
    {
        std::promise<std::size_t> result;
        Http::asio::post(context_, [&] {
            result.set_value(read());
        });
        return result.get_future().get();
    }
    std::size_t held()
    {
        return ask([this] {
            return server_.heldBytes();
        });
    }
    std::size_t handled()
    {
        return ask([this] {
            return handled_;
        });
    }
    std::size_t sessions()
    {
        return ask([this] {
            return server_.openSessions();
        });
    }
    /// Waits until \a isTrue, for at most 5 s.
    template <typename Condition>
    static bool waitUntil(Condition isTrue)
    {
        const auto end = std::chrono::steady_clock::now() + Milliseconds(5000);
        while (!isTrue() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(Milliseconds(2));
        return isTrue();
    }

    Http::asio::io_context context_{1};
    Http::Server server_;
    Model::Address address_;
    std::size_t handled_ = 0;
    bool keepsRequests_ = false;
    std::vector<Http::IncomingRequest> kept_;
    std::vector<ResultCode> refused_;
    std::thread thread_;
};

/// A caller whose receive buffer is small, so that unread answers wait at the server.
class Caller
{
public:
    explicit Caller(const SizedServer &server)
    {
        socket_.open(tcp::v4());
        socket_.set_option(Http::asio::socket_base::receive_buffer_size(4096));
        socket_.connect(Http::endpointOf(server.address_));
    }
    void send(const std::string &text) { Http::asio::write(socket_, Http::asio::buffer(text)); }
    void ask(std::size_t bytes, const std::string &fields = "")
    {
        send("GET /" + std::to_string(bytes) + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
    }
    /// Reads until \a end has arrived.
    std::string readUntil(const std::string &end)
    {
        std::string text;
        Http::asio::read_until(socket_, Http::asio::dynamic_buffer(text), end);
        return text;
    }
    /// Reads until the server closes the connection.
    std::string readAll()
    {
        std::string text;
        Http::ErrorCode error;
        std::vector<char> buffer(65536);
        while (!error) {
            const auto received = socket_.read_some(Http::asio::buffer(buffer), error);
            text.append(buffer.data(), received);
        }
        return text;
    }
    void close() { socket_.close(); }

private:
    Http::asio::io_context context_;
    tcp::socket socket_{context_};
};

bool hasCode(const std::string &answer, int code)
{
    return answer.find("Cassiacrank-Code: " + std::to_string(code) + "\r\n") != std::string::npos;
}

class TestServerBounds : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestServerBounds);
    CPPUNIT_TEST(answersThatAreNotReadCountAndBlockFurtherRequests);
    CPPUNIT_TEST(requestBodiesCountFromTheirHead);
    CPPUNIT_TEST(chunkedBodiesCountAsTheyArrive);
    CPPUNIT_TEST(requestCountsUntilItsHandlerReleasesIt);
    CPPUNIT_TEST(callerThatNeverSendsItsExpectedBodyTakesNoRoom);
    CPPUNIT_TEST(interimAnswerFollowsTheAnswerThatIsBeingWritten);
    CPPUNIT_TEST(callerThatPipelinesWithoutReadingIsNotReadFrom);
    CPPUNIT_TEST(connectionsBeyondTheBoundAreRefused);
    CPPUNIT_TEST(requestBehindTheLastAnswerIsNotHandled);
    CPPUNIT_TEST(heldBytesReturnToZero);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against running out of memory where callers do not read large answers.
    void answersThatAreNotReadCountAndBlockFurtherRequests()
    {
        SizedServer server(20 * megabyte);
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t i = 1; i <= 3; ++i) {
            callers.push_back(std::make_unique<Caller>(server));
            callers.back()->ask(8 * megabyte, "Connection: close\r\n");
            CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
                return server.held() >= i * 8 * megabyte;
            }));
        }
        Caller late(server);
        late.ask(10);
        CPPUNIT_ASSERT(hasCode(late.readAll(), 215));
        CPPUNIT_ASSERT_EQUAL(std::size_t(3), server.handled());
        // An answer that is ready is delivered, also beyond the bound.
        for (const auto &caller : callers)
            CPPUNIT_ASSERT(caller->readAll().size() > 8 * megabyte);
        CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
            return server.held() == 0;
        }));
        Caller next(server);
        next.ask(10, "Connection: close\r\n");
        CPPUNIT_ASSERT(next.readAll().starts_with("HTTP/1.1 200"));
    }

    // Guards against counting a body only once it is complete: callers that send slowly together
    // exceed the bound.
    void requestBodiesCountFromTheirHead()
    {
        SizedServer server(3 * 500000 + 5000);
        const std::string head = "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 500000\r\n\r\nabc";
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t i = 1; i <= 3; ++i) {
            callers.push_back(std::make_unique<Caller>(server));
            callers.back()->send(head);
            CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
                return server.held() > i * 500000;
            }));
        }
        Caller late(server);
        late.send(head);
        CPPUNIT_ASSERT(hasCode(late.readAll(), 215));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.handled());
        for (const auto &caller : callers)
            caller->close();
        CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
            return server.held() == 0;
        }));
    }

    // The same for bodies without a length.
    void chunkedBodiesCountAsTheyArrive()
    {
        SizedServer server(100000);
        const std::string chunk = "c350\r\n" + std::string(50000, 'x') + "\r\n";
        const std::string head
            = "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
        Caller first(server);
        first.send(head + chunk);
        CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
            return server.held() >= 50000;
        }));
        Caller second(server);
        second.send(head + chunk);
        CPPUNIT_ASSERT(hasCode(second.readAll(), 215));
        first.close();
        CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
            return server.held() == 0;
        }));
    }

    // Guards against a body that is no longer counted while an attempt that was overtaken by
    // another one still holds it.
    void requestCountsUntilItsHandlerReleasesIt()
    {
        SizedServer server(megabyte);
        server.keepsRequests_ = true;
        Caller caller(server);
        caller.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n"
                    "Connection: close\r\n\r\n"
                    + std::string(50000, 'x'));
        CPPUNIT_ASSERT(caller.readAll().starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(server.held() >= 50000 && server.held() < 51000);
        server.ask([&] {
            server.kept_.clear();
            return std::size_t(0);
        });
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.held());
    }

    // Guards against callers that keep others out by announcing bodies that they never send.
    void callerThatNeverSendsItsExpectedBodyTakesNoRoom()
    {
        SizedServer server(100000);
        Caller waiting(server);
        waiting.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n"
                     "Expect: 100-continue\r\n\r\n");
        CPPUNIT_ASSERT(waiting.readUntil("\r\n\r\n").starts_with("HTTP/1.1 100"));
        Caller other(server);
        other.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n"
                   "Connection: close\r\n\r\n"
                   + std::string(90000, 'x'));
        CPPUNIT_ASSERT(other.readAll().starts_with("HTTP/1.1 200"));
        Caller refused(server);
        refused.send("POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 110000\r\n"
                     "Expect: 100-continue\r\n\r\n");
        const std::string answer = refused.readAll();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503") && hasCode(answer, 215));
    }

    // Guards against an interim answer inside an earlier answer that its caller reads slowly: two
    // writes on one stream end the process.
    void interimAnswerFollowsTheAnswerThatIsBeingWritten()
    {
        constexpr std::size_t size = 8 * megabyte;
        SizedServer server(100 * megabyte);
        Caller caller(server);
        caller.ask(size);
        CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
            return server.held() >= size;
        }));
        caller.send("PUT /5 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n"
                    "Expect: 100-continue\r\nConnection: close\r\n\r\n");
        std::this_thread::sleep_for(Milliseconds(200));
        const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
        const std::string first = caller.readUntil(interim);
        CPPUNIT_ASSERT(first.ends_with(std::string(size, 'x') + interim));
        CPPUNIT_ASSERT(first.starts_with("HTTP/1.1 200"));
        caller.send("abc");
        const std::string second = caller.readAll();
        CPPUNIT_ASSERT_MESSAGE(second, second.starts_with("HTTP/1.1 200"));
        CPPUNIT_ASSERT(second.ends_with("xxxxx"));
    }

    // Guards against a caller that fills the memory over one connection.
    void callerThatPipelinesWithoutReadingIsNotReadFrom()
    {
        SizedServer server(1000 * megabyte);
        Caller caller(server);
        constexpr std::size_t requests = 40;
        for (std::size_t i = 0; i < requests; ++i)
            caller.ask(4 * megabyte, i + 1 == requests ? "Connection: close\r\n" : "");
        std::this_thread::sleep_for(Milliseconds(500));
        const std::size_t handled = server.handled();
        const std::size_t held = server.held();
        CPPUNIT_ASSERT_MESSAGE(std::to_string(handled), handled >= 1 && handled <= 5);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(held), held <= 9 * megabyte);
        const std::string answers = caller.readAll();
        CPPUNIT_ASSERT_EQUAL(requests, server.handled());
        CPPUNIT_ASSERT(answers.size() > requests * 4 * megabyte);
        CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
            return server.held() == 0;
        }));
    }

    // Guards against running out of descriptors, after which not even a refusal can be sent.
    void connectionsBeyondTheBoundAreRefused()
    {
        SizedServer server(megabyte, 4);
        std::vector<std::unique_ptr<Caller>> callers;
        for (std::size_t i = 1; i <= 4; ++i) {
            callers.push_back(std::make_unique<Caller>(server));
            CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
                return server.sessions() == i;
            }));
        }
        Caller late(server);
        late.ask(1);
        const std::string answer = late.readAll();
        CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503") && hasCode(answer, 216));
        CPPUNIT_ASSERT_EQUAL(std::size_t(0), server.handled());
        late.close();
        callers.pop_back();
        CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
            return server.sessions() == 3;
        }));
        Caller next(server);
        next.ask(1, "Connection: close\r\n");
        CPPUNIT_ASSERT(next.readAll().starts_with("HTTP/1.1 200"));
    }

    // Guards against handling a request that is read while the answer that announces the close is
    // being written: its own answer would be discarded.
    void requestBehindTheLastAnswerIsNotHandled()
    {
        SizedServer server(100 * megabyte);
        server.ask([&] {
            server.server_.beginLeaving();
            return std::size_t(0);
        });
        Caller caller(server);
        caller.ask(8 * megabyte);
        CPPUNIT_ASSERT(SizedServer::waitUntil([&] {
            return server.held() >= 8 * megabyte;
        }));
        caller.ask(10);
        std::this_thread::sleep_for(Milliseconds(200));
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.handled());
        const std::string answers = caller.readAll();
        CPPUNIT_ASSERT(answers.size() > 8 * megabyte);
        CPPUNIT_ASSERT(answers.substr(0, 1000).find("Connection: close") != std::string::npos);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), server.handled());
    }

    // Guards against bytes that stay counted, or are released twice, where a connection ends in the
    // middle of a request or of an answer.
    void heldBytesReturnToZero()
    {
        SizedServer server(4 * megabyte);
        Support::assertProperty("held bytes return to zero after any use", [&] {
            const std::vector<std::string> parts = {
                "GET /100 HTTP/1.1\r\nHost: h\r\n\r\n",
                "GET /3000000 HTTP/1.1\r\nHost: h\r\n\r\n",
                "HEAD /3000000 HTTP/1.1\r\nHost: h\r\n\r\n",
                "POST /7 HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc",
                "POST /7 HTTP/1.1\r\nHost: h\r\nContent-Length: 900000\r\n\r\nabc",
                "POST /7 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
                "0\r\n\r\n",
                "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
                "nonsense\r\n\r\n",
            };
            const auto plans = *rc::gen::resize(
                6, rc::gen::container<std::vector<std::vector<std::string>>>(
                       rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(parts))));
            std::vector<std::unique_ptr<Caller>> callers;
            for (const auto &plan : plans) {
                callers.push_back(std::make_unique<Caller>(server));
                try {
                    for (const auto &part : plan)
                        callers.back()->send(part);
                } catch (const boost::system::system_error &) {
                    // The server has closed the connection.
                }
            }
            RC_ASSERT(server.held() < 100 * megabyte);
            callers.clear();
            RC_ASSERT(SizedServer::waitUntil([&] {
                return server.held() == 0 && server.sessions() == 0;
            }));
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestServerBounds);
