#pragma once

/// LibObserve: numbered events, metrics, audit records, validated settings and daemon start-up.
/// This is the library's only public header.

#include "Audit.h"
#include "Daemon.h"
#include "DecisionLog.h"
#include "Event.h"
#include "Metrics.h"
#include "RequestTrace.h"
#include "Settings.h"
