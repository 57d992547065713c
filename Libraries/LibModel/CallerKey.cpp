#include "CallerKey.h"

#include "ResultCode.h"

#include <algorithm>
#include <charconv>
#include <nettle/sha2.h>

namespace Model {

CallerKeyDigest digestOf(std::string_view key)
{
    sha256_ctx context;
    sha256_init(&context);
    sha256_update(&context, key.size(), reinterpret_cast<const std::uint8_t *>(key.data()));
    CallerKeyDigest digest;
    sha256_digest(&context, digest.bytes_.size(), digest.bytes_.data());
    return digest;
}

std::string toText(const CallerKeyDigest &digest)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const std::uint8_t byte : digest.bytes_) {
        text += digits[byte >> 4U];
        text += digits[byte & 0xFU];
    }
    return text;
}

std::optional<CallerKeyDigest> callerKeyDigestFromText(std::string_view text)
{
    CallerKeyDigest digest;
    const bool isLowerHex = std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'f');
    });
    if (!isLowerHex || text.size() != 2 * digest.bytes_.size())
        return fail(ResultCode::BadValue, "not 32 lower-case hexadecimal digits");
    for (std::size_t i = 0; i < digest.bytes_.size(); ++i) {
        const char *pair = text.data() + 2 * i;
        std::from_chars(pair, pair + 2, digest.bytes_[i], 16);
    }
    return digest;
}

} // namespace Model
