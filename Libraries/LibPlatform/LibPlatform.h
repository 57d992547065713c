#pragma once

/// LibPlatform: the client of the platform's table service, object store and instance list, and the
/// data that cassiacrank stores there: the table, its audit trail and the claims.
/// This is the library's only public header.

#include "ClaimBatcher.h"
#include "Edits.h"
#include "Revision.h"
#include "Store.h"
#include "StoreCall.h"
#include "TableMirror.h"
