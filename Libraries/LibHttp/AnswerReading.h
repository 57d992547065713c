#pragma once

#include "Exchange.h"

namespace Http {

/// Reads one complete answer without checking to which request it belongs. Thread safety: as
/// exchange(), of which it is a part.
Task<ExchangeResult> readAnswer(Connection &connection, const ExchangeOptions &options);

/// Returns the result of an exchange that ended with \a code after its request may have been sent.
/// Thread safety: any thread.
ExchangeResult failedExchange(Model::ResultCode code);
/// The same for an error of the connection.
ExchangeResult failedExchange(const ErrorCode &error);

} // namespace Http
