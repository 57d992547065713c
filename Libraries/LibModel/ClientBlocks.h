#pragma once

#include "Identifiers.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Model {

/// Where a block of callers' IP numbers is.
struct BlockPlace
{
    RegionId region_;
    /// The failure domain near the callers; empty if none is.
    FailureDomainId domain_;

    auto operator<=>(const BlockPlace &) const = default;
};

/// The map from callers' IP numbers to places, as the object store keeps it.
///
/// Immutable after build(), so any number of threads may read it without a lock. Blocks may nest;
/// the smallest block around a number wins.
class ClientBlocks
{
public:
    /// Reads one block a line: "192.0.2.0/24 Primorska primorska-a", the failure domain being
    /// optional; lines that begin with ';' and empty lines are passed over.
    ///
    /// Returns nothing, with MalformedText and the line as the last reason, for any other text.
    /// Thread safety: any thread.
    static std::optional<ClientBlocks> build(const std::string &text);

    /// Returns where \a host is, or nullptr if no block holds it or it is not an IP number. Takes
    /// logarithmic time and no lock. Thread safety: any thread.
    const BlockPlace *placeOf(const std::string &host) const;

    /// Returns the blocks that build() read.
    std::size_t size() const { return blockCount_; }

private:
    /// An IPv6 number; IPv4 numbers are mapped into it.
    struct Number
    {
        std::uint64_t high_ = 0;
        std::uint64_t low_ = 0;

        auto operator<=>(const Number &) const = default;
    };

    struct Block
    {
        Number first_;
        Number last_;
        std::uint32_t place_ = 0;
    };

    /// From here up to the next one everything is at one place.
    struct Stretch
    {
        Number first_;
        std::uint32_t place_ = 0;
    };

    static std::optional<Number> numberOf(const std::string &host);
    static std::optional<Block> blockFromText(const std::string &text);
    static Number successor(Number number);
    void flatten(std::vector<Block> blocks);

    std::vector<Stretch> stretches_;
    /// The first place stands for "no block".
    std::vector<BlockPlace> places_;
    std::size_t blockCount_ = 0;
};

} // namespace Model
