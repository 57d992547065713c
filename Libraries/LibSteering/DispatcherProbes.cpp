#include "Dispatcher.h"

namespace Steering {

using Http::Task;
using Model::SteadyTime;

namespace {

SteadyTime steadyNow()
{
    return std::chrono::steady_clock::now();
}

} // namespace

Task<void> Dispatcher::probeListener(std::shared_ptr<TargetState> target)
{
    const auto options = connectOptions(*target, steadyNow());
    const auto listening = co_await Http::checkListener(pool_, options);
    const auto now = steadyNow();
    guard_.noteListening(*target, listening, now);
    if (listening == Http::Listening::No)
        Policy::noteUnreachable(target->reachability_, now);
}

void Dispatcher::probeUnreachable(const RequestContext &request, SteadyTime now)
{
    if (auto target = reach_.targetToProbe(request, now))
        startProbe(std::move(target), now);
}

void Dispatcher::probeReach()
{
    const auto now = steadyNow();
    for (const auto &target : reach_.takeLost())
        pool_.dropIdle(placementEngine_.addressToDial(*target));
    for (auto &target : reach_.takeTargetsToProbe(now))
        startProbe(std::move(target), now);
}

void Dispatcher::startProbe(std::shared_ptr<TargetState> target, SteadyTime now)
{
    const auto options = connectOptions(*target, now);
    // A connection beyond the limit would fail without showing anything.
    if (pool_.openCount(options.address_) >= options.connectionLimit_)
        return;
    target->isConnecting_ = true;
    Policy::noteTry(target->reachability_);
    Http::asio::co_spawn(context_, probe(std::move(target)), Http::asio::detached);
}

Task<void> Dispatcher::probe(std::shared_ptr<TargetState> target)
{
    const auto options = connectOptions(*target, steadyNow());
    const bool isReached = co_await Http::prepareConnection(pool_, options);
    const auto now = steadyNow();
    target->isConnecting_ = false;
    target->reachability_.isProbed_ = false;
    target->acceptsConnections_ = isReached;
    if (!isReached)
        Policy::noteUnreachable(target->reachability_, now);
    reach_.noteContact(*target, isReached, now);
}

} // namespace Steering
