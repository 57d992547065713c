#include "Table.h"

#include "Columns.h"
#include "TextList.h"
#include "TimeText.h"

#include <algorithm>
#include <set>

namespace Model {

namespace {

constexpr double percent = 0.01;

double numberIn(const Row &row, std::string_view column)
{
    return std::stod(cellOrDefault(row, column));
}

std::optional<WallTime> timeIn(const Row &row, std::string_view column)
{
    const std::string text = cellOrDefault(row, column);
    if (text.empty())
        return std::nullopt;
    return timeFromText(text);
}

std::vector<std::string> listIn(const Row &row, std::string_view column)
{
    return listFromText(cellOrDefault(row, column));
}

const Column *columnNamed(RowKind kind, const std::string &name)
{
    const auto &columns = columnsOf(kind);
    const auto found = std::find_if(columns.begin(), columns.end(), [&](const auto &column) {
        return column.name_ == name;
    });
    return found == columns.end() ? nullptr : &*found;
}

std::string columnNames(RowKind kind)
{
    std::string names;
    for (const auto &column : columnsOf(kind))
        names += (names.empty() ? "" : ", ") + std::string(column.name_);
    return names;
}

void checkCells(const Row &row, const std::set<RowKey> &keys, std::vector<CellError> &errors)
{
    for (const auto &[name, value] : row.cells_) {
        const Column *column = columnNamed(row.key_.kind_, name);
        if (!column) {
            errors.push_back(
                {ResultCode::UnknownColumn, row.key_, name, value, columnNames(row.key_.kind_)});
            continue;
        }
        if (!isAllowed(*column, value)) {
            errors.push_back({ResultCode::BadValue, row.key_, name, value, allowedText(*column)});
            continue;
        }
        if (column->type_ == ColumnType::Reference
            && !keys.contains({column->references_, value})) {
            errors.push_back(
                {ResultCode::DanglingReference, row.key_, name, value, allowedText(*column)});
        }
    }
}

void checkRequired(const Row &row, std::vector<CellError> &errors)
{
    for (const auto &column : columnsOf(row.key_.kind_)) {
        if (column.required_ && !row.cells_.contains(std::string(column.name_))) {
            errors.push_back({ResultCode::MissingValue, row.key_, std::string(column.name_), "",
                              allowedText(column)});
        }
    }
}

void checkDrain(const Row &row, std::vector<CellError> &errors)
{
    if (row.key_.kind_ != RowKind::Domain)
        return;
    const auto start = timeIn(row, "drain_start");
    const auto end = timeIn(row, "drain_end");
    if (end && (!start || *end <= *start)) {
        errors.push_back({ResultCode::BadValue, row.key_, "drain_end",
                          cellOrDefault(row, "drain_end"), "a time after drain_start"});
    }
}

void checkHomeRegions(const Row &row, const std::set<RowKey> &keys, std::vector<CellError> &errors)
{
    for (const auto &region : listIn(row, "home_regions")) {
        if (!keys.contains({RowKind::Region, region})) {
            errors.push_back({ResultCode::DanglingReference, row.key_, "home_regions", region,
                              "the name of a region row"});
        }
    }
}

void checkRoute(const Row &row, const std::set<RowKey> &keys, std::vector<CellError> &errors)
{
    if (row.key_.kind_ != RowKind::Route)
        return;
    const std::string prefix = cellOrDefault(row, "prefix");
    if (!prefix.starts_with('/') || !prefix.ends_with('/')) {
        errors.push_back({ResultCode::BadValue, row.key_, "prefix", prefix,
                          "a path that begins and ends with a slash"});
    }
    const std::string services = cellOrDefault(row, "services");
    const auto splits = weightedSplitsFromText(services);
    if (!splits) {
        errors.push_back(
            {ResultCode::BadValue, row.key_, "services", services,
             "a service, or services with a sum of weights above 0, as in a:90, b:10"});
        return;
    }
    for (const auto &split : *splits) {
        if (!keys.contains({RowKind::Service, split.service_.value()})) {
            errors.push_back({ResultCode::DanglingReference, row.key_, "services",
                              split.service_.value(), "the name of a service row"});
        }
    }
    checkHomeRegions(row, keys, errors);
}

/// Checks the digests of a workspace's keys. \a seen holds those of the workspaces before it.
void checkWorkspace(const Row &row, const std::set<RowKey> &keys, std::set<std::string> &seen,
                    std::vector<CellError> &errors)
{
    if (row.key_.kind_ != RowKind::Workspace)
        return;
    for (const auto &text : listIn(row, "key_digests")) {
        if (!callerKeyDigestFromText(text)) {
            errors.push_back({ResultCode::BadValue, row.key_, "key_digests", text,
                              "the digest that tablectl key-digest prints for a key"});
        } else if (!seen.insert(text).second) {
            errors.push_back({ResultCode::BadValue, row.key_, "key_digests", text,
                              "a key of one workspace only"});
        }
    }
    checkHomeRegions(row, keys, errors);
}

std::vector<RegionId> regionsIn(const Row &row, std::string_view column)
{
    std::vector<RegionId> regions;
    for (const auto &region : listIn(row, column))
        regions.push_back(RegionId(region));
    return regions;
}

Workspace workspaceOf(const Row &row)
{
    Workspace workspace;
    workspace.id_ = WorkspaceId(row.key_.name_);
    for (const auto &text : listIn(row, "key_digests")) {
        if (const auto digest = callerKeyDigestFromText(text))
            workspace.keys_.push_back(*digest);
    }
    const std::string priority = cellOrDefault(row, "priority");
    if (!priority.empty())
        workspace.priority_ = std::stoi(priority);
    workspace.limit_ = RequestsPerSecond(numberIn(row, "limit_rps"));
    workspace.burst_ = numberIn(row, "burst");
    workspace.allowedRegions_ = regionsIn(row, "home_regions");
    return workspace;
}

Route routeOf(const Row &row)
{
    Route route;
    route.id_ = RouteId(row.key_.name_);
    route.host_ = cellOrDefault(row, "host");
    route.prefix_ = cellOrDefault(row, "prefix");
    route.splits_ = weightedSplitsFromText(cellOrDefault(row, "services"))
                        .value_or(std::vector<WeightedSplit>());
    route.isIdempotent_ = cellOrDefault(row, "idempotent") == "yes";
    route.timeout_ = Milliseconds(std::stoll(cellOrDefault(row, "timeout_ms")));
    route.latencyGoal_ = Milliseconds(std::stoll(cellOrDefault(row, "latency_goal_ms")));
    route.priority_ = std::stoi(cellOrDefault(row, "priority"));
    route.attempts_ = std::stoi(cellOrDefault(row, "attempts"));
    route.hasAffinity_ = cellOrDefault(row, "affinity") == "yes";
    route.allowedRegions_ = regionsIn(row, "home_regions");
    route.isPublic_ = cellOrDefault(row, "public") == "yes";
    route.hasLargeAnswers_ = cellOrDefault(row, "large_answers") == "yes";
    return route;
}

} // namespace

std::vector<CellError> Table::check(const std::vector<Row> &rows)
{
    std::vector<CellError> errors;
    std::set<RowKey> keys;
    for (const auto &row : rows) {
        if (row.deleted_)
            continue;
        if (!keys.insert(row.key_).second)
            errors.push_back({ResultCode::DuplicateRow, row.key_, "", "", "each row once"});
    }
    std::set<std::string> callerKeys;
    for (const auto &row : rows) {
        if (row.deleted_)
            continue;
        const auto before = errors.size();
        checkCells(row, keys, errors);
        checkRequired(row, errors);
        if (errors.size() != before)
            continue;
        checkDrain(row, errors);
        checkRoute(row, keys, errors);
        checkWorkspace(row, keys, callerKeys, errors);
    }
    return errors;
}

std::optional<Table> Table::build(TableVersion version, std::vector<Row> rows,
                                  std::vector<ShiftStart> shiftStarts)
{
    const auto errors = check(rows);
    if (!errors.empty())
        return fail(errors.front().code_, toText(errors.front()));

    Table table;
    table.version_ = version;
    table.rows_ = std::move(rows);
    std::sort(table.rows_.begin(), table.rows_.end(), [](const auto &a, const auto &b) {
        return a.key_ < b.key_;
    });
    for (const auto &row : table.rows_) {
        if (!row.deleted_)
            table.addTypedRow(row);
    }
    for (const auto &target : table.targets_)
        table.slots_[{target.service_, target.domain_}] += target.slots_;
    table.shiftStarts_ = std::move(shiftStarts);
    return table;
}

void Table::addTypedRow(const Row &row)
{
    const std::string &name = row.key_.name_;
    switch (row.key_.kind_) {
    case RowKind::Region:
        regions_.push_back({RegionId(name), Weight(numberIn(row, "weight"))});
        return;
    case RowKind::Domain:
        domains_.push_back({FailureDomainId(name), RegionId(cellOrDefault(row, "region")),
                            Weight(numberIn(row, "weight")), timeIn(row, "drain_start"),
                            timeIn(row, "drain_end")});
        return;
    case RowKind::Service: {
        Service service;
        service.id_ = ServiceId(name);
        service.timeout_ = Milliseconds(std::stoll(cellOrDefault(row, "timeout_ms")));
        service.queueLimit_ = Milliseconds(std::stoll(cellOrDefault(row, "queue_ms")));
        service.shiftCap_ = SharePerSecond(numberIn(row, "shift_cap") * percent);
        service.regionShiftCap_ = SharePerSecond(numberIn(row, "region_shift_cap") * percent);
        service.isIdempotent_ = cellOrDefault(row, "idempotent") == "yes";
        service.useLimit_ = Share(numberIn(row, "use_limit") * percent);
        service.coldLimit_ = RequestsPerSecond(numberIn(row, "cold_rps"));
        service.connections_ = std::stoi(cellOrDefault(row, "connections"));
        services_.push_back(service);
        return;
    }
    case RowKind::Class: {
        CallerClass callerClass;
        callerClass.id_ = CallerClassId(name);
        callerClass.callerPrefixes_ = listIn(row, "callers");
        callerClass.weight_ = Weight(numberIn(row, "weight"));
        callerClass.isBulk_ = cellOrDefault(row, "bulk") == "yes";
        callerClass.useLimit_ = Share(numberIn(row, "use_limit") * percent);
        callerClass.limit_ = RequestsPerSecond(numberIn(row, "limit_rps"));
        classes_.push_back(std::move(callerClass));
        return;
    }
    case RowKind::Target: {
        Target target;
        target.id_ = TargetId(name);
        target.service_ = ServiceId(cellOrDefault(row, "service"));
        target.domain_ = FailureDomainId(cellOrDefault(row, "domain"));
        target.address_ = addressFromText(cellOrDefault(row, "address")).value_or(Address());
        target.slots_ = Slots(std::stoll(cellOrDefault(row, "slots")));
        target.connections_ = std::stoi(cellOrDefault(row, "connections"));
        targets_.push_back(std::move(target));
        return;
    }
    case RowKind::Route:
        routes_.add(routeOf(row));
        return;
    case RowKind::Workspace:
        workspaces_.add(workspaceOf(row));
        return;
    case RowKind::Limits:
        callerLimits_.headBytes_ = std::stoull(cellOrDefault(row, "head_bytes"));
        callerLimits_.bodyBytes_ = std::stoull(cellOrDefault(row, "body_bytes"));
        callerLimits_.request_ = Milliseconds(std::stoll(cellOrDefault(row, "request_ms")));
        callerLimits_.idle_ = Milliseconds(std::stoll(cellOrDefault(row, "idle_ms")));
        return;
    }
}

namespace {

/// Finds an item by id. Precondition: \a items is sorted by id, as rows of one kind are.
template <typename Item, typename Id>
const Item *findSorted(const std::vector<Item> &items, const Id &id)
{
    const auto found
        = std::lower_bound(items.begin(), items.end(), id, [](const Item &item, const Id &key) {
              return item.id_ < key;
          });
    return found != items.end() && found->id_ == id ? &*found : nullptr;
}

} // namespace

const Service *Table::service(const ServiceId &id) const
{
    return findSorted(services_, id);
}

const FailureDomain *Table::domain(const FailureDomainId &id) const
{
    return findSorted(domains_, id);
}

const Region *Table::region(const RegionId &id) const
{
    return findSorted(regions_, id);
}

const Row *Table::row(const RowKey &key) const
{
    const auto found
        = std::lower_bound(rows_.begin(), rows_.end(), key, [](const Row &row, const RowKey &k) {
              return row.key_ < k;
          });
    return found != rows_.end() && found->key_ == key ? &*found : nullptr;
}

const ShiftStart *Table::shiftStart(const ServiceId &service, const RegionId &origin) const
{
    for (const auto &start : shiftStarts_) {
        if (start.service_ == service && start.origin_ == origin)
            return &start;
    }
    return nullptr;
}

const CallerClass *Table::classOf(const CallerId &caller) const
{
    const CallerClass *best = nullptr;
    std::size_t bestLength = 0;
    for (const auto &callerClass : classes_) {
        for (const auto &prefix : callerClass.callerPrefixes_) {
            const bool isWildcard = prefix == "*";
            if (!isWildcard && !caller.value().starts_with(prefix))
                continue;
            const std::size_t length = isWildcard ? 0 : prefix.size();
            if (best && length <= bestLength)
                continue;
            best = &callerClass;
            bestLength = length;
        }
    }
    return best;
}

Slots Table::slotsIn(const ServiceId &service, const FailureDomainId &domain) const
{
    const auto found = slots_.find({service, domain});
    return found == slots_.end() ? Slots(0) : found->second;
}

} // namespace Model
