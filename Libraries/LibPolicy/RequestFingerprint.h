#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace Policy {

/// The parts of a request that distinguish it from others.
struct RequestText
{
    std::string_view method_;
    std::string_view host_;
    /// Path and query.
    std::string_view target_;
    std::string_view body_;
    /// The caller's name or key, else its IP address.
    std::string_view caller_;
};

/// The fingerprint of a request without its id: the same for every repeat, on every instance.
struct RequestFingerprint
{
    /// The upper half is fingerprintPrefixOf() of the request, the lower half also depends on its
    /// body.
    std::uint64_t request_ = 0;
    /// Zero matches any caller.
    std::uint32_t caller_ = 0;

    auto operator<=>(const RequestFingerprint &) const = default;
};

/// Returns the fingerprint prefix, which does not depend on the body. Thread safety: any thread.
std::uint32_t fingerprintPrefixOf(const RequestText &text);
constexpr std::uint32_t fingerprintPrefixOf(const RequestFingerprint &fingerprint)
{
    return static_cast<std::uint32_t>(fingerprint.request_ >> 32U);
}

/// Returns the fingerprint of a request; \a prefix is fingerprintPrefixOf() of it. Thread safety:
/// any thread.
RequestFingerprint fingerprintOf(const RequestText &text, std::uint32_t prefix);
inline RequestFingerprint fingerprintOf(const RequestText &text)
{
    return fingerprintOf(text, fingerprintPrefixOf(text));
}

/// Returns "0123456789abcdef-01234567"; fingerprintFromText() parses it and returns std::nullopt,
/// with BadValue as the last reason, for any other text. Thread safety: any thread.
std::string toText(const RequestFingerprint &fingerprint);
std::optional<RequestFingerprint> fingerprintFromText(std::string_view text);

/// Readable names of fingerprinted requests, as their callers sent them, so that operators
/// recognise them. Not shared between threads.
struct RequestNames
{
    std::map<RequestFingerprint, std::string> names_;
};

/// The maximum number of names, beyond which all are dropped, and their maximum length.
constexpr std::size_t maxNames = 256;
constexpr std::size_t maxNameLength = 120;

/// Stores \a name, truncated to maxNameLength. Thread safety: \a names belongs to the calling
/// thread.
void remember(RequestNames &names, const RequestFingerprint &fingerprint, std::string name);

/// Returns the name of a request with \a fingerprint, or of one that differs only in its caller;
/// empty if there is none. Thread safety: any thread.
std::string nameOf(const RequestNames &names, const RequestFingerprint &fingerprint);

} // namespace Policy
