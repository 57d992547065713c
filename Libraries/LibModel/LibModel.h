#pragma once

/// LibModel: ids, units, numbered results and the aggregates that hold their own rules.
/// This is the library's only public header.

#include "Address.h"
#include "ClientBlocks.h"
#include "Columns.h"
#include "Identifiers.h"
#include "Instance.h"
#include "ResultCode.h"
#include "Route.h"
#include "Row.h"
#include "Table.h"
#include "TableText.h"
#include "TargetRecord.h"
#include "TimeText.h"
#include "Units.h"
