#pragma once

/// LibSteering: an instance in one process on one thread: request dispatch, the replicated platform
/// state and gossip with peers. A PlatformPort supplies the calls to the platform.
/// This is the library's only public header.

#include "CrashGuard.h"
#include "Dispatcher.h"
#include "Instance.h"
#include "PeerExchange.h"
#include "PlacementEngine.h"
#include "PlatformPort.h"
#include "PlatformState.h"
#include "QuotaExchange.h"
#include "RemovalAges.h"
#include "RequestForwarder.h"
#include "ResourceMeter.h"
#include "ShortageMonitor.h"
#include "StoreFollower.h"
#include "TargetRegistry.h"
