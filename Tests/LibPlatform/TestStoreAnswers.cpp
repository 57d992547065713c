#include <LibPlatform/LibPlatform.h>
#include <Support/AnswerHeads.h>
#include <Support/Property.h>
#include <Support/RawPeer.h>

namespace {

using Model::ResultCode;
using Support::HeadKind;

/// A store that answers every call with the same head.
struct StoreFixture
{
    explicit StoreFixture(const std::string &head, const std::string &body)
        : peer_(context_, Support::inTurn({{head + "\r\n" + body}}))
    {
        store_.address_ = peer_.address();
        store_.pool_ = &pool_;
    }

    Http::asio::io_context context_;
    Http::ConnectionPool pool_{context_};
    Platform::Store store_;
    Support::RawPeer peer_;
};

class TestStoreAnswers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestStoreAnswers);
    CPPUNIT_TEST(brokenAnswerIsNoRead);
    CPPUNIT_TEST(brokenAnswerLeavesACommitUnknown);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against rows read from an answer that is not valid HTTP.
    void brokenAnswerIsNoRead()
    {
        const std::string body = R"({"revision":7,"rows":[]})";
        const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto &head : Support::answerHeads(length)) {
            StoreFixture fixture(head.text_, body);
            const auto rows = Support::resultOf(
                fixture.context_, Platform::readRows(fixture.store_, "", Platform::Revision(0)));
            const bool isOk = head.text_.starts_with("HTTP/1.1 200");
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, head.kind_ == HeadKind::Final && isOk,
                                         rows.has_value());
            if (head.kind_ != HeadKind::Final) {
                CPPUNIT_ASSERT_MESSAGE(head.name_, Model::lastReason().code_
                                                       == ResultCode::PlatformUnreachable);
            }
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, 1, fixture.peer_.requests());
        }
    }

    // Guards against a commit that counts as done, or as not done, after such an answer.
    void brokenAnswerLeavesACommitUnknown()
    {
        const std::string body = R"({"revision":7})";
        const std::string length = "Content-Length: " + std::to_string(body.size()) + "\r\n";
        for (const auto &head : Support::answerHeads(length)) {
            if (head.kind_ == HeadKind::Final)
                continue;
            StoreFixture fixture(head.text_, body);
            const auto done = Support::resultOf(
                fixture.context_, Platform::commit(fixture.store_, Platform::Commit()));
            CPPUNIT_ASSERT_MESSAGE(head.name_, !done);
            CPPUNIT_ASSERT_MESSAGE(head.name_,
                                   Model::lastReason().code_ == ResultCode::CommitOutcomeUnknown);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(head.name_, 1, fixture.peer_.requests());
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestStoreAnswers);
