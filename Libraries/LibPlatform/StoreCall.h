#pragma once

#include "Store.h"

#include <string>

namespace Platform {

/// Sends a request to the store and returns the result. The answer must begin within \a timeout,
/// or the store's timeout if that is zero, and must not pause for longer than the store's timeout.
/// \a control, if set, must outlive the call and may cancel it.
///
/// All clients of a store use this function, regardless of their protocol.
/// Thread safety: as Store.
Http::Task<Http::ExchangeResult> call(Store &store, Http::http::verb method, std::string target,
                                      std::string body,
                                      Model::Milliseconds timeout = Model::Milliseconds(0),
                                      Http::ExchangeControl *control = nullptr);

/// Returns \a text percent-encoded for a path or query. Thread safety: any thread.
std::string escaped(const std::string &text);

} // namespace Platform
