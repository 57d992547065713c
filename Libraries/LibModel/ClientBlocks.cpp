#include "ClientBlocks.h"

#include "ResultCode.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <map>
#include <sstream>

namespace Model {

namespace {

constexpr std::uint32_t noPlace = 0;
constexpr int bitsOfIpv6 = 128;
constexpr int bitsOfIpv4 = 32;
constexpr std::uint64_t mappedIpv4Marker = 0xffffULL << 32;

std::uint64_t bigEndian(const unsigned char *bytes, int count)
{
    std::uint64_t value = 0;
    for (int i = 0; i < count; ++i)
        value = (value << 8) | bytes[i];
    return value;
}

std::uint64_t lowBits(int count)
{
    if (count <= 0)
        return 0;
    return count >= 64 ? ~0ULL : (1ULL << count) - 1;
}

} // namespace

std::optional<ClientBlocks::Number> ClientBlocks::numberOf(const std::string &host)
{
    unsigned char bytes[16];
    if (inet_pton(AF_INET, host.c_str(), bytes) == 1)
        return Number{0, mappedIpv4Marker | bigEndian(bytes, 4)};
    if (inet_pton(AF_INET6, host.c_str(), bytes) == 1)
        return Number{bigEndian(bytes, 8), bigEndian(bytes + 8, 8)};
    return std::nullopt;
}

std::optional<ClientBlocks::Block> ClientBlocks::blockFromText(const std::string &text)
{
    const auto slash = text.find('/');
    const auto number = numberOf(text.substr(0, slash));
    if (slash == std::string::npos || !number)
        return std::nullopt;
    int length = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + slash + 1, end, length);
    const int bits = text.find(':') == std::string::npos ? bitsOfIpv4 : bitsOfIpv6;
    if (error != std::errc() || rest != end || length < 0 || length > bits)
        return std::nullopt;

    const int freeBits = bits - length;
    Block block;
    block.first_ = {number->high_ & ~lowBits(freeBits - 64), number->low_ & ~lowBits(freeBits)};
    block.last_ = {number->high_ | lowBits(freeBits - 64), number->low_ | lowBits(freeBits)};
    return block;
}

ClientBlocks::Number ClientBlocks::successor(Number number)
{
    ++number.low_;
    if (number.low_ == 0)
        ++number.high_;
    return number;
}

std::optional<ClientBlocks> ClientBlocks::build(const std::string &text)
{
    ClientBlocks result;
    result.places_.emplace_back();
    std::map<BlockPlace, std::uint32_t> placeNumbers;
    std::vector<Block> blocks;
    std::istringstream lines(text);
    std::size_t lineNumber = 0;
    for (std::string line; std::getline(lines, line);) {
        ++lineNumber;
        if (line.empty() || line.front() == ';')
            continue;
        std::istringstream words(line);
        std::string range;
        std::string region;
        std::string domain;
        words >> range >> region >> domain;
        auto block = blockFromText(range);
        if (!block || region.empty()) {
            return fail(ResultCode::MalformedText,
                        "line " + std::to_string(lineNumber) + ": '" + line + "'");
        }
        const BlockPlace place{RegionId(region), FailureDomainId(domain)};
        const auto next = static_cast<std::uint32_t>(result.places_.size());
        const auto [known, isNew] = placeNumbers.try_emplace(place, next);
        if (isNew)
            result.places_.push_back(place);
        block->place_ = known->second;
        blocks.push_back(*block);
    }
    result.blockCount_ = blocks.size();
    result.flatten(std::move(blocks));
    return result;
}

void ClientBlocks::flatten(std::vector<Block> blocks)
{
    // Outer blocks come before the blocks inside them, so a stack holds the blocks around a point.
    std::sort(blocks.begin(), blocks.end(), [](const Block &a, const Block &b) {
        return a.first_ != b.first_ ? a.first_ < b.first_ : a.last_ > b.last_;
    });
    std::vector<Block> around;
    const auto put = [&](Number first, std::uint32_t place) {
        if (!stretches_.empty() && stretches_.back().first_ == first) {
            stretches_.back().place_ = place;
        } else {
            stretches_.push_back({first, place});
        }
    };
    const auto closeUpTo = [&](const Number *limit) {
        while (!around.empty() && (!limit || around.back().last_ < *limit)) {
            const Number next = successor(around.back().last_);
            around.pop_back();
            put(next, around.empty() ? noPlace : around.back().place_);
        }
    };
    put(Number{0, 0}, noPlace);
    for (const auto &block : blocks) {
        closeUpTo(&block.first_);
        put(block.first_, block.place_);
        around.push_back(block);
    }
    closeUpTo(nullptr);
    stretches_.shrink_to_fit();
}

const BlockPlace *ClientBlocks::placeOf(const std::string &host) const
{
    const auto number = numberOf(host);
    if (!number || stretches_.empty())
        return nullptr;
    const auto after = std::upper_bound(stretches_.begin(), stretches_.end(), *number,
                                        [](const Number &value, const Stretch &stretch) {
                                            return value < stretch.first_;
                                        });
    const std::uint32_t place = std::prev(after)->place_;
    return place == noPlace ? nullptr : &places_[place];
}

} // namespace Model
