#include "ScriptedPeer.h"

#include <Support/Property.h>

namespace {

using HttpStandIns::exchangeWith;
using HttpStandIns::ScriptedPeer;
using Model::ResultCode;

class TestCutHeads : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestCutHeads);
    CPPUNIT_TEST(answerThatEndsInItsHeadIsNeverPassedOn);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Sends each beginning of \a head and closes; no exchange may have an answer.
    static void expectNoAnswer(const std::string &head, bool acceptsUnframed)
    {
        std::vector<std::string> beginnings;
        for (std::size_t length = 1; length < head.size(); ++length)
            beginnings.push_back(head.substr(0, length));
        const ScriptedPeer peer(beginnings);
        Http::ExchangeOptions options;
        options.acceptsUnframed_ = acceptsUnframed;
        for (const auto &beginning : beginnings) {
            const auto result = exchangeWith(peer.address(), options);
            CPPUNIT_ASSERT_MESSAGE(beginning, !result.answer_);
            CPPUNIT_ASSERT_MESSAGE(beginning, result.stage_ == Http::ExchangeStage::Sent);
            CPPUNIT_ASSERT_MESSAGE(beginning,
                                   result.code_ == ResultCode::TruncatedAnswer
                                       || result.code_ == ResultCode::TargetConnectionLost);
        }
    }

    // Guards against a success with an empty or short body made of a head that stops midway, such
    // as in front of or within its length.
    void answerThatEndsInItsHeadIsNeverPassedOn()
    {
        for (const bool acceptsUnframed : {false, true}) {
            for (const char *framing : {"Content-Length: 120\r\n", "Transfer-Encoding: chunked\r\n",
                                        "Content-Length: 0\r\n", "Connection: close\r\n"}) {
                expectNoAnswer(std::string("HTTP/1.1 200 OK\r\nCassiacrank-Request-Id: mine\r\n")
                                   + framing + "X-Further: text\r\n\r\n",
                               acceptsUnframed);
            }
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestCutHeads);
