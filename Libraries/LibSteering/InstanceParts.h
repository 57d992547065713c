#pragma once

#include "Instance.h"

namespace Steering {

/// Returns what the server for callers takes under the table's limits. Thread safety: any thread.
Http::ServerLimits entryLimits(const Model::CallerLimits &limits);

/// The parts that need the port, in the order in which they depend on each other.
struct Instance::Parts
{
    explicit Parts(Instance &instance);

    Knowledge knowledge_;
    TargetBook book_;
    Placer placer_;
    CrashGuard guard_;
    Dispatcher dispatcher_;
    PeerExchange peers_;
    StoreFollower follower_;
    Http::Server entry_;
    Http::Server lookup_;
    Http::Server ready_;
    Http::Server admin_;
};

} // namespace Steering
