#include "TableReplica.h"

#include <algorithm>
#include <functional>
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
/// Earlier states of a row that are kept; a copy is some seconds old.
constexpr std::size_t maxEarlierStates = 8;

} // namespace

bool TableReplica::replace(const StoredRows &rows)
{
    if (isKnown_ && rows.revision_ < knownRevision_)
        return false;
    const auto era = Platform::eraOf(rows.revision_);
    const bool hasReturned = isKnown_ && era > Platform::eraOf(knownRevision_);
    if (!isKnown_ || hasReturned)
        removalsKnownSince_ = rows.revision_;
    std::set<std::string_view> present;
    for (const auto &row : rows.rows_) {
        if (!row.value_)
            continue;
        present.insert(row.key_);
        if (isFromCopy(row)) {
            holdOver(row.key_, row.revision_);
            continue;
        }
        const auto held = rows_.find(row.key_);
        if (held == rows_.end() || held->second.revision_ != row.revision_)
            put(row);
    }
    // A missing row was removed at some earlier revision. It gets the newest one, so that every
    // peer that requests changes later receives the removal.
    std::vector<std::string> missingKeys;
    for (const auto &[key, row] : rows_) {
        if (!present.contains(key))
            missingKeys.push_back(key);
    }
    for (const auto &key : missingKeys) {
        // A peer may have sent a row that it holds over.
        const bool isHeldOver = Platform::numberOf(revisionOf(key)) == 0;
        if (isHeldOver || (hasReturned && isNewerThanCopy(key, rows.revision_))) {
            holdOver(key, Platform::revisionIn(era, 0));
        } else {
            remove(key, rows.revision_);
        }
    }
    // Peers learn from it that the store has returned.
    if (hasReturned)
        lastChange_ = std::max(lastChange_, rows.revision_);
    knownRevision_ = rows.revision_;
    isKnown_ = true;
    return true;
}

/// Returns whether \a row is an older state than the known one, of a copy from which the store has
/// returned: a state of the same number that was replaced or removed in an earlier era.
bool TableReplica::isFromCopy(const StoredRow &row) const
{
    const auto earlier = earlier_.find(row.key_);
    if (earlier == earlier_.end() || !row.value_)
        return false;
    const auto era = Platform::eraOf(row.revision_);
    const auto number = Platform::numberOf(row.revision_);
    // A target's row changes without a new revision while only its report count changes.
    const auto hash = std::hash<std::string>()(*row.value_);
    return std::any_of(earlier->second.begin(), earlier->second.end(), [&](const auto &state) {
        return Platform::eraOf(state.revision_) < era
               && Platform::numberOf(state.revision_) == number
               && (writers_ == TableWriters::Targets || state.valueHash_ == hash);
    });
}

/// Returns whether a copy of at most \a copyRevision lacks the row because it is older. Otherwise
/// the row was removed after the return.
bool TableReplica::isNewerThanCopy(const std::string &key, Revision copyRevision) const
{
    return writers_ == TableWriters::Operators
           && Platform::numberOf(revisionOf(key)) > Platform::numberOf(copyRevision);
}

/// Returns the revision of the known state of a row, which is present or removed.
Revision TableReplica::revisionOf(const std::string &key) const
{
    const auto held = rows_.find(key);
    return held != rows_.end() ? held->second.revision_ : removedAt(key).value_or(Revision());
}

/// Keeps the known state of a row as that of revision \a inCopy, until it is written again.
void TableReplica::holdOver(const std::string &key, Revision inCopy)
{
    // It has been held over, or written again since.
    if (Platform::eraOf(revisionOf(key)) >= Platform::eraOf(inCopy))
        return;
    const auto held = rows_.find(key);
    if (held != rows_.end()) {
        held->second.revision_ = inCopy;
    } else {
        removedAt_[key] = inCopy;
    }
    heldOver_[key] = inCopy;
}

void TableReplica::rememberEarlier(const StoredRow &row)
{
    auto &states = earlier_[row.key_];
    states.push_back({row.revision_, std::hash<std::string>()(row.value_.value_or(""))});
    if (states.size() > maxEarlierStates)
        states.erase(states.begin());
}

void TableReplica::put(const StoredRow &row)
{
    lastChange_ = std::max(lastChange_, row.revision_);
    const auto held = rows_.find(row.key_);
    if (held != rows_.end() && held->second.value_ != row.value_)
        rememberEarlier(held->second);
    rows_[row.key_] = row;
    removedAt_.erase(row.key_);
    heldOver_.erase(row.key_);
}

void TableReplica::remove(const std::string &key, Revision at)
{
    lastChange_ = std::max(lastChange_, at);
    const auto held = rows_.find(key);
    if (held != rows_.end()) {
        rememberEarlier(held->second);
        rows_.erase(held);
    }
    removedAt_[key] = at;
    heldOver_.erase(key);
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
    if (isFromCopy(row)) {
        holdOver(row.key_, row.revision_);
        return;
    }
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
    std::erase_if(earlier_, [&](const auto &entry) {
        return !rows_.contains(entry.first) && !removedAt_.contains(entry.first);
    });
}

std::optional<StoredRows> TableReplica::changesSince(Revision since) const
{
    // A peer of an earlier era may hold rows that were never known here.
    if (!isKnown_ || since < removalsKnownSince_
        || Platform::eraOf(since) != Platform::eraOf(knownRevision_))
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
