#include "PlatformState.h"

#include <nlohmann/json.hpp>

namespace Steering {

using nlohmann::json;
using Observe::Event;

namespace {

/// Start time of a drain that an operator has requested without a time: it is in force at once.
constexpr const char *alwaysInForce = "2000-01-01T00:00:00Z";

json toJson(const Platform::StoredRows &rows, bool isWhole)
{
    json list = json::array();
    for (const auto &row : rows.rows_) {
        json value = row.value_ ? json(*row.value_) : json(nullptr);
        list.push_back({row.key_, std::move(value), row.revision_.value()});
    }
    return {{"position", rows.revision_.value()}, {"whole", isWhole}, {"rows", std::move(list)}};
}

json jsonFor(const TableReplica &replica, Platform::Revision held)
{
    const auto changes = replica.changesSince(held);
    return changes ? toJson(*changes, false) : toJson(replica.snapshot(), true);
}

/// Throws json::exception for input that toJson() has not written.
Platform::StoredRows rowsFromJson(const json &text)
{
    Platform::StoredRows rows;
    rows.revision_ = Platform::Revision(text.at("position").get<std::uint64_t>());
    for (const auto &item : text.at("rows")) {
        Platform::StoredRow row;
        row.key_ = item.at(0).get<std::string>();
        if (!item.at(1).is_null())
            row.value_ = item.at(1).get<std::string>();
        row.revision_ = Platform::Revision(item.at(2).get<std::uint64_t>());
        rows.rows_.push_back(std::move(row));
    }
    return rows;
}

} // namespace

PlatformState::PlatformState(const PlatformPort &port, const Observe::Settings &settings,
                             Observe::DecisionLog &log)
    : port_(port)
    , settings_(settings)
    , log_(log)
{
}

void PlatformState::termsChanged()
{
    if (table_)
        operatorsChanged("settings");
}

const TableReplica &PlatformState::replica(StoreTable table) const
{
    return table == StoreTable::Operators ? operators_ : targets_;
}

bool PlatformState::replace(StoreTable table, const Platform::StoredRows &rows,
                            std::string_view source)
{
    TableReplica &replica = table == StoreTable::Operators ? operators_ : targets_;
    const auto before = replica.knownRevision();
    const bool wasKnown = replica.isKnown();
    if (!replica.replace(rows)) {
        log_.line(Event::TableRefused)
            .add("source", source)
            .add("held", toText(replica.knownRevision()))
            .add("offered", toText(rows.revision_));
        return false;
    }
    if (wasKnown && Platform::eraOf(rows.revision_) > Platform::eraOf(before)) {
        log_.line(Event::StoreReturned)
            .add("source", source)
            .add("table", table == StoreTable::Operators ? "operators" : "targets")
            .add("held", toText(before))
            .add("offered", toText(rows.revision_))
            .add("held_over", static_cast<std::int64_t>(replica.heldOver()));
    }
    if (table == StoreTable::Operators) {
        operatorsChanged(source);
    } else {
        ++targetChanges_;
        targetsSource_ = source;
    }
    return true;
}

void PlatformState::apply(StoreTable table, const Platform::StoredRows &changes,
                          std::string_view source)
{
    TableReplica &replica = table == StoreTable::Operators ? operators_ : targets_;
    const auto before = replica.lastChange();
    replica.apply(changes);
    // A peer may have sent all these changes while the store's answer was in transit.
    if (replica.lastChange() == before)
        return;
    if (table == StoreTable::Operators) {
        operatorsChanged(source);
    } else {
        ++targetChanges_;
        targetsSource_ = source;
    }
}

void PlatformState::addDomainRows(std::vector<Model::Row> &rows,
                                  const std::set<Model::FailureDomainId> &drained) const
{
    std::set<Model::RegionId> regions;
    for (const auto &[domain, region] : settings_.domains_) {
        if (regions.insert(region).second)
            rows.push_back({{Model::RowKind::Region, region.value()}, {}, {}, false});
        Model::Row row;
        row.key_ = {Model::RowKind::Domain, domain.value()};
        row.cells_["region"] = region.value();
        if (drained.contains(domain))
            row.cells_["drain_start"] = alwaysInForce;
        rows.push_back(std::move(row));
    }
}

void PlatformState::operatorsChanged(std::string_view source)
{
    std::vector<Platform::StoredRow> rows;
    for (const auto &[key, row] : operators_.rows())
        rows.push_back(row);
    const auto drained = port_.decodeDrains_(rows);
    auto decoded = port_.decodeOperators_(rows);
    if (!decoded) {
        log_.line(Event::TableRefused)
            .add("source", source)
            .add("reason", toText(Model::lastReason()));
        putDrainsInForce(drained, source);
        return;
    }
    if (table_ && decoded->version_ < table_->version()) {
        log_.line(Event::TableRefused)
            .add("source", source)
            .add("held", static_cast<std::int64_t>(table_->version().value()))
            .add("offered", static_cast<std::int64_t>(decoded->version_.value()));
        putDrainsInForce(drained, source);
        return;
    }
    const std::string cap = std::to_string(port_.terms_.regionShiftCap_.value() * 100);
    for (auto &row : decoded->rows_) {
        if (row.key_.kind_ == Model::RowKind::Service)
            row.cells_.emplace("region_shift_cap", cap);
    }
    // A table of 1,500 routes has two megabytes of rows, so they are moved and not copied.
    if (!putInForce(decoded->version_, std::move(decoded->rows_), drained, source))
        putDrainsInForce(drained, source);
}

/// Changes the drains alone: they must hold also beside a configuration that cannot be used.
void PlatformState::putDrainsInForce(const std::set<Model::FailureDomainId> &drained,
                                     std::string_view source)
{
    if (!table_ || drained == drained_)
        return;
    std::vector<Model::Row> rows;
    for (const auto &row : table_->rows()) {
        if (row.key_.kind_ != Model::RowKind::Region && row.key_.kind_ != Model::RowKind::Domain)
            rows.push_back(row);
    }
    putInForce(table_->version(), std::move(rows), drained, source);
}

bool PlatformState::putInForce(Model::TableVersion version, std::vector<Model::Row> rows,
                               const std::set<Model::FailureDomainId> &drained,
                               std::string_view source)
{
    addDomainRows(rows, drained);
    // The store has accepted the rows, so callers rely on each change in them.
    const auto fitted = Model::fitToTable(rows);
    auto built = Model::Table::build(version, std::move(rows), {});
    if (!built) {
        log_.line(Event::TableRefused)
            .add("source", source)
            .add("reason", toText(Model::lastReason()));
        return false;
    }
    table_ = std::make_shared<const Model::Table>(std::move(*built));
    drained_ = drained;
    ++tableChanges_;
    logFitted(fitted, source);
    std::string drainedText;
    for (const auto &domain : drained_)
        drainedText += (drainedText.empty() ? "" : ",") + domain.value();
    log_.line(Event::TableApplied)
        .add("version", static_cast<std::int64_t>(table_->version().value()))
        .add("position", toText(operators_.knownRevision()))
        .add("source", source)
        .add("routes", static_cast<std::int64_t>(table_->routes().all().size()))
        .add("drained", drainedText);
    return true;
}

void PlatformState::logFitted(const std::vector<Model::CellError> &fitted, std::string_view source)
{
    fittedCells_ = fitted.size();
    for (const auto &change : fitted)
        log_.line(Event::TableFitted).add("source", source).add("change", toText(change));
}

Platform::StoreEra PlatformState::storeEra() const
{
    return std::max(Platform::eraOf(operators_.knownRevision()),
                    Platform::eraOf(targets_.knownRevision()));
}

KnownRevisions PlatformState::knownRevisions() const
{
    return {operators_.knownRevision(), targets_.knownRevision()};
}

bool PlatformState::isBehind(const KnownRevisions &lastChanges) const
{
    return lastChanges.operators_ > operators_.knownRevision()
           || lastChanges.targets_ > targets_.knownRevision();
}

RemovalAges parseRemovalAges(const std::string &text)
{
    return removalAgesIn(json::from_msgpack(text, true, false));
}

std::string PlatformState::encodeForPeer(const KnownRevisions &known,
                                         const RemovalAges &removals) const
{
    json text = json::object();
    if (operators_.isKnown())
        text["operators"] = jsonFor(operators_, known.operators_);
    if (targets_.isKnown())
        text["targets"] = jsonFor(targets_, known.targets_);
    addRemovalAges(text, removals);
    // Unlike JSON, MessagePack carries any bytes: a row may hold bytes that are not valid text.
    std::string bytes;
    json::to_msgpack(text, bytes);
    return bytes;
}

bool PlatformState::applyFromPeer(const std::string &text, const std::string &peer)
{
    const json parsed = json::from_msgpack(text, true, false);
    if (!parsed.is_object()) {
        log_.line(Event::TableRefused)
            .add("source", peer)
            .add("reason", "no MessagePack object in the peer's answer");
        return false;
    }
    bool hasChanges = false;
    const auto applyTable = [&](StoreTable table, const char *name) {
        if (!parsed.contains(name))
            return;
        const auto rows = rowsFromJson(parsed[name]);
        const bool isWhole = parsed[name].at("whole").get<bool>();
        const TableReplica &held = replica(table);
        const bool isNewer = !held.isKnown() || rows.revision_ > held.knownRevision();
        // Changes apply to the revision that was held when they were requested; without any rows,
        // or to those of an earlier era, they are useless.
        const bool isSameEra
            = Platform::eraOf(rows.revision_) == Platform::eraOf(held.knownRevision());
        if (!isNewer || (!isWhole && (!held.isKnown() || !isSameEra)))
            return;
        hasChanges = true;
        log_.line(Event::KnowledgeFromPeer)
            .add("peer", peer)
            .add("table", name)
            .add("held", toText(held.knownRevision()))
            .add("offered", toText(rows.revision_))
            .add("rows", static_cast<std::int64_t>(rows.rows_.size()));
        if (isWhole) {
            replace(table, rows, peer);
        } else {
            apply(table, rows, peer);
        }
    };
    try {
        applyTable(StoreTable::Operators, "operators");
        applyTable(StoreTable::Targets, "targets");
    } catch (const json::exception &error) {
        log_.line(Event::TableRefused).add("source", peer).add("reason", error.what());
    }
    return hasChanges;
}

} // namespace Steering
