#include "TableReplica.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace Steering {

using Platform::Revision;
using Platform::StoredRow;
using Platform::StoredRows;

namespace {

/// Removed rows that are kept for peers that request changes: several times as many as a large site
/// replaces in a day, at some dozen bytes each.
constexpr std::size_t maxRememberedRemovals = 4096;

} // namespace

bool TableReplica::replace(const StoredRows &rows)
{
    if (isKnown_ && rows.revision_ < knownRevision_)
        return false;
    if (!isKnown_)
        removalsKnownSince_ = rows.revision_;
    std::set<std::string_view> present;
    for (const auto &row : rows.rows_) {
        if (!row.value_)
            continue;
        present.insert(row.key_);
        const auto held = rows_.find(row.key_);
        if (held == rows_.end() || held->second.revision_ != row.revision_)
            put(row);
    }
    // A missing row was removed at some earlier revision. It gets the newest one, so that every
    // peer that requests changes later receives the removal.
    std::vector<std::string> removedKeys;
    for (const auto &[key, row] : rows_) {
        if (!present.contains(key))
            removedKeys.push_back(key);
    }
    for (const auto &key : removedKeys)
        remove(key, rows.revision_);
    knownRevision_ = rows.revision_;
    isKnown_ = true;
    return true;
}

void TableReplica::put(const StoredRow &row)
{
    lastChange_ = std::max(lastChange_, row.revision_);
    rows_[row.key_] = row;
    removedAt_.erase(row.key_);
}

void TableReplica::remove(const std::string &key, Revision at)
{
    lastChange_ = std::max(lastChange_, at);
    rows_.erase(key);
    removedAt_[key] = at;
}

std::optional<Revision> TableReplica::removedAt(const std::string &key) const
{
    const auto found = removedAt_.find(key);
    if (found == removedAt_.end())
        return std::nullopt;
    return found->second;
}

void TableReplica::applyRow(const StoredRow &row)
{
    const auto held = rows_.find(row.key_);
    if (held != rows_.end() && held->second.revision_ >= row.revision_)
        return;
    const auto removed = removedAt_.find(row.key_);
    if (removed != removedAt_.end() && removed->second >= row.revision_)
        return;
    if (row.value_) {
        put(row);
    } else {
        remove(row.key_, row.revision_);
    }
}

void TableReplica::apply(const StoredRows &changes)
{
    for (const auto &row : changes.rows_)
        applyRow(row);
    knownRevision_ = std::max(knownRevision_, changes.revision_);
    if (removedAt_.size() > maxRememberedRemovals)
        forgetOldRemovals();
}

void TableReplica::forgetOldRemovals()
{
    std::vector<Revision> revisions;
    for (const auto &[key, revision] : removedAt_)
        revisions.push_back(revision);
    const auto middle = revisions.begin() + static_cast<std::ptrdiff_t>(revisions.size() / 2);
    std::nth_element(revisions.begin(), middle, revisions.end());
    removalsKnownSince_ = std::max(removalsKnownSince_, *middle);
    std::erase_if(removedAt_, [&](const auto &entry) {
        return entry.second <= removalsKnownSince_;
    });
}

std::optional<StoredRows> TableReplica::changesSince(Revision since) const
{
    if (!isKnown_ || since < removalsKnownSince_)
        return std::nullopt;
    StoredRows changes;
    changes.revision_ = knownRevision_;
    for (const auto &[key, row] : rows_) {
        if (row.revision_ > since)
            changes.rows_.push_back(row);
    }
    for (const auto &[key, revision] : removedAt_) {
        if (revision > since)
            changes.rows_.push_back({key, std::nullopt, revision});
    }
    return changes;
}

StoredRows TableReplica::snapshot() const
{
    StoredRows all;
    all.revision_ = knownRevision_;
    for (const auto &[key, row] : rows_)
        all.rows_.push_back(row);
    return all;
}

} // namespace Steering
