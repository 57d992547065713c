#pragma once

/// LibPolicy: every decision of the system as a free function over plain structs. Time and random
/// numbers are parameters; there is no clock, socket, thread, lock or log in here.
/// This is the library's only public header.

#include "Admission.h"
#include "Claims.h"
#include "ColdRamp.h"
#include "ConnectionBudget.h"
#include "CrashEvidence.h"
#include "CrashNews.h"
#include "Dissemination.h"
#include "DomainPicker.h"
#include "EntryFailures.h"
#include "EntryRanking.h"
#include "FairQueue.h"
#include "HomePlacement.h"
#include "Liveness.h"
#include "LoadNews.h"
#include "OthersLoad.h"
#include "Outcome.h"
#include "PartTurns.h"
#include "PeerNews.h"
#include "RegistrationLapse.h"
#include "RequestAdmission.h"
#include "RequestPrint.h"
#include "Shares.h"
#include "SpareConnections.h"
#include "SpillMeter.h"
#include "StoreReaders.h"
#include "TargetChoice.h"
#include "TargetPicker.h"
#include "WorkTimes.h"
