#include "RequestPrint.h"

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

std::uint32_t headOf(const RequestText &text)
{
    return lowerHalf(mixed(mixed(mixed(0, text.method_), text.host_), text.target_));
}

RequestPrint printOf(const RequestText &text, std::uint32_t head)
{
    RequestPrint print;
    print.request_ = std::uint64_t(head) << 32U | lowerHalf(mixed(head, text.body_));
    // Zero matches any caller.
    print.caller_ = std::max<std::uint32_t>(1, lowerHalf(mixed(0, text.caller_)));
    return print;
}

std::string toText(const RequestPrint &print)
{
    char text[requestDigits + callerDigits + 2];
    std::snprintf(text, sizeof text, "%016llx-%08x",
                  static_cast<unsigned long long>(print.request_),
                  static_cast<unsigned>(print.caller_));
    return text;
}

std::optional<RequestPrint> printFromText(std::string_view text)
{
    RequestPrint print;
    const bool isPrint = text.size() == requestDigits + 1 + callerDigits
                         && text[requestDigits] == '-'
                         && readHex(text.substr(0, requestDigits), print.request_)
                         && readHex(text.substr(requestDigits + 1), print.caller_);
    if (!isPrint)
        return Model::fail(Model::ResultCode::BadValue, "'" + std::string(text) + "'");
    return print;
}

void remember(RequestNames &names, const RequestPrint &print, std::string name)
{
    if (names.names_.size() >= mostNames)
        names.names_.clear();
    name.resize(std::min(name.size(), longestName));
    names.names_[print] = std::move(name);
}

std::string nameOf(const RequestNames &names, const RequestPrint &print)
{
    const auto exact = names.names_.find(print);
    if (exact != names.names_.end())
        return exact->second;
    const auto found = names.names_.lower_bound({print.request_, 0});
    const bool isKnown = found != names.names_.end() && found->first.request_ == print.request_;
    return isKnown ? found->second : "";
}

} // namespace Policy
