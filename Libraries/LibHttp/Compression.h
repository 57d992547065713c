#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace Http {

/// The content coding of compressed(), as in Accept-Encoding and Content-Encoding (RFC 8878).
constexpr std::string_view compressedCoding = "zstd";

/// Returns \a bytes compressed. Thread safety: any thread.
std::string compressed(std::string_view bytes);

/// Returns the bytes from which compressed() has made \a bytes. Returns std::nullopt, with
/// PeerMessageUnreadable as the last reason, if they are damaged or more than \a limit.
/// Thread safety: any thread.
std::optional<std::string> decompressed(std::string_view bytes, std::size_t limit);

} // namespace Http
