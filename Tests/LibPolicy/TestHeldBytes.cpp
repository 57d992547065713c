#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

#include <vector>

namespace {

using Model::ResultCode;
using Policy::Bytes;

Model::InstanceSize sizeOf(std::int64_t megabytes, std::int64_t descriptors)
{
    Model::InstanceSize size;
    size.memory_ = Model::Megabytes(megabytes);
    size.descriptors_ = Model::Descriptors(descriptors);
    return size;
}

Bytes mebibytes(std::int64_t count)
{
    return Bytes(count * 1024 * 1024);
}

class TestHeldBytes : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestHeldBytes);
    CPPUNIT_TEST(limitsFollowFromTheSize);
    CPPUNIT_TEST(unknownSizeBoundsNothing);
    CPPUNIT_TEST(requestsThatPassTheVerdictStayWithinTheBound);
    CPPUNIT_TEST(roomForAwaitedAnswersIsKept);
    CPPUNIT_TEST(answersWithoutALengthLeaveHalfOfTheBound);
    CPPUNIT_TEST(crashHalvesTheBoundUntilTheNextRestart);
    CPPUNIT_TEST(lossesOfOneCrashCountTogether);
    CPPUNIT_TEST(restartWithRequestsInProgressIsACrash);
    CPPUNIT_TEST(crashWithFewBytesLeavesTheBound);
    CPPUNIT_TEST(idleTargetTakesAnyRequest);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against a bound at which an instance of 160 MB runs out of memory or descriptors.
    void limitsFollowFromTheSize()
    {
        const auto size = sizeOf(160, 1000);
        CPPUNIT_ASSERT(Policy::heldBytesLimit(size) == Bytes(80LL * 1024 * 1024));
        CPPUNIT_ASSERT(Policy::connectionLimit(size) == std::size_t(900));
        CPPUNIT_ASSERT(Policy::verdictOnConnection(899, 900) == ResultCode::Ok);
        CPPUNIT_ASSERT(Policy::verdictOnConnection(900, 900) == ResultCode::TooManyConnections);
        // Connections that are refused fit beside the others.
        CPPUNIT_ASSERT(900 + Policy::lingeringRefusals(size) < 1000);
    }

    // Guards against refusals in a deployment that sets no limits.
    void unknownSizeBoundsNothing()
    {
        const auto size = sizeOf(0, 0);
        CPPUNIT_ASSERT(!Policy::heldBytesLimit(size));
        CPPUNIT_ASSERT(!Policy::connectionLimit(size));
        Policy::HeldBytes held;
        held.forCallers_ = Bytes(1LL << 50);
        CPPUNIT_ASSERT(Policy::mayHold(held, Bytes(1)));
        CPPUNIT_ASSERT(Policy::verdictOnSending(held) == ResultCode::Ok);
        CPPUNIT_ASSERT(Policy::verdictOnConnection(1000000, std::nullopt) == ResultCode::Ok);
    }

    // Guards against a verdict that lets the bound be exceeded, at the instance or at a target.
    void requestsThatPassTheVerdictStayWithinTheBound()
    {
        Support::assertProperty("held bytes stay within both bounds", [] {
            Policy::HeldBytes held;
            held.limit_ = Bytes(*rc::gen::inRange(1, 100000));
            held.meanAnswer_ = Bytes(*rc::gen::inRange(0, 1000));
            Policy::TargetBytes target;
            target.limit_ = Bytes(*rc::gen::inRange(1, 50000));
            std::vector<Bytes> sent;
            for (const int body :
                 *rc::gen::container<std::vector<int>>(rc::gen::inRange(-1, 9000))) {
                if (body < 0 && !sent.empty()) {
                    held.forCallers_ = held.forCallers_ - sent.back();
                    target.held_ = target.held_ - sent.back();
                    --held.awaitedAnswers_;
                    sent.pop_back();
                    continue;
                }
                const Bytes bytes(std::max(0, body));
                if (!Policy::mayHold(held, bytes))
                    continue;
                held.forCallers_ += bytes;
                if (Policy::verdictOnSending(held) != ResultCode::Ok
                    || Policy::verdictOnTarget(target, bytes) != ResultCode::Ok) {
                    held.forCallers_ = held.forCallers_ - bytes;
                    continue;
                }
                target.held_ += bytes;
                ++held.awaitedAnswers_;
                sent.push_back(bytes);
                const Bytes answers(held.awaitedAnswers_ * held.meanAnswer_.value());
                RC_ASSERT(Policy::totalOf(held) + answers <= *held.limit_);
                const bool isOnlyOne = target.held_ == bytes;
                RC_ASSERT(isOnlyOne || target.held_ <= target.limit_);
            }
        });
    }

    // Guards against sending requests whose answers do not fit: their outcome would be unknown.
    void roomForAwaitedAnswersIsKept()
    {
        Policy::HeldBytes held;
        held.limit_ = Bytes(1000);
        Policy::learnAnswerSize(held, Bytes(300));
        held.forCallers_ = Bytes(100);
        held.awaitedAnswers_ = 2;
        CPPUNIT_ASSERT(Policy::verdictOnSending(held) == ResultCode::Ok);
        held.forCallers_ = Bytes(101);
        CPPUNIT_ASSERT(Policy::verdictOnSending(held) == ResultCode::TooManyBytesHeld);
        held.forCallers_ = Bytes(100);
        held.awaitedAnswers_ = 3;
        CPPUNIT_ASSERT(Policy::verdictOnSending(held) == ResultCode::TooManyBytesHeld);
    }

    // Guards against targets whose answers never end and take the room of all others.
    void answersWithoutALengthLeaveHalfOfTheBound()
    {
        Policy::HeldBytes held;
        CPPUNIT_ASSERT(Policy::mayHoldUnstated(held, Bytes(1LL << 50)));
        CPPUNIT_ASSERT(!Policy::unstatedAnswerLimit(held));
        held.limit_ = Bytes(1000);
        held.forCallers_ = Bytes(100);
        held.forTargets_ = Bytes(300);
        CPPUNIT_ASSERT(Policy::mayHoldUnstated(held, Bytes(100)));
        CPPUNIT_ASSERT(!Policy::mayHoldUnstated(held, Bytes(101)));
        CPPUNIT_ASSERT(Policy::mayHold(held, Bytes(600)));
        CPPUNIT_ASSERT(Policy::unstatedAnswerLimit(held) == Bytes(125));
    }

    // Guards against sending as much to a restarted target as crashed it before, and against a
    // bound that stays for good.
    void crashHalvesTheBoundUntilTheNextRestart()
    {
        Policy::TargetBytes target;
        target.held_ = mebibytes(1000);
        Policy::noteConnectionLost(target, true);
        Policy::noteTargetCrashed(target);
        target.held_ = mebibytes(400);
        CPPUNIT_ASSERT(Policy::verdictOnTarget(target, mebibytes(100)) == ResultCode::Ok);
        CPPUNIT_ASSERT(Policy::verdictOnTarget(target, mebibytes(101))
                       == ResultCode::TooManyBytesHeld);
        target.held_ = Bytes(0);
        const auto second = Policy::bytesOfNextIncarnation(target, false);
        CPPUNIT_ASSERT(second.limit_ == mebibytes(500));
        const auto third = Policy::bytesOfNextIncarnation(second, false);
        CPPUNIT_ASSERT(third.limit_ == Policy::TargetBytes().limit_);
    }

    // Guards against counting only the last of the requests whose connections break one by one.
    void lossesOfOneCrashCountTogether()
    {
        Policy::TargetBytes target;
        for (const int held : {900, 600, 300}) {
            target.held_ = mebibytes(held);
            Policy::noteConnectionLost(target, held == 900);
        }
        Policy::noteTargetCrashed(target);
        CPPUNIT_ASSERT(target.limit_ == mebibytes(450));
    }

    // Guards against a crash that is noticed by the new registration before any connection breaks.
    void restartWithRequestsInProgressIsACrash()
    {
        Policy::TargetBytes target;
        target.held_ = mebibytes(800);
        CPPUNIT_ASSERT(Policy::bytesOfNextIncarnation(target, false).limit_ == mebibytes(400));
        CPPUNIT_ASSERT(Policy::bytesOfNextIncarnation(target, true).limit_
                       == Policy::TargetBytes().limit_);
    }

    // Guards against a bound of next to nothing after a crash that had nothing to do with bytes.
    void crashWithFewBytesLeavesTheBound()
    {
        Policy::TargetBytes target;
        target.held_ = Policy::minBytesOfCrash - Bytes(1);
        Policy::noteConnectionLost(target, true);
        Policy::noteTargetCrashed(target);
        CPPUNIT_ASSERT(target.limit_ == Policy::TargetBytes().limit_);
    }

    // Guards against refusing a large request forever after a crash with little in progress.
    void idleTargetTakesAnyRequest()
    {
        Policy::TargetBytes target;
        target.limit_ = Bytes(10);
        CPPUNIT_ASSERT(Policy::verdictOnTarget(target, Bytes(100)) == ResultCode::Ok);
        target.held_ = Bytes(1);
        CPPUNIT_ASSERT(Policy::verdictOnTarget(target, Bytes(100)) == ResultCode::TooManyBytesHeld);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestHeldBytes);
