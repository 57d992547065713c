#pragma once

#include "Store.h"

#include <string>

namespace Platform {

/// Sends one call to the store and returns what came of it. No longer than \a patience, or the
/// store's own timeout where that is zero. \a control, if there is one, outlives the call and may
/// end it.
///
/// Every client of a store goes through here, whatever protocol it speaks.
/// Thread safety: as Store.
Http::Task<Http::ExchangeResult> call(Store &store, Http::http::verb method, std::string target,
                                      std::string body,
                                      Model::Milliseconds patience = Model::Milliseconds(0),
                                      Http::ExchangeControl *control = nullptr);

/// Returns \a text as it may stand in a path or query. Thread safety: any thread.
std::string escaped(const std::string &text);

} // namespace Platform
