#pragma once

/// LibConcurrency: read-copy-update for what every request reads.
/// This is the library's only public header.

#include "RcuCell.h"
