#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

#include <random>

namespace {

using Model::Milliseconds;
using Model::SteadyTime;
using Policy::DomainReach;
using Policy::ReachChange;

const SteadyTime start{std::chrono::seconds(1000)};

class TestDomainReach : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDomainReach);
    CPPUNIT_TEST(lossIsFoundByFewContactsAmongAnyNumberOfTargets);
    CPPUNIT_TEST(oneDeadTargetIsNoLoss);
    CPPUNIT_TEST(returnIsFoundByFewProbes);
    CPPUNIT_TEST(probesAreBounded);
    CPPUNIT_TEST_SUITE_END();

public:
    /// Returns a domain whose targets have all answered before \a start.
    static DomainReach reachedDomain(std::size_t targets)
    {
        DomainReach reach;
        for (std::size_t i = 0; i < targets; ++i) {
            Policy::noteContact(reach, i, true, targets,
                                start - Milliseconds(static_cast<long long>(targets - i) * 10));
        }
        return reach;
    }

    // Guards against a partition that is found out target by target.
    void lossIsFoundByFewContactsAmongAnyNumberOfTargets()
    {
        Support::assertProperty("three failures lead to probes, and these to the verdict", [] {
            const auto targets = *rc::gen::inRange<std::size_t>(1, 600);
            DomainReach reach = reachedDomain(targets);
            std::uint64_t next = 0;
            auto now = start;
            const std::size_t first = std::min<std::size_t>(targets, Policy::minReachContacts);
            for (std::size_t i = 0; i < first; ++i)
                Policy::noteContact(reach, next++ % targets, false, targets, now);
            now += Policy::reassuredProbeInterval;
            const auto probes = Policy::takeProbes(reach, now);
            for (std::size_t i = 0; i < probes; ++i)
                Policy::noteContact(reach, next++ % targets, false, targets, now);
            RC_ASSERT(reach.lostSince_.has_value());
        });
    }

    // Guards against a domain that is given up because some of its targets are down, in any order.
    void oneDeadTargetIsNoLoss()
    {
        Support::assertProperty("up to half of the targets may be down", [] {
            const auto targets = 2 * *rc::gen::inRange<std::size_t>(4, 100);
            DomainReach reach = reachedDomain(targets);
            // Every other target fails, as often as it is tried.
            for (std::size_t i = 0; i < 10 * targets; ++i)
                Policy::noteContact(reach, i % targets, i % 2 == 0, targets, start);
            RC_ASSERT(!reach.lostSince_.has_value());
        });
    }

    // Guards against an instance that goes on forwarding after the partition.
    void returnIsFoundByFewProbes()
    {
        Support::assertProperty("two rounds of probes find the return", [] {
            const auto targets = *rc::gen::inRange<std::size_t>(1, 600);
            DomainReach reach;
            for (std::size_t i = 0; i < Policy::maxReachContacts; ++i)
                Policy::noteContact(reach, i % targets, false, targets, start);
            RC_ASSERT(reach.lostSince_.has_value());
            auto now = start;
            std::uint64_t next = 0;
            for (int round = 0; round < 2; ++round) {
                now += Policy::lostProbeInterval;
                const auto probes = Policy::takeProbes(reach, now);
                for (std::size_t i = 0; i < probes; ++i)
                    Policy::noteContact(reach, next++ % targets, true, targets, now);
            }
            RC_ASSERT(!reach.lostSince_.has_value());
        });
    }

    // Guards against a storm of connections while targets fail now and then, or all are lost.
    void probesAreBounded()
    {
        Support::assertProperty("probes in ten seconds", [] {
            const auto failing = *rc::gen::inRange<int>(0, 101);
            std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
            constexpr std::size_t targets = 60;
            DomainReach reach = reachedDomain(targets);
            std::size_t probes = 0;
            for (auto now = start; now < start + Milliseconds(10000); now += Milliseconds(20)) {
                const bool isReached = static_cast<int>(random() % 100) >= failing;
                Policy::noteContact(reach, random() % targets, isReached, targets, now);
                probes += Policy::takeProbes(reach, now);
            }
            // One round a second while targets answer, two a second while they are lost.
            RC_ASSERT(probes <= 2 * 10 * Policy::probesInDoubt + Policy::probesInDoubt);
        });
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestDomainReach);
