#include "Fleet.h"
#include "Link.h"

#include <Support/Property.h>

namespace {

using Http::http::status;
using Model::Milliseconds;
using PlatformStandIns::Fleet;
using PlatformStandIns::FleetInstance;
using PlatformStandIns::Link;

/// Within this time of its acknowledgement a table is in force, on links of 10 Mbit/s too.
constexpr Milliseconds applyBound{4000};
constexpr std::size_t narrowBytesPerSecond = 10'000'000 / 8;
constexpr int manyRoutes = 8000;
constexpr std::size_t minTableBytes = 1'400'000;

class TestNarrowLinks : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestNarrowLinks);
    CPPUNIT_TEST(longTableFromTheStoreIsInForceInTime);
    CPPUNIT_TEST(longTableFromPeersIsInForceInTime);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Settings that lead an instance to its peers' control addresses over \a link.
    static std::string peersOver(Link &link, const Fleet &fleet)
    {
        std::string text = "[dial]\n";
        for (const auto &instance : fleet.instances_) {
            const Model::Address control{instance->host_, 8146};
            text += toText(control) + " = " + toText(link.to(control)) + "\n";
        }
        return text;
    }

    /// Adds routes twice in a row and checks that \a instance serves the last one.
    static void changeTwice(Fleet &fleet, const FleetInstance &instance, const Link &link)
    {
        fleet.setManyRoutes(manyRoutes / 2);
        fleet.configure(10);
        Harness::pause(Milliseconds(2000));
        fleet.setManyRoutes(manyRoutes);
        fleet.configure(14, "added");
        Harness::pause(applyBound);
        CPPUNIT_ASSERT(fleet.store_.value("op", "config")->size() > minTableBytes);
        const auto answer = fleet.send(instance, "added", "a1");
        CPPUNIT_ASSERT_MESSAGE(std::to_string(link.received()) + " bytes received",
                               answer && answer->result() == status::ok);
    }

    // Guards against a table that is never in force on a narrow link: the call to the store ends
    // while its answer is arriving, and the next one begins from the first byte.
    void longTableFromTheStoreIsInForceInTime()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1", "t2"}));
        Link link(narrowBytesPerSecond);
        const auto settings = peersOver(link, fleet);
        const auto &instance = fleet.startOne(link.to(fleet.store_.address()), settings);
        CPPUNIT_ASSERT(fleet.waitUntilServing());
        changeTwice(fleet, instance, link);
    }

    // Guards against the same with a peer: the store does not serve the instance, and requests for
    // rows to two peers share its link.
    void longTableFromPeersIsInForceInTime()
    {
        Fleet fleet;
        CPPUNIT_ASSERT(fleet.serve(3, {"t1", "t2"}));
        Link link(narrowBytesPerSecond);
        const Model::Address nobody{fleet.host(1), 9};
        const auto &instance = fleet.startOne(nobody, peersOver(link, fleet));
        CPPUNIT_ASSERT(fleet.waitUntilServing());
        changeTwice(fleet, instance, link);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestNarrowLinks);
