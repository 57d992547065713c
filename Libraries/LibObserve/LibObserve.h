#pragma once

/// LibObserve: numbered events, metrics, audit records, checked settings and the start of a daemon.
/// This is the library's only public header.

#include "Audit.h"
#include "Daemon.h"
#include "DecisionLog.h"
#include "Event.h"
#include "LogStory.h"
#include "Metrics.h"
#include "Settings.h"
