#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>
#include <fstream>
#include <map>
#include <sstream>

namespace {

using Model::Milliseconds;

/// The way between the regions farthest apart.
constexpr Milliseconds wayToTarget{55};
/// A process whose processor share is a quota may wait this long for the next period.
constexpr Milliseconds processorWait{100};

class TestLeaveSpans : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestLeaveSpans);
    CPPUNIT_TEST(leaveIsInForceInTimeOnEveryPath);
    CPPUNIT_TEST(requestArrivesInTimeOnEveryPath);
    CPPUNIT_TEST(pageHasTheLimitsOfTheCode);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against consecutive time limits that are within the bound but exceed it in sum.
    void leaveIsInForceInTimeOnEveryPath()
    {
        const auto assertWithin = [](Milliseconds bound, Milliseconds sum) {
            CPPUNIT_ASSERT_MESSAGE(std::to_string(sum.count()), sum <= bound);
        };
        assertWithin(Policy::leaveBound, Policy::totalLimit(Policy::leavePathByLocalCall()));
        assertWithin(Policy::leaveBound, Policy::totalLimit(Policy::leavePathByNewCall()));
        assertWithin(Policy::leaveBound,
                     Policy::totalLimit(Policy::leavePathWithoutAnnouncement()));
        assertWithin(Policy::leaveBoundInLargeFleet,
                     Policy::totalLimit(Policy::leavePathByPeers()));
        assertWithin(Policy::leaveBound, Policy::totalLimit(Policy::leavePathByProbes()));
    }

    // Guards against sums that leave no time for the request to reach a target in another region,
    // nor for a process that waits for its share of the processor.
    void requestArrivesInTimeOnEveryPath()
    {
        const auto assertArrives
            = [](Milliseconds bound, const std::vector<Policy::LeaveSpan> &path) {
                  std::map<std::string_view, Milliseconds> limits;
                  for (const auto &span : path)
                      limits[span.name_] += span.limit_;
                  CPPUNIT_ASSERT(limits["way"] >= wayToTarget);
                  CPPUNIT_ASSERT(limits["processor"] >= processorWait);
                  const auto sum = Policy::totalLimit(path);
                  CPPUNIT_ASSERT_MESSAGE(std::to_string(sum.count()), sum <= bound);
              };
        assertArrives(Policy::leaveBound, Policy::leavePathByLocalCall());
        assertArrives(Policy::leaveBound, Policy::leavePathByNewCall());
        assertArrives(Policy::leaveBound, Policy::leavePathWithoutAnnouncement());
        assertArrives(Policy::leaveBoundInLargeFleet, Policy::leavePathByPeers());
        assertArrives(Policy::leaveBound, Policy::leavePathByAnswer());
        assertArrives(Policy::leaveBound, Policy::leavePathByProbes());
    }

    // Guards against a page whose limits differ from those of the code.
    void pageHasTheLimitsOfTheCode()
    {
        std::ifstream file(std::string(CASSIACRANK_SOURCE) + "/docs/design/leaving-targets.md");
        std::ostringstream page;
        page << file.rdbuf();
        const auto assertOnPage
            = [&](const std::string &name, const std::vector<Policy::LeaveSpan> &path) {
                  std::string line = "| " + name + " | ";
                  for (const auto &span : path) {
                      line += (&span == path.data() ? "" : " + ") + std::string(span.name_) + " "
                              + std::to_string(span.limit_.count());
                  }
                  line += " | " + std::to_string(Policy::totalLimit(path).count()) + " |";
                  CPPUNIT_ASSERT_MESSAGE(line, page.str().find(line) != std::string::npos);
              };
        assertOnPage("own call", Policy::leavePathByLocalCall());
        assertOnPage("new call", Policy::leavePathByNewCall());
        assertOnPage("unannounced leaves", Policy::leavePathWithoutAnnouncement());
        assertOnPage("peers", Policy::leavePathByPeers());
        assertOnPage("answers", Policy::leavePathByAnswer());
        assertOnPage("probes", Policy::leavePathByProbes());
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestLeaveSpans);
