#pragma once

/// LibModel: identifiers, units, result codes and the validated domain types.
/// This is the library's only public header.

#include "Address.h"
#include "CallerKey.h"
#include "ClientBlocks.h"
#include "Columns.h"
#include "Identifiers.h"
#include "Instance.h"
#include "InstanceSize.h"
#include "ResultCode.h"
#include "Route.h"
#include "Row.h"
#include "RowFitting.h"
#include "Table.h"
#include "TableText.h"
#include "TargetRecord.h"
#include "TimeText.h"
#include "Units.h"
#include "Workspace.h"
#include "WorkspaceIndex.h"
