#pragma once

#include "Instance.h"

namespace Steering {

/// Returns the entry server's limits for the table's limits. Thread safety: any thread.
Http::ServerLimits entryLimits(const Model::CallerLimits &limits);

/// The components that need the port, in the order of their dependencies.
struct Instance::Parts
{
    explicit Parts(Instance &instance);

    PlatformState platformState_;
    TargetRegistry targetRegistry_;
    ReachMonitor reach_;
    PlacementEngine placementEngine_;
    ShortageMonitor shortage_;
    CrashGuard guard_;
    PeerExchange peers_;
    QuotaExchange quotas_;
    RequestForwarder forwarder_;
    Dispatcher dispatcher_;
    StoreFollower follower_;
    Http::Server entry_;
    Http::Server lookup_;
    Http::Server ready_;
    Http::Server admin_;
};

} // namespace Steering
