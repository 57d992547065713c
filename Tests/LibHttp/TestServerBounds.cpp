#include "SizedServer.h"

#include <Support/Property.h>

namespace {

using HttpStandIns::Caller;
using HttpStandIns::hasCode;
using HttpStandIns::megabyte;
using HttpStandIns::SizedServer;
using Model::Milliseconds;

class TestServerBounds : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestServerBounds);
    CPPUNIT_TEST(answersThatAreNotReadCountAndBlockFurtherRequests);
    CPPUNIT_TEST(requestBodiesCountFromTheirHead);
    CPPUNIT_TEST(chunkedBodiesCountAsTheyArrive);
    CPPUNIT_TEST(requestCountsUntilItsHandlerReleasesIt);
    CPPUNIT_TEST(callerThatNeverSendsItsExpectedBodyTakesNoRoom);
    CPPUNIT_TEST(callerThatPipelinesWithoutReadingIsNotReadFrom);
    CPPUNIT_TEST(connectionsBeyondTheBoundAreRefused);
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
