#include "SizedServer.h"

#include <Support/Property.h>

namespace {

using HttpStandIns::Caller;
using HttpStandIns::megabyte;
using HttpStandIns::SizedServer;
using Model::Milliseconds;

class TestUnreadAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestUnreadAnswers);
    CPPUNIT_TEST(interimAnswerFollowsTheAnswerThatIsBeingWritten);
    CPPUNIT_TEST(requestBehindTheLastAnswerIsNotHandled);
    CPPUNIT_TEST_SUITE_END();

public:
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
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestUnreadAnswers);
