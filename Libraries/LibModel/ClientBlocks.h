#pragma once

#include "Identifiers.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Model {

/// The location of a block of callers' IP addresses.
struct BlockLocation
{
    RegionId region_;
    /// The failure domain nearest to the callers; empty if there is none.
    FailureDomainId domain_;

    auto operator<=>(const BlockLocation &) const = default;
};

/// Maps callers' IP addresses to locations, as stored in the object store.
///
/// Immutable after build(), so any number of threads may read it without a lock. Blocks may nest;
/// the smallest block that contains an address wins.
class ClientBlocks
{
public:
    /// Parses one block per line: "192.0.2.0/24 Primorska primorska-a". The failure domain is
    /// optional; lines that begin with ';' and empty lines are skipped.
    ///
    /// Returns std::nullopt, with MalformedText and the line as the last reason, for any other
    /// text. Thread safety: any thread.
    static std::optional<ClientBlocks> build(const std::string &text);

    /// Returns the location of \a host, or nullptr if no block contains it or it is not an IP
    /// address. Takes logarithmic time and no lock. Thread safety: any thread.
    const BlockLocation *locationOf(const std::string &host) const;

    /// Returns the number of blocks that build() parsed.
    std::size_t size() const { return blockCount_; }

private:
    /// An IPv6 address; IPv4 addresses are mapped to IPv6.
    struct IpAddress
    {
        std::uint64_t high_ = 0;
        std::uint64_t low_ = 0;

        auto operator<=>(const IpAddress &) const = default;
    };

    struct Block
    {
        IpAddress first_;
        IpAddress last_;
        std::uint32_t location_ = 0;
    };

    /// Addresses from `first_` up to the next range, all at one location.
    struct AddressRange
    {
        IpAddress first_;
        std::uint32_t location_ = 0;
    };

    static std::optional<IpAddress> ipAddressFromText(const std::string &host);
    static std::optional<Block> blockFromText(const std::string &text);
    static IpAddress successor(IpAddress address);
    void flatten(std::vector<Block> blocks);

    std::vector<AddressRange> ranges_;
    /// The first location stands for "no block".
    std::vector<BlockLocation> locations_;
    std::size_t blockCount_ = 0;
};

} // namespace Model
