#pragma once

/// LibSteering: an instance in one process on one thread: its path of a request, its knowledge of
/// the platform and its exchange with peers. What speaks to a platform is given as a PlatformPort.
/// This is the library's only public header.

#include "CrashGuard.h"
#include "Dispatcher.h"
#include "Instance.h"
#include "Knowledge.h"
#include "PeerExchange.h"
#include "PlacementEngine.h"
#include "PlatformPort.h"
#include "StoreFollower.h"
#include "TargetRegistry.h"
