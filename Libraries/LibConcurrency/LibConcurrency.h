#pragma once

/// LibConcurrency: read-copy-update for data that every request reads.
/// This is the library's only public header.

#include "RcuCell.h"
