#include "Run.h"

#include <algorithm>

namespace Soak {

using Model::Milliseconds;

namespace {

constexpr std::size_t callerCount = 24;
constexpr Milliseconds tick{100};
/// The last part of a run, after recovery, in which requests must be served again.
constexpr Milliseconds servedTime{4000};
constexpr double minServed = 0.9;

/// Starts and ends the due faults of a plan in the order of their times.
class Player
{
public:
    Player(const std::vector<Fault> &plan, SoakSite &site)
        : site_(site)
    {
        for (const auto &fault : plan) {
            steps_.push_back({fault.start_, true, fault});
            steps_.push_back({fault.end_, false, fault});
        }
        std::stable_sort(steps_.begin(), steps_.end(), [](const Step &a, const Step &b) {
            return a.at_ < b.at_;
        });
    }

    void playUntil(Milliseconds time)
    {
        for (; next_ < steps_.size() && steps_[next_].at_ <= time; ++next_) {
            const Step &step = steps_[next_];
            if (step.isStart_) {
                site_.begin(step.fault_);
            } else {
                site_.end(step.fault_);
            }
        }
    }

private:
    struct Step
    {
        Milliseconds at_{0};
        bool isStart_ = true;
        Fault fault_;
    };

    SoakSite &site_;
    std::vector<Step> steps_;
    std::size_t next_ = 0;
};

} // namespace

RunResult run(std::uint64_t seed, const PlanSize &size)
{
    RunResult result;
    SoakSite site(size);
    result.directory_ = site.fleet().directory();
    if (!site.start()) {
        result.broken_.push_back("instances failed to start serving");
        return result;
    }
    Callers callers(callerCount, site.lookups(), seed);
    site.setCallers(callers);
    Promises promises(site, callers);
    Player player(planOf(seed, size), site);
    const auto startedAt = std::chrono::steady_clock::now();
    const auto endAt = startedAt + size.length_;
    while (std::chrono::steady_clock::now() < endAt && result.broken_.empty()) {
        const auto elapsed = std::chrono::steady_clock::now() - startedAt;
        site.watchStops();
        player.playUntil(std::chrono::duration_cast<Milliseconds>(elapsed));
        Harness::pause(tick);
        result.broken_ = promises.check();
        for (auto &mistake : site.takeErrors())
            result.broken_.push_back(std::move(mistake));
    }
    callers.stop();
    for (auto &found : promises.check())
        result.broken_.push_back(std::move(found));
    result.requests_ = promises.requests();
    result.judged_ = promises.judged();
    if (result.broken_.empty()) {
        for (std::size_t i = 0; i < promiseCount; ++i) {
            const auto promise = static_cast<Promise>(i);
            const bool isInPlan = promise != Promise::PoisonRequests || size.hasPoisonRequests_;
            if (isInPlan && result.judged_[i] == 0)
                result.broken_.push_back(std::string("never checked: ") + toText(promise));
        }
    }
    result.servedAtEnd_ = promises.servedSince(endAt - servedTime);
    if (result.broken_.empty() && result.servedAtEnd_ < minServed) {
        result.broken_.push_back("service did not recover from the faults; fraction served: "
                                 + std::to_string(result.servedAtEnd_));
    }
    return result;
}

} // namespace Soak
