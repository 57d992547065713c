// Runs seeds of the fault soak: soak --from=1 --to=50, or --minutes=5 with fresh seeds.

#include "Run.h"

#include <chrono>
#include <gflags/gflags.h>
#include <iostream>
#include <random>

DEFINE_uint64(from, 1, "first seed");
DEFINE_uint64(to, 1, "last seed");
DEFINE_double(minutes, 0, "run fresh seeds for this many minutes instead");
DEFINE_uint64(instances, 6, "instances of the system");
DEFINE_uint64(targets, 8, "targets");
DEFINE_int32(seconds, 46, "length of a run");
DEFINE_bool(ending, true, "send poison requests, under which targets crash");
DEFINE_bool(plan, false, "print the faults of each seed");

namespace {

bool playOne(std::uint64_t seed)
{
    Soak::PlanSize size;
    size.instances_ = FLAGS_instances;
    size.targets_ = FLAGS_targets;
    size.length_ = Model::Milliseconds(FLAGS_seconds * 1000);
    size.hasPoisonRequests_ = FLAGS_ending;
    if (FLAGS_plan) {
        for (const auto &fault : Soak::planOf(seed, size))
            std::cout << "  " << Soak::toText(fault) << "\n";
    }
    const auto result = Soak::run(seed, size);
    std::cout << "seed " << seed << ": " << (result.broken_.empty() ? "kept" : "BROKEN") << ", "
              << result.requests_ << " requests, served at the end " << result.servedAtEnd_ << "\n";
    for (std::size_t i = 0; i < Soak::promiseCount; ++i) {
        std::cout << "  judged " << result.judged_[i] << ": "
                  << Soak::toText(static_cast<Soak::Promise>(i)) << "\n";
    }
    for (const auto &broken : result.broken_)
        std::cout << "  " << broken << "\n  logs: " << result.directory_ << "\n";
    std::cout.flush();
    return result.broken_.empty();
}

} // namespace

int main(int argc, char **argv)
{
    gflags::SetUsageMessage("Injects faults into real processes and checks the promises.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_seconds * 1000 < Soak::shortestLength.count() || FLAGS_instances < 2
        || FLAGS_targets < 4) {
        std::cerr << "a run needs at least " << Soak::shortestLength.count() / 1000
                  << " seconds, two instances and four targets\n";
        return 2;
    }
    int kept = 0;
    int broken = 0;
    const auto count = [&](bool isKept) {
        ++(isKept ? kept : broken);
    };
    if (FLAGS_minutes > 0) {
        std::random_device fresh;
        const auto end
            = std::chrono::steady_clock::now() + std::chrono::duration<double>(FLAGS_minutes * 60);
        while (std::chrono::steady_clock::now() < end)
            count(playOne(fresh()));
    } else {
        for (std::uint64_t seed = FLAGS_from; seed <= FLAGS_to; ++seed)
            count(playOne(seed));
    }
    std::cout << kept << " passed, " << broken << " failed\n";
    return broken == 0 ? 0 : 1;
}
