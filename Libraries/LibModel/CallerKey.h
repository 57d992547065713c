#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <cstring>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace Model {

/// The digest by which the table knows a caller's key: the first half of its SHA-256.
///
/// With the keys themselves in the table, the audit trail and every copy of the table would
/// disclose them.
struct CallerKeyDigest
{
    std::array<std::uint8_t, 16> bytes_{};

    auto operator<=>(const CallerKeyDigest &) const = default;
};

/// Returns the digest of \a key. Thread safety: any thread.
CallerKeyDigest digestOf(std::string_view key);

/// Returns 32 hexadecimal digits. Thread safety: any thread.
std::string toText(const CallerKeyDigest &digest);

/// Parses the form that toText() returns. Returns std::nullopt, with BadValue as the last reason,
/// for any other text. Thread safety: any thread.
std::optional<CallerKeyDigest> callerKeyDigestFromText(std::string_view text);

} // namespace Model

template <>
struct std::hash<Model::CallerKeyDigest>
{
    std::size_t operator()(const Model::CallerKeyDigest &digest) const noexcept
    {
        std::size_t value = 0;
        std::memcpy(&value, digest.bytes_.data(), sizeof value);
        return value;
    }
};
