#include "Codec.h"

#include <algorithm>

namespace Peers {

using Model::ResultCode;

namespace {

template <typename Message>
void appendShares(const std::vector<Model::DomainShare> &shares, Message &message)
{
    for (const auto &share : shares) {
        auto *item = message.add_shares();
        item->set_domain(share.domain_.value());
        item->set_share(share.share_.value());
    }
}

template <typename Message>
std::vector<Model::DomainShare> readShares(const Message &message)
{
    std::vector<Model::DomainShare> shares;
    for (const auto &item : message.shares())
        shares.push_back({Model::FailureDomainId(item.domain()), Model::Share(item.share())});
    return shares;
}

std::optional<Model::Row> rowFromMessage(const cassiacrank::TableRow &message)
{
    const auto key = Model::rowKeyFromText(message.key());
    if (!key)
        return Model::fail(ResultCode::SnapshotInvalid, "row key '" + message.key() + "'");
    Model::Row row;
    row.key_ = *key;
    row.changedAt_ = Model::TableVersion(message.changed_at());
    row.deleted_ = message.deleted();
    for (const auto &cell : message.cells())
        row.cells_[cell.column()] = cell.value();
    return row;
}

} // namespace

cassiacrank::TableDelta toMessage(const Platform::TableDelta &delta)
{
    cassiacrank::TableDelta message;
    message.set_base(delta.base_.value());
    message.set_version(delta.version_.value());
    for (const auto &row : delta.rows_) {
        auto *item = message.add_rows();
        item->set_key(Model::toText(row.key_));
        item->set_changed_at(row.changedAt_.value());
        item->set_deleted(row.deleted_);
        for (const auto &[column, value] : row.cells_) {
            auto *cell = item->add_cells();
            cell->set_column(column);
            cell->set_value(value);
        }
    }
    for (const auto &start : delta.shiftStarts_) {
        auto *item = message.add_shift_starts();
        item->set_service(start.service_.value());
        item->set_origin(start.origin_.value());
        item->set_at_ms(start.at_.time_since_epoch().count());
        item->set_changed_at(start.changedAt_.value());
        appendShares(start.shares_, *item);
    }
    return message;
}

std::optional<Platform::TableDelta> fromMessage(const cassiacrank::TableDelta &message)
{
    Platform::TableDelta delta;
    delta.base_ = Model::TableVersion(message.base());
    delta.version_ = Model::TableVersion(message.version());
    for (const auto &item : message.rows()) {
        auto row = rowFromMessage(item);
        if (!row)
            return std::nullopt;
        delta.rows_.push_back(std::move(*row));
    }
    for (const auto &item : message.shift_starts()) {
        Model::ShiftStart start;
        start.service_ = Model::ServiceId(item.service());
        start.origin_ = Model::RegionId(item.origin());
        start.at_ = Model::WallTime(Model::Milliseconds(item.at_ms()));
        start.changedAt_ = Model::TableVersion(item.changed_at());
        start.shares_ = readShares(item);
        delta.shiftStarts_.push_back(std::move(start));
    }
    return delta;
}

cassiacrank::Instance toMessage(const Model::Instance &instance)
{
    cassiacrank::Instance message;
    message.set_id(instance.id_.value());
    message.set_region(instance.region_.value());
    message.set_domain(instance.domain_.value());
    message.set_lookup(Model::toText(instance.addresses_.lookup_));
    message.set_entry(Model::toText(instance.addresses_.entry_));
    message.set_entry_peer(Model::toText(instance.addresses_.entryPeer_));
    message.set_control(Model::toText(instance.addresses_.control_));
    message.set_control_admin(Model::toText(instance.addresses_.controlAdmin_));
    message.set_leaving(instance.isLeaving_);
    return message;
}

std::optional<Model::Instance> fromMessage(const cassiacrank::Instance &message)
{
    const auto lookup = Model::addressFromText(message.lookup());
    const auto entry = Model::addressFromText(message.entry());
    const auto entryPeer = Model::addressFromText(message.entry_peer());
    const auto control = Model::addressFromText(message.control());
    const auto admin = Model::addressFromText(message.control_admin());
    if (message.id().empty() || !lookup || !entry || !entryPeer || !control || !admin)
        return Model::fail(ResultCode::SnapshotInvalid, "instance '" + message.id() + "'");
    Model::Instance instance;
    instance.id_ = Model::InstanceId(message.id());
    instance.region_ = Model::RegionId(message.region());
    instance.domain_ = Model::FailureDomainId(message.domain());
    instance.addresses_ = {*lookup, *entry, *entryPeer, *control, *admin};
    instance.isLeaving_ = message.leaving();
    return instance;
}

cassiacrank::DomainLoad toMessage(const DomainLoad &load)
{
    cassiacrank::DomainLoad message;
    message.set_service(load.service_.value());
    message.set_domain(load.domain_.value());
    message.set_slots(load.slots_.value());
    message.set_in_flight(load.inFlight_.value());
    message.set_waiting(load.waiting_);
    return message;
}

DomainLoad fromMessage(const cassiacrank::DomainLoad &message)
{
    DomainLoad load;
    load.service_ = Model::ServiceId(message.service());
    load.domain_ = Model::FailureDomainId(message.domain());
    load.slots_ = Model::Slots(message.slots());
    load.inFlight_ = Model::Slots(message.in_flight());
    load.waiting_ = message.waiting();
    return load;
}

cassiacrank::WalkedShares toMessage(const WalkedShares &walked)
{
    cassiacrank::WalkedShares message;
    message.set_service(walked.service_.value());
    message.set_origin(walked.origin_.value());
    appendShares(walked.shares_, message);
    return message;
}

WalkedShares fromMessage(const cassiacrank::WalkedShares &message)
{
    return {Model::ServiceId(message.service()), Model::RegionId(message.origin()),
            readShares(message)};
}

cassiacrank::InstanceRecord toMessage(const InstanceRecord &record)
{
    cassiacrank::InstanceRecord message;
    *message.mutable_instance() = toMessage(record.instance_);
    message.set_incarnation(record.incarnation_.value());
    message.set_heartbeat(record.heartbeat_);
    message.set_ready(record.isReady_);
    message.set_control_version(record.controlVersion_.value());
    message.set_entry_version(record.entryVersion_.value());
    message.set_lookup_version(record.lookupVersion_.value());
    message.set_starting(record.isStarting_);
    for (const auto &load : record.loads_)
        *message.add_loads() = toMessage(load);
    for (const auto &walked : record.walked_)
        *message.add_walked() = toMessage(walked);
    return message;
}

std::optional<InstanceRecord> fromMessage(const cassiacrank::InstanceRecord &message)
{
    const auto instance = fromMessage(message.instance());
    if (!instance)
        return std::nullopt;
    InstanceRecord record;
    record.instance_ = *instance;
    record.incarnation_ = Model::Incarnation(message.incarnation());
    record.heartbeat_ = message.heartbeat();
    record.isReady_ = message.ready();
    record.controlVersion_ = Model::TableVersion(message.control_version());
    record.entryVersion_ = Model::TableVersion(message.entry_version());
    record.lookupVersion_ = Model::TableVersion(message.lookup_version());
    record.isStarting_ = message.starting();
    for (const auto &load : message.loads())
        record.loads_.push_back(fromMessage(load));
    for (const auto &walked : message.walked())
        record.walked_.push_back(fromMessage(walked));
    return record;
}

cassiacrank::RegionSummary toMessage(const RegionSummary &summary)
{
    cassiacrank::RegionSummary message;
    message.set_region(summary.region_.value());
    message.set_made_at_ms(summary.madeAt_.time_since_epoch().count());
    for (const auto &load : summary.loads_)
        *message.add_loads() = toMessage(load);
    for (const auto &contact : summary.contacts_)
        *message.add_contacts() = toMessage(contact);
    for (const auto &walked : summary.walked_)
        *message.add_walked() = toMessage(walked);
    return message;
}

std::optional<RegionSummary> fromMessage(const cassiacrank::RegionSummary &message)
{
    RegionSummary summary;
    summary.region_ = Model::RegionId(message.region());
    summary.madeAt_ = Model::WallTime(Model::Milliseconds(message.made_at_ms()));
    summary.age_ = Model::Milliseconds(std::max<std::int64_t>(0, message.age_ms()));
    for (const auto &load : message.loads())
        summary.loads_.push_back(fromMessage(load));
    for (const auto &walked : message.walked())
        summary.walked_.push_back(fromMessage(walked));
    for (const auto &contact : message.contacts()) {
        const auto instance = fromMessage(contact);
        if (!instance)
            return std::nullopt;
        summary.contacts_.push_back(*instance);
    }
    return summary;
}

cassiacrank::CrashNews toMessage(const Policy::CrashUpdate &update)
{
    cassiacrank::CrashNews message;
    for (const auto &run : update.runs_) {
        auto *report = message.add_runs();
        report->set_run(run.run_.value());
        report->set_age_ms(run.age_.count());
        for (const auto &suspect : run.suspects_) {
            auto *item = report->add_suspects();
            item->set_request(suspect.fingerprint_.request_);
            item->set_caller(suspect.fingerprint_.caller_);
            item->set_cleared(suspect.isCleared_);
        }
    }
    for (const auto &quarantine : update.quarantines_) {
        auto *report = message.add_quarantines();
        report->set_request(quarantine.fingerprint_.request_);
        report->set_caller(quarantine.fingerprint_.caller_);
        report->set_generation(quarantine.generation_);
        report->set_lifted(quarantine.lifted_);
        report->set_age_ms(quarantine.age_.count());
    }
    return message;
}

Policy::CrashUpdate fromMessage(const cassiacrank::CrashNews &message)
{
    const auto ageOf = [](const auto &report) {
        return std::max(Model::Milliseconds(0), Model::Milliseconds(report.age_ms()));
    };
    Policy::CrashUpdate update;
    for (const auto &report : message.runs()) {
        Policy::CrashReport run;
        run.run_ = Policy::TargetIncarnationKey(report.run());
        run.age_ = ageOf(report);
        for (const auto &suspect : report.suspects())
            run.suspects_.push_back({{suspect.request(), suspect.caller()}, suspect.cleared()});
        update.runs_.push_back(std::move(run));
    }
    for (const auto &report : message.quarantines()) {
        update.quarantines_.push_back({{report.request(), report.caller()},
                                       report.generation(),
                                       report.lifted(),
                                       ageOf(report)});
    }
    return update;
}

} // namespace Peers
