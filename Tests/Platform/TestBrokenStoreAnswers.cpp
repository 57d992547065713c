#include <Support/AnswerHeads.h>
#include <Support/Property.h>
#include <Support/RawPeer.h>
#include <platform/StoreRows.h>

namespace {

using Model::Milliseconds;
using Steering::StoreTable;
using Support::HeadKind;
using Support::resultOf;

/// A store that answers every call with the same bytes.
struct StoreFixture
{
    explicit StoreFixture(const std::string &bytes)
        : peer_(context_, Support::inTurn({{bytes}}))
    {
        store_.address_ = peer_.address();
        store_.pool_ = &pool_;
    }

    Http::asio::io_context context_;
    Http::ConnectionPool pool_{context_};
    Platform::Store store_;
    Support::RawPeer peer_;
};

class TestBrokenStoreAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestBrokenStoreAnswers);
    CPPUNIT_TEST(callsTakeNoBrokenAnswer);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against rows, changes and confirmations taken from an answer that is not valid HTTP.
    void callsTakeNoBrokenAnswer()
    {
        const std::string body = R"({"ver":7,"rows":[]})";
        const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto &head : Support::answerHeads(length)) {
            StoreFixture fixture(head.text_ + "\r\n" + body);
            Platform::Store &store = fixture.store_;
            Http::ExchangeControl control;
            const bool isOk
                = head.kind_ == HeadKind::Final && head.text_.starts_with("HTTP/1.1 200");
            const auto rows
                = resultOf(fixture.context_, Adapter::readAll(store, StoreTable::Targets));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, isOk, rows.has_value());
            const auto changes
                = resultOf(fixture.context_,
                           Adapter::awaitChanges(store, StoreTable::Operators,
                                                 Platform::Revision(5), Milliseconds(10), control));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, isOk, changes.has_value());
            const bool isWritten = resultOf(
                fixture.context_, Adapter::writeInstance(store, "i", std::string("record")));
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, isOk, isWritten);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestBrokenStoreAnswers);
