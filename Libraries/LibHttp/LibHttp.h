#pragma once

/// LibHttp: the HTTP code that the daemons share: server, pooled client, admin pages.
/// This is the library's only public header.

#include "AdminServer.h"
#include "BlockingClient.h"
#include "Compression.h"
#include "ConnectionFields.h"
#include "ConnectionPool.h"
#include "Exchange.h"
#include "HeaderNames.h"
#include "Refusal.h"
#include "RetryAfter.h"
#include "Server.h"
#include "Types.h"
