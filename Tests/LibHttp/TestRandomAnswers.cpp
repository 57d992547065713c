#include "ScriptedPeer.h"

#include <Support/Property.h>

namespace {

using HttpStandIns::exchangeWith;
using HttpStandIns::ScriptedPeer;
using Model::Milliseconds;
using Model::ResultCode;

class TestRandomAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRandomAnswers);
    CPPUNIT_TEST(randomBytesEndTheExchange);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against bytes that are no answer and keep an exchange from ending, or that become part
    // of an answer.
    void randomBytesEndTheExchange()
    {
        Support::assertProperty("an exchange ends and returns only what a head has announced", [] {
            const std::vector<std::string> parts = {
                "HTTP/1.1 200 OK\r\n",
                "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.0 204 No Content\r\n",
                "HTTP/9.9 999\r\n",
                "Cassiacrank-Request-Id: mine\r\n",
                "Cassiacrank-Request-Id: another's\r\n",
                "Content-Length: 3\r\n",
                "Content-Length: 18446744073709551615\r\n",
                "Transfer-Encoding: chunked\r\n",
                "Connection: close\r\n",
                "\r\n",
                "3\r\nabc\r\n",
                "ffffffffffffffff\r\n",
                "0;x=y\r\n",
                "0\r\nX: y\r\n\r\n",
                "abc",
                std::string("\0\xff", 2),
            };
            auto bytes = std::string(" ");
            for (const auto &part :
                 *rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(parts)))
                bytes += part;
            if (bytes.size() > 1)
                bytes.erase(0, 1);
            const ScriptedPeer peer({bytes});
            Http::ExchangeOptions options;
            options.acceptsUnframed_ = *rc::gen::arbitrary<bool>();
            const auto startedAt = std::chrono::steady_clock::now();
            const auto result = exchangeWith(peer.address(), options);
            RC_ASSERT(std::chrono::steady_clock::now() - startedAt < Milliseconds(2000));
            RC_ASSERT(result.stage_ != Http::ExchangeStage::NotConnected);
            RC_ASSERT(result.answer_.has_value() == (result.code_ == ResultCode::Ok));
            if (!result.answer_)
                return;
            const auto &answer = *result.answer_;
            RC_ASSERT(answer["Cassiacrank-Request-Id"] == "mine");
            RC_ASSERT(answer.count(Http::http::field::content_length) == 0
                      || answer.body().size() == 3 || answer.result_int() == 204);
            RC_ASSERT(answer.body().size() <= bytes.size());
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestRandomAnswers);
