#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <string>

namespace Platform {

/// Rises by one each time the platform's store has returned from an older copy of its rows; zero
/// for a store that does not tell.
using StoreEra = Model::StrongNumber<struct StoreEraTag, std::uint16_t>;

/// The place of a change in the store's history: the era, and a number that increases with each
/// commit within it.
///
/// A store that has returned gives the same numbers out again, for other changes. With the era in
/// the upper bits, every revision of a later era is newer, wherever revisions are compared.
using Revision = Model::StrongNumber<struct RevisionTag, std::uint64_t>;

/// Bits of the number within an era.
constexpr unsigned revisionNumberBits = 48;
constexpr std::uint64_t maxRevisionNumber = (std::uint64_t(1) << revisionNumberBits) - 1;

/// Returns the revision \a number of \a era. Precondition: \a number is at most maxRevisionNumber.
/// Thread safety of all four: any thread.
constexpr Revision revisionIn(StoreEra era, std::uint64_t number)
{
    return Revision((static_cast<std::uint64_t>(era.value()) << revisionNumberBits) | number);
}

constexpr StoreEra eraOf(Revision revision)
{
    return StoreEra(static_cast<std::uint16_t>(revision.value() >> revisionNumberBits));
}

constexpr std::uint64_t numberOf(Revision revision)
{
    return revision.value() & maxRevisionNumber;
}

/// Returns "number", or "era:number" unless the era is zero.
inline std::string toText(Revision revision)
{
    const std::string number = std::to_string(numberOf(revision));
    const StoreEra era = eraOf(revision);
    return era == StoreEra() ? number : std::to_string(era.value()) + ":" + number;
}

} // namespace Platform
