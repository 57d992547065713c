#include <LibHttp/LibHttp.h>
#include <Support/Property.h>

namespace {

using Model::Microseconds;
using Model::Milliseconds;
namespace http = Http::http;

constexpr Model::WallTime now{std::chrono::hours(24 * 365)};

std::optional<Microseconds> waitIn(const std::string &text, const std::string &date = "")
{
    Http::Response answer;
    answer.set(http::field::retry_after, text);
    if (!date.empty())
        answer.set(http::field::date, date);
    return Http::retryAfterIn(answer, now);
}

class TestRetryAfter : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRetryAfter);
    CPPUNIT_TEST(secondsMayHaveAFraction);
    CPPUNIT_TEST(datesAreRelativeToTheSendersClock);
    CPPUNIT_TEST(unreadableWaitsAreRefused);
    CPPUNIT_TEST(longestOfSeveralFieldsCounts);
    CPPUNIT_TEST(randomTextsStayWithinTheBounds);
    CPPUNIT_TEST_SUITE_END();

public:
    void secondsMayHaveAFraction()
    {
        CPPUNIT_ASSERT(Http::retryAfterIn({}, now) == Microseconds(0));
        CPPUNIT_ASSERT(waitIn("3") == Milliseconds(3000));
        CPPUNIT_ASSERT(waitIn("0.25") == Milliseconds(250));
        CPPUNIT_ASSERT(waitIn("0") == Microseconds(0));
        CPPUNIT_ASSERT(waitIn("1e300") == Http::maxRetryAfter);
    }

    // Guards against a wait that depends on the difference between two clocks.
    void datesAreRelativeToTheSendersClock()
    {
        CPPUNIT_ASSERT(waitIn("Sun, 06 Nov 1994 08:49:40 GMT", "Sun, 06 Nov 1994 08:49:37 GMT")
                       == Milliseconds(3000));
        CPPUNIT_ASSERT(waitIn("Sun, 06 Nov 1994 08:49:37 GMT", "Sun, 06 Nov 1994 08:49:40 GMT")
                       == Microseconds(0));
        // A year after the epoch, by the receiver's clock.
        CPPUNIT_ASSERT(waitIn("Fri, 01 Jan 1971 00:00:05 GMT") == Milliseconds(5000));
    }

    void unreadableWaitsAreRefused()
    {
        for (const std::string text :
             {"", "-1", "-0.5", "nan", "inf", "3s", "3, 5", "soon", "1e999", "Sun, 06 Nov 1994",
              "Sun, 06 Nov 1994 08:49:37 GMT+1"}) {
            CPPUNIT_ASSERT_MESSAGE(text, !waitIn(text));
            CPPUNIT_ASSERT(Model::lastReason().code_ == Model::ResultCode::BadValue);
        }
    }

    void longestOfSeveralFieldsCounts()
    {
        Http::Response answer;
        answer.insert(http::field::retry_after, "2");
        answer.insert(http::field::retry_after, "soon");
        answer.insert(http::field::retry_after, "4.5");
        CPPUNIT_ASSERT(Http::retryAfterIn(answer, now) == Milliseconds(4500));
    }

    void randomTextsStayWithinTheBounds()
    {
        Support::assertProperty("any text is refused or a wait within the bounds", [] {
            const auto text = *rc::gen::container<std::string>(
                rc::gen::elementOf(std::string("0123456789.e+- ,:GMTSunNov")));
            const auto wait = waitIn(text);
            RC_ASSERT(!wait || (*wait >= Microseconds(0) && *wait <= Http::maxRetryAfter));
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestRetryAfter);
