#pragma once

#include "Types.h"

#include <optional>

namespace Http {

/// Returns how long \a answer asks its receiver to wait by its Retry-After fields (RFC 9110,
/// section 10.2.3): a number of seconds, which may have a fraction, or a date. Zero without such a
/// field; the longest of several, and at most maxRetryAfter. Returns std::nullopt, with BadValue as
/// the last reason, if no field is either.
///
/// A date is relative to the answer's Date field, so that the clocks of sender and receiver may
/// differ, and to \a now if there is none. Thread safety: any thread.
std::optional<Model::Microseconds> retryAfterIn(const Response &answer, Model::WallTime now);

/// Keeps the sum of this and a steady time within its range.
constexpr Model::Milliseconds maxRetryAfter{30LL * 24 * 3600 * 1000};

} // namespace Http
