#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace Model {

/// An IPv4 or IPv6 address and a TCP port. Host names are not supported and never resolved.
struct Address
{
    std::string host_;
    std::uint16_t port_ = 0;

    auto operator<=>(const Address &) const = default;
};

/// Parses "192.0.2.1:80" or "[2001:db8::1]:80".
///
/// Returns std::nullopt, with BadValue as the last reason, for any other text. Thread safety: any
/// thread.
std::optional<Address> addressFromText(const std::string &text);

/// Returns the form that addressFromText() parses. Thread safety: any thread.
std::string toText(const Address &address);

} // namespace Model
