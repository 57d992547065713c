#include "Fleet.h"

#include <Support/Property.h>
#include <algorithm>
#include <csignal>

namespace {

using Model::Milliseconds;
using PlatformStandIns::Fleet;

/// The platform's time for a recovery.
constexpr Milliseconds recoveryTime{15000};

/// Returns whether the instances from \a first to before \a end all know each other.
bool knowEachOther(const Fleet &fleet, std::size_t first, std::size_t end)
{
    const auto begin = fleet.instances_.begin();
    const auto from = begin + static_cast<std::ptrdiff_t>(first);
    const auto to = begin + static_cast<std::ptrdiff_t>(end);
    return std::all_of(from, to, [&](const auto &instance) {
        const std::string log = instance->process_->log();
        return std::all_of(from, to, [&](const auto &peer) {
            const std::string known = "name=PeerBack instance=" + peer->name_ + " ";
            return peer == instance || log.find(known) != std::string::npos;
        });
    });
}

class TestDiscovery : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(TestDiscovery);
    CPPUNIT_TEST(instancesThatStartInTwoPartsFindEachOther);
    CPPUNIT_TEST_SUITE_END();

public:
    // Guards against two parts of a fleet that never find each other: seeds that begin to run after
    // the instances that name them have found enough other peers. Each part then divides the limits
    // of targets and workspaces among its own instances only.
    void instancesThatStartInTwoPartsFindEachOther()
    {
        constexpr std::size_t seeds = 2;
        constexpr std::size_t all = 6;
        Fleet fleet;
        fleet.configure(1);
        fleet.addTarget("t1", "r-a");
        for (std::size_t i = 0; i < seeds; ++i)
            fleet.startOne().process_->signal(SIGSTOP);
        for (std::size_t i = seeds; i < all; ++i)
            fleet.startOne();
        Harness::waitUntil(recoveryTime, [&] {
            return knowEachOther(fleet, seeds, all);
        });
        for (std::size_t i = 0; i < seeds; ++i)
            fleet.instances_[i]->process_->signal(SIGCONT);
        const bool isWhole = Harness::waitUntil(recoveryTime, [&] {
            return knowEachOther(fleet, 0, all);
        });
        CPPUNIT_ASSERT_MESSAGE(fleet.directory(), isWhole);
    }
};

} // namespace

CPPUNIT_TEST_SUITE_REGISTRATION(TestDiscovery);
