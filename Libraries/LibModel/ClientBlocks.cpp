#include "ClientBlocks.h"

#include "ResultCode.h"

#include <algorithm>
#include <arpa/inet.h>
#include <charconv>
#include <map>
#include <sstream>

namespace Model {

namespace {

constexpr std::uint32_t noLocation = 0;
constexpr int ipv6Bits = 128;
constexpr int ipv4Bits = 32;
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

std::optional<ClientBlocks::IpAddress> ClientBlocks::ipAddressFromText(const std::string &host)
{
    unsigned char bytes[16];
    if (inet_pton(AF_INET, host.c_str(), bytes) == 1)
        return IpAddress{0, mappedIpv4Marker | bigEndian(bytes, 4)};
    if (inet_pton(AF_INET6, host.c_str(), bytes) == 1)
        return IpAddress{bigEndian(bytes, 8), bigEndian(bytes + 8, 8)};
    return std::nullopt;
}

std::optional<ClientBlocks::Block> ClientBlocks::blockFromText(const std::string &text)
{
    const auto slash = text.find('/');
    const auto address = ipAddressFromText(text.substr(0, slash));
    if (slash == std::string::npos || !address)
        return std::nullopt;
    int length = 0;
    const char *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data() + slash + 1, end, length);
    const int bits = text.find(':') == std::string::npos ? ipv4Bits : ipv6Bits;
    if (error != std::errc() || rest != end || length < 0 || length > bits)
        return std::nullopt;

    const int freeBits = bits - length;
    Block block;
    block.first_ = {address->high_ & ~lowBits(freeBits - 64), address->low_ & ~lowBits(freeBits)};
    block.last_ = {address->high_ | lowBits(freeBits - 64), address->low_ | lowBits(freeBits)};
    return block;
}

ClientBlocks::IpAddress ClientBlocks::successor(IpAddress address)
{
    ++address.low_;
    if (address.low_ == 0)
        ++address.high_;
    return address;
}

std::optional<ClientBlocks> ClientBlocks::build(const std::string &text)
{
    ClientBlocks result;
    result.locations_.emplace_back();
    std::map<BlockLocation, std::uint32_t> locationIndexes;
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
        const BlockLocation location{RegionId(region), FailureDomainId(domain)};
        const auto next = static_cast<std::uint32_t>(result.locations_.size());
        const auto [known, isNew] = locationIndexes.try_emplace(location, next);
        if (isNew)
            result.locations_.push_back(location);
        block->location_ = known->second;
        blocks.push_back(*block);
    }
    result.blockCount_ = blocks.size();
    result.flatten(std::move(blocks));
    return result;
}

void ClientBlocks::flatten(std::vector<Block> blocks)
{
    // Outer blocks sort before the blocks inside them, so a stack holds the blocks around an
    // address.
    std::sort(blocks.begin(), blocks.end(), [](const Block &a, const Block &b) {
        return a.first_ != b.first_ ? a.first_ < b.first_ : a.last_ > b.last_;
    });
    std::vector<Block> around;
    const auto put = [&](IpAddress first, std::uint32_t location) {
        if (!ranges_.empty() && ranges_.back().first_ == first) {
            ranges_.back().location_ = location;
        } else {
            ranges_.push_back({first, location});
        }
    };
    const auto closeUpTo = [&](const IpAddress *limit) {
        while (!around.empty() && (!limit || around.back().last_ < *limit)) {
            const IpAddress next = successor(around.back().last_);
            around.pop_back();
            put(next, around.empty() ? noLocation : around.back().location_);
        }
    };
    put(IpAddress{0, 0}, noLocation);
    for (const auto &block : blocks) {
        closeUpTo(&block.first_);
        put(block.first_, block.location_);
        around.push_back(block);
    }
    closeUpTo(nullptr);
    ranges_.shrink_to_fit();
}

const BlockLocation *ClientBlocks::locationOf(const std::string &host) const
{
    const auto address = ipAddressFromText(host);
    if (!address || ranges_.empty())
        return nullptr;
    const auto after
        = std::upper_bound(ranges_.begin(), ranges_.end(), *address,
                           [](const IpAddress &value, const AddressRange &addressRange) {
                               return value < addressRange.first_;
                           });
    const std::uint32_t location = std::prev(after)->location_;
    return location == noLocation ? nullptr : &locations_[location];
}

} // namespace Model
