#include "Compression.h"

#include <LibModel/LibModel.h>

#include <zstd.h>

namespace Http {

namespace {

/// Higher levels take several times the processor time for a tenth fewer bytes.
constexpr int compressionLevel = 1;

} // namespace

std::string compressed(std::string_view bytes)
{
    std::string result(ZSTD_compressBound(bytes.size()), '\0');
    const std::size_t size
        = ZSTD_compress(result.data(), result.size(), bytes.data(), bytes.size(), compressionLevel);
    // Cannot fail: the buffer has the size that the library asks for.
    result.resize(size);
    return result;
}

std::optional<std::string> decompressed(std::string_view bytes, std::size_t limit)
{
    const auto size = ZSTD_getFrameContentSize(bytes.data(), bytes.size());
    if (size == ZSTD_CONTENTSIZE_ERROR || size == ZSTD_CONTENTSIZE_UNKNOWN || size > limit)
        return Model::fail(Model::ResultCode::PeerMessageUnreadable, "no compressed bytes");
    std::string result(size, '\0');
    const std::size_t written
        = ZSTD_decompress(result.data(), result.size(), bytes.data(), bytes.size());
    if (ZSTD_isError(written) != 0 || written != size)
        return Model::fail(Model::ResultCode::PeerMessageUnreadable, "damaged compressed bytes");
    return result;
}

} // namespace Http
