#include "Edits.h"

#include <LibPolicy/LibPolicy.h>

#include <algorithm>
#include <cstdio>

namespace Platform {

using Http::Task;
using Model::ResultCode;

namespace {

/// Attempts per edit: conflicts on other rows and lost confirmations are retried.
constexpr int maxCommitTries = 8;

std::string auditKey(Model::TableVersion version)
{
    char text[32];
    std::snprintf(text, sizeof text, "%012llu", static_cast<unsigned long long>(version.value()));
    return auditPrefix + std::string(text);
}

std::string editKey(const Model::EditId &id)
{
    return editPrefix + id.value();
}

Revision revisionOf(const TableMirror &mirror, const std::string &key)
{
    const auto found = mirror.revisions_.find(key);
    return found == mirror.revisions_.end() ? Revision(0) : found->second;
}

bool isConflicting(const TableMirror &mirror, const Edit &edit)
{
    if (!edit.base_)
        return false;
    return std::any_of(edit.rows_.begin(), edit.rows_.end(), [&](const RowEdit &row) {
        const auto current = mirror.rows_.find(row.row_);
        return current != mirror.rows_.end() && current->second.changedAt_ > *edit.base_;
    });
}

/// The transaction of one attempt, and the version that it creates.
struct PreparedEdit
{
    Commit commit_;
    Model::TableVersion version_;
};

std::optional<PreparedEdit> prepare(const TableMirror &mirror, const Edit &edit)
{
    if (isConflicting(mirror, edit))
        return Model::fail(ResultCode::EditConflict, "a row changed since the edit's base version");
    auto rows = rowsAfter(mirror, edit);
    if (!rows)
        return std::nullopt;

    PreparedEdit prepared;
    prepared.version_ = mirror.version_ + Model::TableVersion(1);
    const auto before = buildTable(mirror);
    std::vector<Model::Row> oldRows;
    for (const auto &[key, row] : mirror.rows_)
        oldRows.push_back(row);
    const auto changes = Model::changesBetween(oldRows, *rows);
    const auto after = Model::Table::build(prepared.version_, *rows, {});
    if (!after || !before)
        return std::nullopt;

    Commit &commit = prepared.commit_;
    commit.conditions_.push_back({versionKey, revisionOf(mirror, versionKey)});
    commit.conditions_.push_back({editKey(edit.id_), Revision(0)});
    commit.writes_.push_back({versionKey, std::to_string(prepared.version_.value())});
    commit.writes_.push_back({editKey(edit.id_), std::to_string(prepared.version_.value())});
    for (const auto &rowEdit : edit.rows_) {
        const auto row = std::find_if(rows->begin(), rows->end(), [&](const auto &r) {
            return r.key_ == rowEdit.row_;
        });
        row->changedAt_ = prepared.version_;
        const std::string key = storeKey(row->key_);
        commit.conditions_.push_back({key, revisionOf(mirror, key)});
        commit.writes_.push_back({key, storeValue(*row)});
    }
    for (const auto &start : Policy::shiftStartsForEdit(*before, *after, edit.at_))
        commit.writes_.push_back({storeKey(start), storeValue(start)});
    const Observe::AuditRecord record{prepared.version_, edit.id_, edit.operator_, edit.at_,
                                      changes};
    commit.writes_.push_back({auditKey(prepared.version_), Observe::toText(record)});
    return prepared;
}

/// Returns the version under which the edit was accepted, zero if it was not, std::nullopt if the
/// store could not be read.
Task<std::optional<Model::TableVersion>> acceptedVersion(Store &store, Model::EditId id)
{
    const std::string key = editKey(id);
    const auto rows = co_await readRows(store, key, Revision(0));
    if (!rows)
        co_return std::nullopt;
    for (const auto &row : rows->rows_) {
        if (row.key_ == key && row.value_)
            co_return Model::TableVersion(std::strtoull(row.value_->c_str(), nullptr, 10));
    }
    co_return Model::TableVersion(0);
}

bool touchesEditedRow(const Edit &edit, const std::vector<std::string> &conflicts)
{
    return std::any_of(edit.rows_.begin(), edit.rows_.end(), [&](const RowEdit &row) {
        return std::count(conflicts.begin(), conflicts.end(), storeKey(row.row_)) > 0;
    });
}

} // namespace

std::optional<std::vector<Model::Row>> rowsAfter(const TableMirror &mirror, const Edit &edit)
{
    auto rows = mirror.rows_;
    for (const auto &rowEdit : edit.rows_) {
        const auto current = rows.find(rowEdit.row_);
        const bool exists = current != rows.end() && !current->second.deleted_;
        if (rowEdit.removesRow_ && !exists)
            return Model::fail(ResultCode::UnknownRow, "row '" + toText(rowEdit.row_) + "'");
        Model::Row &row = rows[rowEdit.row_];
        row.key_ = rowEdit.row_;
        if (!exists)
            row.cells_.clear();
        row.deleted_ = rowEdit.removesRow_;
        for (const auto &[column, value] : rowEdit.cells_) {
            if (value) {
                row.cells_[column] = *value;
            } else {
                row.cells_.erase(column);
            }
        }
    }
    std::vector<Model::Row> result;
    for (auto &[key, row] : rows)
        result.push_back(std::move(row));
    return result;
}

Task<std::optional<TableMirror>> readTable(Store &store)
{
    const auto rows = co_await readRows(store, tablePrefix, Revision(0));
    if (!rows)
        co_return std::nullopt;
    TableMirror mirror;
    if (!applyRows(mirror, *rows))
        co_return std::nullopt;
    co_return std::optional<TableMirror>(std::move(mirror));
}

Task<std::optional<Model::TableVersion>> commitEdit(Store &store, const Edit &edit)
{
    bool mayHaveTakenEffect = false;
    for (int attempt = 0; attempt < maxCommitTries; ++attempt) {
        // A confirmation can be lost although the write took effect. The edit's own row, written
        // in the same transaction, shows this; without it a retried edit would be applied twice.
        const auto accepted = co_await acceptedVersion(store, edit.id_);
        if (accepted && *accepted > Model::TableVersion(0))
            co_return *accepted;
        std::optional<TableMirror> mirror;
        if (accepted) {
            mirror = co_await readTable(store);
        }
        if (!mirror) {
            if (!mayHaveTakenEffect)
                co_return std::nullopt;
            co_await Http::sleepFor(Model::Milliseconds(100));
            continue;
        }
        const auto prepared = prepare(*mirror, edit);
        if (!prepared)
            co_return std::nullopt;
        const auto answer = co_await commit(store, prepared->commit_);
        if (!answer) {
            if (Model::lastReason().code_ != ResultCode::CommitOutcomeUnknown)
                co_return std::nullopt;
            mayHaveTakenEffect = true;
            continue;
        }
        if (answer->conflicts_.empty())
            co_return prepared->version_;
        if (touchesEditedRow(edit, answer->conflicts_))
            co_return Model::fail(ResultCode::EditConflict, answer->conflicts_.back());
    }
    if (mayHaveTakenEffect)
        co_return Model::fail(ResultCode::EditOutcomeUnknown, "edit id " + edit.id_.value());
    co_return Model::fail(ResultCode::EditConflict, "too many concurrent edits");
}

Task<std::optional<std::vector<Observe::AuditRecord>>> readHistory(Store &store)
{
    const auto rows = co_await readRows(store, auditPrefix, Revision(0));
    if (!rows)
        co_return std::nullopt;
    std::vector<Observe::AuditRecord> records;
    for (const auto &row : rows->rows_) {
        if (!row.value_)
            continue;
        auto record = Observe::auditFromText(*row.value_);
        if (!record)
            co_return std::nullopt;
        records.push_back(std::move(*record));
    }
    co_return std::optional<std::vector<Observe::AuditRecord>>(std::move(records));
}

} // namespace Platform
