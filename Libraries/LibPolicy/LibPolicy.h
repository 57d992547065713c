#pragma once

/// LibPolicy: every decision of the system as a free function over plain structs. Time and random
/// numbers are parameters; there is no clock, socket, thread, lock or log in here.
/// This is the library's only public header.

#include "Admission.h"
#include "Claims.h"
#include "ConnectionBudget.h"
#include "Dissemination.h"
#include "DomainPicker.h"
#include "EntryFailures.h"
#include "EntryRanking.h"
#include "FairQueue.h"
#include "Outcome.h"
#include "Shares.h"
#include "TargetPicker.h"
