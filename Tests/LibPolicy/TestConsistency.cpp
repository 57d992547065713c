#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

namespace {

using Policy::Claim;
using Policy::ClaimState;
using Policy::ClaimVerdict;

class TestConsistency : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestConsistency);
    CPPUNIT_TEST(notRunIsReportedOnlyIfCertain);
    CPPUNIT_TEST(onlyTheHolderOfAClaimRunsIt);
    CPPUNIT_TEST(claimsSurviveSerialization);
    CPPUNIT_TEST(versionsNeverDecrease);
    CPPUNIT_TEST(leavingMarksStayForTheirIncarnation);
    CPPUNIT_TEST(newInstanceServesOnlyWithEnoughState);
    CPPUNIT_TEST(pollsOfTheFleetAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    void notRunIsReportedOnlyIfCertain()
    {
        using Policy::AttemptStage;
        using Policy::Outcome;
        CPPUNIT_ASSERT(Policy::outcomeOf(AttemptStage::NotConnected) == Outcome::NotRun);
        CPPUNIT_ASSERT(Policy::outcomeOf(AttemptStage::RefusedByTarget) == Outcome::NotRun);
        CPPUNIT_ASSERT(Policy::outcomeOf(AttemptStage::Sent) == Outcome::Unknown);
        CPPUNIT_ASSERT(Policy::outcomeOf(AttemptStage::Answered) == Outcome::Run);
    }

    // Attempts with one key go through any entries, in any order; some finish, some never do. If an
    // attempt ran without holding the claim, a release order would run twice.
    void onlyTheHolderOfAClaimRunsIt()
    {
        Support::assertProperty("at most one attempt runs between two certain 'not run'", [] {
            std::optional<Claim> stored;
            int runs = 0;
            const int attempts = *rc::gen::inRange(1, 30);
            for (int attempt = 0; attempt < attempts; ++attempt) {
                Claim own;
                own.requestHash_ = 7;
                own.holder_ = std::to_string(attempt);
                const auto verdict
                    = stored ? Policy::evaluateClaim(*stored, own.holder_, own.requestHash_)
                             : ClaimVerdict::TakeOver;
                if (verdict != ClaimVerdict::TakeOver)
                    continue;
                stored = own;
                switch (*rc::gen::inRange(0, 3)) {
                case 0:
                    stored->state_ = ClaimState::Released;
                    break;
                case 1:
                    stored->state_ = ClaimState::Run;
                    ++runs;
                    break;
                default:
                    // The request may have run; the outcome is unknown.
                    ++runs;
                    break;
                }
            }
            RC_ASSERT(runs <= 1);
        });
        Claim other;
        other.requestHash_ = 1;
        CPPUNIT_ASSERT(Policy::evaluateClaim(other, "me", 2) == ClaimVerdict::OtherRequest);
    }

    void claimsSurviveSerialization()
    {
        Claim claim;
        claim.state_ = ClaimState::Run;
        claim.requestHash_ = 18446744073709551557ULL;
        claim.holder_ = "h";
        claim.answerStatus_ = 201;
        claim.answerType_ = "text/plain";
        claim.answerBody_ = "{\"a\": \"\\u0161\"}\n";
        CPPUNIT_ASSERT(Policy::claimFromText(Policy::toText(claim)) == claim);
        CPPUNIT_ASSERT(!Policy::claimFromText("{}"));
        CPPUNIT_ASSERT(!Policy::claimFromText("nonsense"));
    }

    void versionsNeverDecrease()
    {
        Support::assertProperty("for any versions offered, the version held never decreases", [] {
            Model::TableVersion held(0);
            for (const auto offered : *rc::gen::arbitrary<std::vector<std::uint16_t>>()) {
                const Model::TableVersion before = held;
                if (Policy::mayApply(held, Model::TableVersion(offered)))
                    held = Model::TableVersion(offered);
                RC_ASSERT(held >= before && held >= Model::TableVersion(offered));
            }
        });
    }

    void leavingMarksStayForTheirIncarnation()
    {
        Policy::LeavingMarks marks;
        const Model::TargetId target("t");
        CPPUNIT_ASSERT(Policy::markLeaving(marks, target, Model::Incarnation(5)));
        CPPUNIT_ASSERT(!Policy::markLeaving(marks, target, Model::Incarnation(5)));
        CPPUNIT_ASSERT(!Policy::markLeaving(marks, target, Model::Incarnation(4)));
        CPPUNIT_ASSERT(Policy::isLeaving(marks, target, Model::Incarnation(5)));
        CPPUNIT_ASSERT(!Policy::isLeaving(marks, target, Model::Incarnation(6)));
    }

    void newInstanceServesOnlyWithEnoughState()
    {
        Policy::StartupState knowledge;
        CPPUNIT_ASSERT(!Policy::mayServe(knowledge));
        knowledge.heldVersion_ = Model::TableVersion(3);
        CPPUNIT_ASSERT(!Policy::mayServe(knowledge));
        knowledge.peerVersions_[Model::FailureDomainId("a")] = Model::TableVersion(3);
        CPPUNIT_ASSERT(!Policy::mayServe(knowledge));
        knowledge.peerVersions_[Model::FailureDomainId("b")] = Model::TableVersion(4);
        CPPUNIT_ASSERT(!Policy::mayServe(knowledge));
        knowledge.heldVersion_ = Model::TableVersion(4);
        CPPUNIT_ASSERT(Policy::mayServe(knowledge));
        knowledge = {};
        knowledge.heldVersion_ = Model::TableVersion(2);
        knowledge.storeAnswered_ = true;
        knowledge.storeVersion_ = Model::TableVersion(2);
        CPPUNIT_ASSERT_MESSAGE("the store alone may lag", !Policy::mayServe(knowledge));
        knowledge.peersAnswered_ = true;
        CPPUNIT_ASSERT(Policy::mayServe(knowledge));
        knowledge.peerVersions_[Model::FailureDomainId("a")] = Model::TableVersion(3);
        CPPUNIT_ASSERT_MESSAGE("a peer has a newer one", !Policy::mayServe(knowledge));
    }

    void pollsOfTheFleetAreBounded()
    {
        for (const std::size_t members : {12u, 330u, 3300u}) {
            const auto period = Policy::pollPeriod(members, 20);
            const double reads = static_cast<double>(members) / Model::inSeconds(period);
            CPPUNIT_ASSERT_MESSAGE(std::to_string(reads), reads <= 20.5);
        }
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestConsistency);
