#pragma once

#include <LibPlatform/LibPlatform.h>

#include <map>
#include <string>

namespace Steering {

/// A local replica of one table of the store, fed by the store and by peers.
///
/// Thread safety: none.
class TableReplica
{
public:
    const std::map<std::string, Platform::StoredRow> &rows() const { return rows_; }
    /// The revision up to which rows() has every change.
    Platform::Revision knownRevision() const { return knownRevision_; }
    /// The revision of the last change in rows(). Unlike that revision it does not increase while
    /// only other tables change, so it shows which of two instances holds newer rows.
    Platform::Revision lastChange() const { return lastChange_; }
    bool isKnown() const { return isKnown_; }
    /// Returns the revision in which a row was removed; std::nullopt if the row exists, has never
    /// existed, or its removal has been forgotten.
    std::optional<Platform::Revision> removedAt(const std::string &key) const;

    /// Replaces all rows, unless \a rows is older than the known revision. Returns whether it did.
    bool replace(const Platform::StoredRows &rows);

    /// Records each change unless a newer state of its row is known: changes may come from the
    /// store and from peers, in any order and more than once. Precondition: they start at a
    /// revision that is not above the known one.
    void apply(const Platform::StoredRows &changes);

    /// Returns the changes after \a since, or std::nullopt if they have been forgotten.
    std::optional<Platform::StoredRows> changesSince(Platform::Revision since) const;
    Platform::StoredRows snapshot() const;

private:
    void applyRow(const Platform::StoredRow &row);
    void put(const Platform::StoredRow &row);
    void remove(const std::string &key, Platform::Revision at);
    void forgetOldRemovals();

    std::map<std::string, Platform::StoredRow> rows_;
    /// The revisions in which removed rows were removed, by key.
    std::map<std::string, Platform::Revision> removedAt_;
    Platform::Revision knownRevision_;
    Platform::Revision lastChange_;
    /// Removals before this revision have been forgotten.
    Platform::Revision removalsKnownSince_;
    bool isKnown_ = false;
};

} // namespace Steering
