#include "TableMirror.h"

#include <nlohmann/json.hpp>

namespace Platform {

using Model::ResultCode;
using nlohmann::json;

namespace {

const std::string rowPrefix = "table/row/";
const std::string shiftPrefix = "table/shift/";

std::optional<Model::Row> rowFromStore(const std::string &key, const std::string &value)
{
    const auto rowKey = Model::rowKeyFromText(key.substr(rowPrefix.size()));
    if (!rowKey)
        return std::nullopt;
    const auto parsed = json::parse(value, nullptr, false);
    try {
        Model::Row row;
        row.key_ = *rowKey;
        row.cells_ = parsed.at("cells").get<std::map<std::string, std::string>>();
        row.changedAt_ = Model::TableVersion(parsed.at("changed_at").get<std::uint64_t>());
        row.deleted_ = parsed.at("deleted").get<bool>();
        return row;
    } catch (const json::exception &error) {
        return Model::fail(ResultCode::PlatformBadAnswer, key + ": " + error.what());
    }
}

std::optional<Model::ShiftStart> shiftFromStore(const std::string &key, const std::string &value)
{
    const auto parsed = json::parse(value, nullptr, false);
    try {
        Model::ShiftStart start;
        start.service_ = Model::ServiceId(parsed.at("service").get<std::string>());
        start.origin_ = Model::RegionId(parsed.at("origin").get<std::string>());
        start.at_ = Model::WallTime(Model::Milliseconds(parsed.at("at_ms").get<long long>()));
        start.changedAt_ = Model::TableVersion(parsed.at("changed_at").get<std::uint64_t>());
        for (const auto &[domain, share] : parsed.at("shares").items()) {
            start.shares_.push_back(
                {Model::FailureDomainId(domain), Model::Share(share.get<double>())});
        }
        return start;
    } catch (const json::exception &error) {
        return Model::fail(ResultCode::PlatformBadAnswer, key + ": " + error.what());
    }
}

void putIfNewer(TableMirror &mirror, const Model::Row &row)
{
    Model::Row &current = mirror.rows_[row.key_];
    if (row.changedAt_ >= current.changedAt_)
        current = row;
}

void putIfNewer(TableMirror &mirror, const Model::ShiftStart &start)
{
    Model::ShiftStart &current = mirror.shiftStarts_[{start.service_, start.origin_}];
    if (start.changedAt_ >= current.changedAt_)
        current = start;
}

} // namespace

bool applyRows(TableMirror &mirror, const StoredRows &rows)
{
    TableMirror next = mirror;
    if (next.version_ == Model::TableVersion(0))
        next = TableMirror();
    for (const auto &stored : rows.rows_) {
        if (!stored.value_)
            continue;
        next.revisions_[stored.key_] = stored.revision_;
        if (stored.key_ == versionKey) {
            const Model::TableVersion version(std::strtoull(stored.value_->c_str(), nullptr, 10));
            if (version < next.version_) {
                Model::fail(ResultCode::OldVersionRefused,
                            "the store has version " + *stored.value_);
                return false;
            }
            next.version_ = version;
        } else if (stored.key_.starts_with(rowPrefix)) {
            const auto row = rowFromStore(stored.key_, *stored.value_);
            if (!row)
                return false;
            putIfNewer(next, *row);
        } else if (stored.key_.starts_with(shiftPrefix)) {
            const auto start = shiftFromStore(stored.key_, *stored.value_);
            if (!start)
                return false;
            putIfNewer(next, *start);
        }
    }
    next.readRevision_ = rows.revision_;
    mirror = std::move(next);
    return true;
}

TableDelta deltaSince(const TableMirror &mirror, Model::TableVersion base)
{
    TableDelta delta;
    delta.base_ = base;
    delta.version_ = mirror.version_;
    for (const auto &[key, row] : mirror.rows_) {
        if (row.changedAt_ > base)
            delta.rows_.push_back(row);
    }
    for (const auto &[key, start] : mirror.shiftStarts_) {
        if (start.changedAt_ > base)
            delta.shiftStarts_.push_back(start);
    }
    return delta;
}

bool applyDelta(TableMirror &mirror, const TableDelta &delta)
{
    if (delta.version_ <= mirror.version_) {
        Model::fail(ResultCode::OldVersionRefused,
                    "the peer has version " + std::to_string(delta.version_.value()));
        return false;
    }
    if (delta.base_ > mirror.version_) {
        Model::fail(ResultCode::SnapshotInvalid,
                    "the delta's base is newer than the current version");
        return false;
    }
    TableMirror next = mirror;
    for (const auto &row : delta.rows_)
        putIfNewer(next, row);
    for (const auto &start : delta.shiftStarts_)
        putIfNewer(next, start);
    next.version_ = delta.version_;
    if (!buildTable(next))
        return false;
    mirror = std::move(next);
    return true;
}

std::optional<Model::Table> buildTable(const TableMirror &mirror)
{
    std::vector<Model::Row> rows;
    for (const auto &[key, row] : mirror.rows_)
        rows.push_back(row);
    std::vector<Model::ShiftStart> starts;
    for (const auto &[key, start] : mirror.shiftStarts_)
        starts.push_back(start);
    return Model::Table::build(mirror.version_, std::move(rows), std::move(starts));
}

std::string storeKey(const Model::RowKey &row)
{
    return rowPrefix + Model::toText(row);
}

std::string storeKey(const Model::ShiftStart &start)
{
    return shiftPrefix + start.service_.value() + "/" + start.origin_.value();
}

std::string storeValue(const Model::Row &row)
{
    const json value = {
        {"cells", row.cells_}, {"changed_at", row.changedAt_.value()}, {"deleted", row.deleted_}};
    return value.dump();
}

std::string storeValue(const Model::ShiftStart &start)
{
    json shares = json::object();
    for (const auto &share : start.shares_)
        shares[share.domain_.value()] = share.share_.value();
    const json value = {{"service", start.service_.value()},
                        {"origin", start.origin_.value()},
                        {"at_ms", start.at_.time_since_epoch().count()},
                        {"changed_at", start.changedAt_.value()},
                        {"shares", shares}};
    return value.dump();
}

} // namespace Platform
