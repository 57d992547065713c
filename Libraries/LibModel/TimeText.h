#pragma once

#include "Units.h"

#include <optional>
#include <string>

namespace Model {

/// Parses a UTC time such as "2026-12-02T18:00:00Z", with optional milliseconds.
///
/// Returns std::nullopt, with BadValue as the last reason, for any other text. Thread safety: any
/// thread.
std::optional<WallTime> timeFromText(const std::string &text);

/// Returns the form that timeFromText() parses, with milliseconds. Thread safety: any thread.
std::string toText(WallTime time);

} // namespace Model
