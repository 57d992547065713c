#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Policy {

/// What a caller asks for, as far as it tells one request from another.
struct RequestText
{
    std::string_view method_;
    std::string_view host_;
    /// Path and query.
    std::string_view target_;
    std::string_view body_;
    /// Who asks: the caller's name or key, else its IP number.
    std::string_view caller_;
};

/// A request without its id: the same for every repeat of it, on every instance.
struct RequestPrint
{
    /// The upper half is headOf() of the request, the lower half depends on its body too.
    std::uint64_t request_ = 0;
    /// Zero stands for any caller.
    std::uint32_t caller_ = 0;

    auto operator<=>(const RequestPrint &) const = default;
};

/// Returns the part of a print that does not need the body. Thread safety: any thread.
std::uint32_t headOf(const RequestText &text);
constexpr std::uint32_t headOf(const RequestPrint &print)
{
    return static_cast<std::uint32_t>(print.request_ >> 32U);
}

/// Returns the print of a request; \a head is headOf() of it. Thread safety: any thread.
RequestPrint printOf(const RequestText &text, std::uint32_t head);
inline RequestPrint printOf(const RequestText &text)
{
    return printOf(text, headOf(text));
}

/// Returns "0123456789abcdef-01234567"; printFromText() reads it back and returns nothing, with
/// BadValue as the last reason, for any other text. Thread safety: any thread.
std::string toText(const RequestPrint &print);
std::optional<RequestPrint> printFromText(std::string_view text);

} // namespace Policy
