#include "RequestFingerprint.h"

#include <LibModel/LibModel.h>

#include <algorithm>
#include <charconv>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace Policy {

namespace {

constexpr std::size_t requestDigits = 16;
constexpr std::size_t callerDigits = 8;

std::uint64_t mixed(std::uint64_t seed, std::string_view text)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::uint32_t lowerHalf(std::uint64_t value)
{
    return static_cast<std::uint32_t>(value);
}

template <typename Number>
bool readHex(std::string_view text, Number &number)
{
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number, 16);
    return error == std::errc() && end == text.data() + text.size();
}

} // namespace

std::uint32_t fingerprintPrefixOf(const RequestText &text)
{
    return lowerHalf(mixed(mixed(mixed(0, text.method_), text.host_), text.target_));
}

RequestFingerprint fingerprintOf(const RequestText &text, std::uint32_t prefix)
{
    RequestFingerprint fingerprint;
    fingerprint.request_ = std::uint64_t(prefix) << 32U | lowerHalf(mixed(prefix, text.body_));
    // Zero matches any caller.
    fingerprint.caller_ = std::max<std::uint32_t>(1, lowerHalf(mixed(0, text.caller_)));
    return fingerprint;
}

std::string toText(const RequestFingerprint &fingerprint)
{
    char text[requestDigits + callerDigits + 2];
    std::snprintf(text, sizeof text, "%016llx-%08x",
                  static_cast<unsigned long long>(fingerprint.request_),
                  static_cast<unsigned>(fingerprint.caller_));
    return text;
}

std::optional<RequestFingerprint> fingerprintFromText(std::string_view text)
{
    RequestFingerprint fingerprint;
    const bool isFingerprint = text.size() == requestDigits + 1 + callerDigits
                               && text[requestDigits] == '-'
                               && readHex(text.substr(0, requestDigits), fingerprint.request_)
                               && readHex(text.substr(requestDigits + 1), fingerprint.caller_);
    if (!isFingerprint)
        return Model::fail(Model::ResultCode::BadValue, "'" + std::string(text) + "'");
    return fingerprint;
}

void remember(RequestNames &names, const RequestFingerprint &fingerprint, std::string name)
{
    if (names.names_.size() >= maxNames)
        names.names_.clear();
    name.resize(std::min(name.size(), maxNameLength));
    names.names_[fingerprint] = std::move(name);
}

std::string nameOf(const RequestNames &names, const RequestFingerprint &fingerprint)
{
    const auto exact = names.names_.find(fingerprint);
    if (exact != names.names_.end())
        return exact->second;
    const auto found = names.names_.lower_bound({fingerprint.request_, 0});
    const bool isKnown
        = found != names.names_.end() && found->first.request_ == fingerprint.request_;
    return isKnown ? found->second : "";
}

} // namespace Policy
