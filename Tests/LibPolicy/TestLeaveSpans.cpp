#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>
#include <fstream>
#include <sstream>

namespace {

using Model::Milliseconds;

class TestLeaveSpans : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLeaveSpans);
    CPPUNIT_TEST(leaveIsInForceInTimeOnEveryWay);
    CPPUNIT_TEST(pageHasTheSpansOfTheCode);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against consecutive time limits that are within the bound but exceed it in sum.
    void leaveIsInForceInTimeOnEveryWay()
    {
        const auto assertWithin = [](Milliseconds bound, Milliseconds sum) {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sum.count()), sum <= bound);
        };
        assertWithin(Policy::leaveBound, Policy::sumOf(Policy::wayByOwnCall()));
        assertWithin(Policy::leaveBound, Policy::sumOf(Policy::wayByNewCall()));
        assertWithin(Policy::leaveBound, Policy::sumOf(Policy::wayOfUnannouncedLeaves()));
        assertWithin(Policy::leaveBoundInLargeFleet, Policy::sumOf(Policy::wayByPeers()));
        assertWithin(Policy::leaveBound, Policy::sumOf(Policy::wayByProbes()));
    }

    // Guards against a page whose limits differ from those of the code.
    void pageHasTheSpansOfTheCode()
    {
        std::ifstream file(std::string(CASSIACRANK_SOURCE) + "/docs/design/leaving-targets.md");
        std::ostringstream page;
        page << file.rdbuf();
        const auto assertOnPage
            = [&](const std::string &name, const std::vector<Policy::LeaveSpan> &way) {
                  std::string line = "| " + name + " | ";
                  for (const auto &span : way) {
                      line += (&span == way.data() ? "" : " + ") + std::string(span.name_) + " "
                              + std::to_string(span.longest_.count());
                  }
                  line += " | " + std::to_string(Policy::sumOf(way).count()) + " |";
                  CPPUNIT_ASSERT_MESSAGE(line, page.str().find(line) != std::string::npos);
              };
        assertOnPage("own call", Policy::wayByOwnCall());
        assertOnPage("new call", Policy::wayByNewCall());
        assertOnPage("unannounced leaves", Policy::wayOfUnannouncedLeaves());
        assertOnPage("peers", Policy::wayByPeers());
        assertOnPage("probes", Policy::wayByProbes());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeaveSpans);
