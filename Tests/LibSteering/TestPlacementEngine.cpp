#include "FakePlatform.h"

#include <Support/Property.h>
#include <map>

namespace {

using Fakes::InstanceFixture;
using Model::Milliseconds;
using Steering::Placement;
using Steering::Refusal;

/// Returns 1, 6 and 7 targets in each domain of regions r, s, t: one region has few targets, as in
/// real deployments.
std::vector<Platform::StoredRow> unevenTargets()
{
    std::vector<Platform::StoredRow> list;
    int number = 0;
    for (const auto &[region, count] : std::map<std::string, int>{{"r", 1}, {"s", 6}, {"t", 7}}) {
        for (const char *part : {"-a", "-b"}) {
            for (int i = 0; i < count; ++i) {
                list.push_back(Fakes::target("t" + std::to_string(number++), "gauging",
                                             region + part, 1, "ready", 0, 6));
            }
        }
    }
    return list;
}

std::string placedAt(InstanceFixture &instance, std::uint64_t object)
{
    const auto placed = instance.placementEngine_.place(
        Fakes::requestContext(instance, "read", object), instance.now_);
    const auto *placement = std::get_if<Placement>(&placed);
    return placement ? placement->target_->record_.id_.value() : "refused";
}

class TestPlacementEngine : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestPlacementEngine);
    CPPUNIT_TEST(entriesOfADomainAgreeWithoutAMessage);
    CPPUNIT_TEST(objectsOfTheRichRegionsStay);
    CPPUNIT_TEST(aReplacedTargetMovesFewObjects);
    CPPUNIT_TEST(triedTargetsAreNotChosenAgain);
    CPPUNIT_TEST(coldTargetsOfOtherRegionsAreNotUsed);
    CPPUNIT_TEST(withoutTargetsARequestIsRefusedAtOnce);
    CPPUNIT_TEST(instanceThatKnowsNoTargetsYetIsNotReady);
    CPPUNIT_TEST(homeRegionsBind);
    CPPUNIT_TEST(homeRegionThatIsUnknownHereBindsToo);
    CPPUNIT_TEST(homeRegionsOfTheWorkspaceBindToo);
    CPPUNIT_TEST_SUITE_END();

public:
    void entriesOfADomainAgreeWithoutAMessage()
    {
        InstanceFixture one("s-a");
        InstanceFixture two("s-a");
        for (InstanceFixture *instance : {&one, &two}) {
            instance->setOperatorRows(3, 1);
            instance->setTargetRows(2, unevenTargets());
        }
        for (std::uint64_t object = 0; object < 200; ++object)
            CPPUNIT_ASSERT_EQUAL(placedAt(one, object), placedAt(two, object));
    }

    void objectsOfTheRichRegionsStay()
    {
        InstanceFixture instance("t-b");
        instance.setOperatorRows(3, 1);
        instance.setTargetRows(2, unevenTargets());
        for (std::uint64_t object = 0; object < 200; ++object) {
            const auto placed = instance.placementEngine_.place(
                Fakes::requestContext(instance, "read", object), instance.now_);
            const auto &placement = std::get<Placement>(placed);
            CPPUNIT_ASSERT_EQUAL(std::string("t"),
                                 placement.target_->record_.domain_.value().substr(0, 1));
        }
    }

    void aReplacedTargetMovesFewObjects()
    {
        InstanceFixture instance("s-a");
        instance.setOperatorRows(3, 1);
        auto list = unevenTargets();
        instance.setTargetRows(2, list);
        std::vector<std::string> before;
        for (std::uint64_t object = 0; object < 600; ++object)
            before.push_back(placedAt(instance, object));
        const std::string gone = before.front();
        for (auto &row : list) {
            if (row.key_ != gone)
                continue;
            const bool isInFirst = row.value_->find("s-a") != std::string::npos;
            row = Fakes::target("new", "gauging", isInFirst ? "s-a" : "s-b", 3, "ready", 0, 6);
        }
        instance.setTargetRows(3, list);
        int moved = 0;
        for (std::uint64_t object = 0; object < 600; ++object)
            moved += placedAt(instance, object) != before[object] ? 1 : 0;
        // A twelfth of the objects loses its owner and the new target gains a twelfth: at most two
        // twelfths in total.
        CPPUNIT_ASSERT(moved < 600 * 2 / 12 + 30);
    }

    void triedTargetsAreNotChosenAgain()
    {
        InstanceFixture instance("s-a");
        instance.setOperatorRows(3, 1);
        instance.setTargetRows(2, unevenTargets());
        auto requestContext = Fakes::requestContext(instance, "read", 5);
        const auto first
            = std::get<Placement>(instance.placementEngine_.place(requestContext, instance.now_));
        requestContext.tried_.push_back(first.target_->record_.id_);
        const auto second
            = std::get<Placement>(instance.placementEngine_.place(requestContext, instance.now_));
        CPPUNIT_ASSERT(first.target_ != second.target_);
    }

    // Guards against a cold target that gets several times its rate limit and crashes. After it
    // registers, the entries of three regions each send it their share of a limit that is divided
    // among the entries of one region only.
    void coldTargetsOfOtherRegionsAreNotUsed()
    {
        InstanceFixture instance("r-a");
        instance.placementEngine_.setEntries({4, 4, 4});
        instance.setOperatorRows(3, 1);
        instance.setTargetRows(2, {Fakes::target("x", "gauging", "s-a", 2, "ready", 3000)});
        const auto placed = instance.placementEngine_.place(
            Fakes::requestContext(instance, "read", 1), instance.now_);
        CPPUNIT_ASSERT(std::holds_alternative<Refusal>(placed));
        instance.now_ += Milliseconds(3001);
        CPPUNIT_ASSERT_EQUAL(std::string("x"), placedAt(instance, 1));
    }

    void withoutTargetsARequestIsRefusedAtOnce()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(3, 1);
        instance.setTargetRows(2, {});
        const auto placed = instance.placementEngine_.place(
            Fakes::requestContext(instance, "read", 1), instance.now_);
        const auto &refusal = std::get<Refusal>(placed);
        CPPUNIT_ASSERT(refusal.code_ == Model::ResultCode::NoTarget);
        CPPUNIT_ASSERT(refusal.retryAfter_ > Milliseconds(0));
    }

    // Guards against refusing requests with NoTarget before any target is known.
    void instanceThatKnowsNoTargetsYetIsNotReady()
    {
        InstanceFixture instance("r-a");
        instance.setOperatorRows(3, 1);
        const auto placed = instance.placementEngine_.place(
            Fakes::requestContext(instance, "read", 1), instance.now_);
        const auto &refusal = std::get<Refusal>(placed);
        CPPUNIT_ASSERT(refusal.code_ == Model::ResultCode::NotReady);
        CPPUNIT_ASSERT(refusal.retryAfter_ > Milliseconds(0));
    }

    /// Sets the table, and a target of "transfers" in each region.
    static void setUpRegions(InstanceFixture &instance, const std::string &table)
    {
        instance.setTable(table, 1);
        std::vector<Platform::StoredRow> list;
        for (const char *domain : {"r-a", "s-a", "t-a"})
            list.push_back(Fakes::target(domain, "transfers", domain, 2));
        instance.setTargetRows(2, list);
    }

    // Guards against running a request outside the regions of its workspace: at first, when its
    // target there was tried before, and where route and workspace have no region in common.
    void homeRegionsOfTheWorkspaceBindToo()
    {
        InstanceFixture instance("r-a");
        setUpRegions(instance, Fakes::operatorsText(3) + "home_regions = s, t\n"
                                   + "[workspace w]\nhome_regions = r, t\n"
                                   + "[workspace v]\nhome_regions = r\n");
        const auto &workspaces = instance.platformState_.table()->workspaces();
        for (std::uint64_t object = 0; object < 50; ++object) {
            auto request = Fakes::requestContext(instance, "order", object);
            request.workspace_ = workspaces.find(Model::WorkspaceId("w"));
            const auto placed = instance.placementEngine_.place(request, instance.now_);
            CPPUNIT_ASSERT_EQUAL(std::string("t-a"),
                                 std::get<Placement>(placed).target_->record_.id_.value());
            request.tried_.push_back(Model::TargetId("t-a"));
            const auto again = instance.placementEngine_.place(request, instance.now_);
            CPPUNIT_ASSERT(std::get<Refusal>(again).code_ == Model::ResultCode::NoTarget);
            request.tried_.clear();
            request.workspace_ = workspaces.find(Model::WorkspaceId("v"));
            const auto nowhere = instance.placementEngine_.place(request, instance.now_);
            CPPUNIT_ASSERT(std::get<Refusal>(nowhere).code_ == Model::ResultCode::NoTarget);
        }
    }

    void homeRegionsBind()
    {
        InstanceFixture instance("r-a");
        setUpRegions(instance, Fakes::operatorsText(3) + "home_regions = t\n");
        for (std::uint64_t object = 0; object < 50; ++object) {
            const auto placed = instance.placementEngine_.place(
                Fakes::requestContext(instance, "order", object), instance.now_);
            CPPUNIT_ASSERT_EQUAL(std::string("t-a"),
                                 std::get<Placement>(placed).target_->record_.id_.value());
        }
    }

    // Guards against a request that leaves its home because no failure domain lies there, and
    // against a table that is lost for it.
    void homeRegionThatIsUnknownHereBindsToo()
    {
        for (const char *unknown : {"elsewhere", "a", "zz"}) {
            InstanceFixture instance("r-a");
            setUpRegions(instance, Fakes::operatorsText(3) + "home_regions = " + unknown + "\n");
            instance.setTargetRows(3, {Fakes::target("g", "gauging", "s-a", 3),
                                       Fakes::target("o", "transfers", "r-a", 3)});
            for (std::uint64_t object = 0; object < 20; ++object) {
                const auto bound = instance.placementEngine_.place(
                    Fakes::requestContext(instance, "order", object), instance.now_);
                CPPUNIT_ASSERT(std::holds_alternative<Refusal>(bound));
                CPPUNIT_ASSERT_EQUAL(std::string("g"), placedAt(instance, object));
            }
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestPlacementEngine);
