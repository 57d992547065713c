#pragma once

#include <LibPlatform/LibPlatform.h>

#include <map>
#include <string>

namespace Steering {

/// One table of the store as it is known here, whoever told of it.
///
/// Thread safety: none.
class Mirror
{
public:
    const std::map<std::string, Platform::StoredRow> &rows() const { return rows_; }
    /// Everything up to this revision is in rows().
    Platform::Revision position() const { return position_; }
    /// The revision of the last change that is in rows(): unlike the position it stands still while
    /// only other tables change, so it tells who knows more.
    Platform::Revision lastChange() const { return lastChange_; }
    bool isKnown() const { return isKnown_; }
    /// Returns the revision in which a row was gone that is not there any more. Nothing if it never
    /// was, or went so long ago that this is forgotten.
    std::optional<Platform::Revision> removedAt(const std::string &key) const;

    /// Replaces everything, unless \a rows is older than what is known. Returns whether it did.
    bool replace(const Platform::StoredRows &rows);

    /// Takes in changes, each unless its row is known as it was later: they may come from the store
    /// and from peers, in any order and more than once. Precondition: they lead on from a position
    /// that is not above position().
    void apply(const Platform::StoredRows &changes);

    /// Returns what changed after \a position, or nothing if that is not known any more.
    std::optional<Platform::StoredRows> changesSince(Platform::Revision position) const;
    /// Returns all rows.
    Platform::StoredRows everything() const;

private:
    void applyRow(const Platform::StoredRow &row);
    void put(const Platform::StoredRow &row);
    void remove(const std::string &key, Platform::Revision at);
    void forgetOldRemovals();

    std::map<std::string, Platform::StoredRow> rows_;
    /// When rows went that are not there any more.
    std::map<std::string, Platform::Revision> removedAt_;
    Platform::Revision position_;
    Platform::Revision lastChange_;
    /// What went before this revision is not known.
    Platform::Revision removalsKnownSince_;
    bool isKnown_ = false;
};

} // namespace Steering
