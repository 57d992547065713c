#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
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

/// What requests with a print asked for, in the words of their callers, so that operators recognise
/// them. Not shared between threads.
struct RequestNames
{
    std::map<RequestPrint, std::string> names_;
};

/// Names kept, and the longest; where more come, all are forgotten.
constexpr std::size_t mostNames = 256;
constexpr std::size_t longestName = 120;

/// Remembers \a name, shortened if need be. Thread safety: \a names belongs to the calling thread.
void remember(RequestNames &names, const RequestPrint &print, std::string name);

/// Returns the name of a request with \a print, or of one that differs in its caller only; empty if
/// there is none. Thread safety: any thread.
std::string nameOf(const RequestNames &names, const RequestPrint &print);

} // namespace Policy
