#pragma once

#include <LibPlatform/LibPlatform.h>

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Steering {

/// Who writes a table's rows, which decides what a copy from which the store returns can undo.
enum class TableWriters {
    /// A row that is missing from the copy counts as removed: it lapses unless its target, which
    /// writes it regularly, does so again.
    Targets,
    /// Rows are written once, and again only because the store has lost them: a row that is newer
    /// than the copy stays until then.
    Operators,
};

/// A local replica of one table of the store, fed by the store and by peers.
///
/// When the store returns from an older copy, rows of the copy that were replaced or removed before
/// are recognised by their revisions: the known state stays until the row is written again.
/// Thread safety: none.
class TableReplica
{
public:
    explicit TableReplica(TableWriters writers = TableWriters::Targets)
        : writers_(writers)
    {
    }

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

    /// Returns the number of rows whose known state stays in place of the copy's.
    std::size_t heldOver() const { return heldOver_.size(); }

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
    /// An earlier state of a row.
    struct EarlierState
    {
        Platform::Revision revision_;
        std::size_t valueHash_ = 0;
    };

    bool isFromCopy(const Platform::StoredRow &row) const;
    bool isNewerThanCopy(const std::string &key, Platform::Revision copyRevision) const;
    Platform::Revision revisionOf(const std::string &key) const;
    void holdOver(const std::string &key, Platform::Revision inCopy);
    void rememberEarlier(const Platform::StoredRow &row);
    void applyRow(const Platform::StoredRow &row);
    void put(const Platform::StoredRow &row);
    void remove(const std::string &key, Platform::Revision at);
    void forgetOldRemovals();

    const TableWriters writers_;
    std::map<std::string, Platform::StoredRow> rows_;
    /// The last states of rows that were replaced or removed, by key.
    std::map<std::string, std::vector<EarlierState>> earlier_;
    /// The revisions of the copy's rows in whose place the known state stays, by key; with number
    /// zero for a row that the copy lacks.
    std::map<std::string, Platform::Revision> heldOver_;
    /// The revisions in which removed rows were removed, by key.
    std::map<std::string, Platform::Revision> removedAt_;
    Platform::Revision knownRevision_;
    Platform::Revision lastChange_;
    /// Removals before this revision have been forgotten.
    Platform::Revision removalsKnownSince_;
    bool isKnown_ = false;
};

} // namespace Steering
