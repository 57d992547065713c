#pragma once

/// LibPlatform: the client side of the platform's table service, object store and instance list,
/// and what cassiacrank keeps there: the table, its audit trail and the claims.
/// This is the library's only public header.

#include "ClaimBatcher.h"
#include "Edits.h"
#include "Store.h"
#include "StoreCall.h"
#include "TableMirror.h"
