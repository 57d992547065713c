#include <LibModel/LibModel.h>
#include <Support/Property.h>
#include <fstream>
#include <sstream>

namespace {

class TestResultCode : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestResultCode);
    CPPUNIT_TEST(pageListsExactlyTheCodes);
    CPPUNIT_TEST(timesRoundTrip);
    CPPUNIT_TEST(addressesRoundTrip);
    CPPUNIT_TEST_SUITE_END();

public:
    void pageListsExactlyTheCodes()
    {
        std::ifstream file(CASSIACRANK_SOURCE "/docs/result-codes.md");
        std::ostringstream page;
        page << file.rdbuf();
        std::string expected;
        for (const auto &info : Model::resultCodes()) {
            expected += "| " + std::to_string(number(info.code_)) + " | " + std::string(info.name_)
                        + " | " + std::string(info.meaning_) + " |\n";
        }
        CPPUNIT_ASSERT_MESSAGE(expected, page.str().find(expected) != std::string::npos);
    }

    void timesRoundTrip()
    {
        Support::assertProperty("a time survives its text", [] {
            const Model::WallTime time{
                Model::Milliseconds(*rc::gen::inRange(0LL, 4000000000000LL))};
            RC_ASSERT(Model::timeFromText(Model::toText(time)) == time);
        });
        for (const char *text : {"", "yesterday", "2026-12-02", "2026-12-02T18:00:00"})
            CPPUNIT_ASSERT(!Model::timeFromText(text));
    }

    void addressesRoundTrip()
    {
        for (const char *text : {"127.0.0.1:80", "[2001:db8::1]:443"})
            CPPUNIT_ASSERT_EQUAL(std::string(text), Model::toText(*Model::addressFromText(text)));
        for (const char *text :
             {"localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:99999", ":1"})
            CPPUNIT_ASSERT(!Model::addressFromText(text));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestResultCode);
