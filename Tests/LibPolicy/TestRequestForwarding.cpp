#include <LibPolicy/LibPolicy.h>
#include <Support/Property.h>

#include <random>

namespace {

using Model::Microseconds;
using Model::Milliseconds;
using Model::SteadyTime;
using Policy::ForwardingPeer;
using Policy::ForwardingState;

const Model::ServiceId service("gauging");
const SteadyTime start{std::chrono::seconds(1000)};

std::vector<ForwardingPeer> peersWith(std::size_t near, std::size_t far)
{
    std::vector<ForwardingPeer> peers;
    for (std::size_t i = 0; i < near + far; ++i) {
        peers.push_back({Model::InstanceId("i" + std::to_string(i)),
                         Microseconds(i < near ? 2000 : 110000), 0});
    }
    return peers;
}

class TestRequestForwarding : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestRequestForwarding);
    CPPUNIT_TEST(onlyMostlyUnreachableTargetsMeanAPartition);
    CPPUNIT_TEST(loadIsSpreadOverThePeers);
    CPPUNIT_TEST(partitionedPeersAreLeftOut);
    CPPUNIT_TEST(targetsThatAreDownForAllEndTheForwarding);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against forwarding because of targets that are down: then no peer reaches them either.
    void onlyMostlyUnreachableTargetsMeanAPartition()
    {
        CPPUNIT_ASSERT(!Policy::shouldForward({0, 0}));
        CPPUNIT_ASSERT(!Policy::shouldForward({40, 0}));
        CPPUNIT_ASSERT(!Policy::shouldForward({20, 20}));
        CPPUNIT_ASSERT(Policy::shouldForward({0, 1}));
        CPPUNIT_ASSERT(Policy::shouldForward({0, 40}));
        CPPUNIT_ASSERT(Policy::shouldForward({10, 30}));
    }

    // Guards against one peer that gets the callers of a whole failure domain: near peers take
    // equal parts, and far ones help when the near ones are loaded.
    void loadIsSpreadOverThePeers()
    {
        Support::assertProperty("requests in progress are spread", [] {
            auto peers = peersWith(*rc::gen::inRange<std::size_t>(2, 8),
                                   *rc::gen::inRange<std::size_t>(0, 8));
            const ForwardingState state;
            std::mt19937_64 random(*rc::gen::arbitrary<std::uint64_t>());
            const std::size_t requests = 40 * peers.size();
            for (std::size_t i = 0; i < requests; ++i) {
                const auto chosen
                    = Policy::chooseForwardingPeer(state, service, peers, random(), start);
                RC_ASSERT(chosen.has_value());
                ++peers[*chosen].inProgress_;
            }
            for (const auto &peer : peers) {
                RC_ASSERT(peer.inProgress_ >= 15);
                RC_ASSERT(peer.inProgress_ <= 80);
            }
        });
    }

    // Guards against asking peers again and again that are partitioned too.
    void partitionedPeersAreLeftOut()
    {
        const auto peers = peersWith(6, 0);
        ForwardingState state;
        for (std::size_t i = 0; i < 5; ++i)
            Policy::noteNotForwarded(state, peers[i].id_, service, start);
        std::mt19937_64 random(1);
        for (int i = 0; i < 100; ++i) {
            const auto chosen
                = Policy::chooseForwardingPeer(state, service, peers, random(), start);
            CPPUNIT_ASSERT(chosen && *chosen == 5);
        }
        Policy::noteForwarded(state, peers[0].id_, service);
        bool isChosen = false;
        for (int i = 0; i < 100; ++i)
            isChosen |= Policy::chooseForwardingPeer(state, service, peers, random(), start) == 0U;
        CPPUNIT_ASSERT(isChosen);
    }

    // Guards against multiplying the load where every peer sees the same targets down.
    void targetsThatAreDownForAllEndTheForwarding()
    {
        const auto peers = peersWith(60, 0);
        ForwardingState state;
        std::mt19937_64 random(1);
        int forwarded = 0;
        for (int ms = 0; ms < 10000; ++ms) {
            const auto now = start + Milliseconds(ms);
            const auto chosen = Policy::chooseForwardingPeer(state, service, peers, random(), now);
            if (!chosen)
                continue;
            ++forwarded;
            Policy::noteNotForwarded(state, peers[*chosen].id_, service, now);
        }
        CPPUNIT_ASSERT_EQUAL(10 * static_cast<int>(Policy::maxForwardingRefusals), forwarded);
        const Model::ServiceId other("transfers");
        CPPUNIT_ASSERT(Policy::chooseForwardingPeer(state, other, peers, random(), start));
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestRequestForwarding);
