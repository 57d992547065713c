#include "PeerMessage.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Steering {

using Model::SteadyTime;
using nlohmann::json;
using Policy::Member;
using Policy::MemberHeartbeat;

namespace {

// A heartbeat record is encoded as an array with these indices.
enum HeartbeatField {
    Id,
    IncarnationNumber,
    Heartbeat,
    Flags,
    Store,
    Operators,
    Targets,
    Entries,
    Age,
    StoreAnswered,
    TargetsRead,
    UsePercent,
};

// The size of an instance is encoded as an array with these indices.
enum SizeField {
    Cpu,
    Memory,
    DescriptorCount,
    Link,
};

constexpr unsigned readyFlag = 1;
constexpr unsigned leavingFlag = 2;
constexpr unsigned partitionedFlag = 4;

Policy::StoreContact contactFromNumber(int number)
{
    using enum Policy::StoreContact;
    for (const auto contact : {Reached, Refused}) {
        if (number == static_cast<int>(contact))
            return contact;
    }
    return NotAsked;
}

json toJson(const MemberHeartbeat &heartbeatRecord)
{
    const unsigned flags = (heartbeatRecord.isReady_ ? readyFlag : 0U)
                           | (heartbeatRecord.isLeaving_ ? leavingFlag : 0U)
                           | (heartbeatRecord.isPartitioned_ ? partitionedFlag : 0U);
    json array = {heartbeatRecord.id_.value(),
                  heartbeatRecord.incarnation_.value(),
                  heartbeatRecord.heartbeat_,
                  flags,
                  static_cast<int>(heartbeatRecord.store_),
                  heartbeatRecord.operatorsSeen_,
                  heartbeatRecord.targetsSeen_,
                  heartbeatRecord.regionEntries_,
                  heartbeatRecord.age_.count(),
                  heartbeatRecord.storeAnswered_.count(),
                  heartbeatRecord.targetsRead_};
    if (heartbeatRecord.usePercent_)
        array.push_back(*heartbeatRecord.usePercent_);
    return array;
}

MemberHeartbeat heartbeatFromJson(const json &text)
{
    MemberHeartbeat heartbeatRecord;
    heartbeatRecord.id_ = Model::InstanceId(text.at(Id).get<std::string>());
    heartbeatRecord.incarnation_
        = Model::Incarnation(text.at(IncarnationNumber).get<std::uint64_t>());
    heartbeatRecord.heartbeat_ = text.at(Heartbeat).get<std::uint64_t>();
    const auto flags = text.at(Flags).get<unsigned>();
    heartbeatRecord.isReady_ = (flags & readyFlag) != 0;
    heartbeatRecord.isLeaving_ = (flags & leavingFlag) != 0;
    heartbeatRecord.isPartitioned_ = (flags & partitionedFlag) != 0;
    heartbeatRecord.store_ = contactFromNumber(text.at(Store).get<int>());
    heartbeatRecord.operatorsSeen_ = text.at(Operators).get<std::uint64_t>();
    heartbeatRecord.targetsSeen_ = text.at(Targets).get<std::uint64_t>();
    heartbeatRecord.regionEntries_ = text.at(Entries).get<std::uint32_t>();
    heartbeatRecord.age_ = Model::Milliseconds(text.at(Age).get<long long>());
    // Instances of an earlier version do not send how long the store has answered them.
    if (text.size() > TargetsRead) {
        const Model::Milliseconds answered(text.at(StoreAnswered).get<long long>());
        heartbeatRecord.storeAnswered_ = std::max(Model::Milliseconds(0), answered);
        heartbeatRecord.targetsRead_ = text.at(TargetsRead).get<std::uint64_t>();
    }
    if (text.size() > UsePercent) {
        heartbeatRecord.usePercent_ = static_cast<std::uint8_t>(
            std::clamp<std::int64_t>(text.at(UsePercent).get<std::int64_t>(), 0, 255));
    }
    return heartbeatRecord;
}

json toJson(const Model::InstanceSize &size)
{
    return {size.cpu_.value(), size.memory_.value(), size.descriptors_.value(), size.link_.value()};
}

Model::InstanceSize sizeFromJson(const json &text)
{
    Model::InstanceSize size;
    size.cpu_ = Model::CpuShare(std::max(0.0, text.at(Cpu).get<double>()));
    size.memory_ = Model::Megabytes(std::max<std::int64_t>(0, text.at(Memory).get<std::int64_t>()));
    size.descriptors_ = Model::Descriptors(
        std::max<std::int64_t>(0, text.at(DescriptorCount).get<std::int64_t>()));
    size.link_ = Model::MegabitsPerSecond(std::max(0.0, text.at(Link).get<double>()));
    return size;
}

json toJson(const Member &member)
{
    const auto &instance = member.instance_;
    json record = {{"pulse", toJson(member.heartbeatRecord_)},
                   {"region", instance.region_.value()},
                   {"domain", instance.domain_.value()},
                   {"entry", Model::toText(instance.addresses_.entry_)},
                   {"control", Model::toText(instance.addresses_.control_)}};
    if (instance.size_.isKnown())
        record["size"] = toJson(instance.size_);
    return record;
}

Model::Address addressFromJson(const json &text)
{
    const auto address = Model::addressFromText(text.get<std::string>());
    if (!address)
        throw std::invalid_argument("no valid address: " + text.get<std::string>());
    return *address;
}

/// Throws std::exception for input that toJson() has not written.
Member memberFromJson(const json &text, SteadyTime now)
{
    Member member;
    member.heartbeatRecord_ = heartbeatFromJson(text.at("pulse"));
    auto &instance = member.instance_;
    instance.id_ = member.heartbeatRecord_.id_;
    instance.region_ = Model::RegionId(text.at("region").get<std::string>());
    instance.domain_ = Model::FailureDomainId(text.at("domain").get<std::string>());
    instance.addresses_.entry_ = addressFromJson(text.at("entry"));
    instance.addresses_.control_ = addressFromJson(text.at("control"));
    // Instances of an earlier version do not send their size.
    if (text.contains("size"))
        instance.size_ = sizeFromJson(text["size"]);
    member.heartbeatAt_ = now - member.heartbeatRecord_.age_;
    return member;
}

Model::Milliseconds ageFromJson(const json &text)
{
    return std::max(Model::Milliseconds(0), Model::Milliseconds(text.get<long long>()));
}

Policy::TargetLoad loadFromJson(const json &text)
{
    Policy::TargetLoad load;
    load.target_ = text.at(0).get<std::uint32_t>();
    load.inProgress_ = text.at(1).get<std::uint32_t>();
    load.age_ = std::max(Model::Milliseconds(0), Model::Milliseconds(text.at(2).get<long long>()));
    return load;
}

json toJson(const Policy::TargetLimitReport &report)
{
    const json rate = report.rate_ ? json(report.rate_->value()) : json(nullptr);
    return {report.target_, rate, report.age_.count()};
}

Policy::TargetLimitReport limitFromJson(const json &text)
{
    Policy::TargetLimitReport report;
    report.target_ = text.at(0).get<std::uint32_t>();
    if (!text.at(1).is_null())
        report.rate_ = Model::RequestsPerSecond(text.at(1).get<double>());
    report.age_ = ageFromJson(text.at(2));
    return report;
}

/// Above what an instance can receive; keeps sums of damaged values finite.
constexpr double maxArrivalsPerSecond = 1e6;

double rateFromJson(const json &text)
{
    const auto rate = text.get<double>();
    return rate > 0 ? std::min(rate, maxArrivalsPerSecond) : 0;
}

json toJson(const Policy::DemandItem &item)
{
    // A float takes half the bytes of a double.
    return {item.service_.value(), item.rank_, static_cast<float>(item.arrivals_.value()),
            static_cast<float>(item.admitted_.value()), item.age_.count()};
}

Policy::DemandItem demandFromJson(const json &text)
{
    Policy::DemandItem item;
    item.service_ = Policy::ServiceKey(text.at(0).get<std::uint32_t>());
    item.rank_ = text.at(1).get<int>();
    item.arrivals_ = Model::RequestsPerSecond(rateFromJson(text.at(2)));
    item.admitted_ = std::min(item.arrivals_, Model::RequestsPerSecond(rateFromJson(text.at(3))));
    item.age_ = ageFromJson(text.at(4));
    return item;
}

/// Throws std::exception for anything but a list of items. Those beyond the bound are ignored.
std::vector<Policy::DemandItem> demandListFromJson(const json &text)
{
    std::vector<Policy::DemandItem> demand;
    for (const auto &item : text.get_ref<const json::array_t &>()) {
        if (demand.size() == Policy::maxDemandPerMessage)
            break;
        demand.push_back(demandFromJson(item));
    }
    return demand;
}

// Crashed incarnations and quarantines are encoded as arrays of numbers, like heartbeat records.
json toJson(const Policy::CrashUpdate &update)
{
    json runs = json::array();
    for (const auto &run : update.runs_) {
        json item = {run.run_.value(), run.age_.count()};
        for (const auto &suspect : run.suspects_) {
            item.push_back(suspect.fingerprint_.request_);
            item.push_back(suspect.fingerprint_.caller_);
            item.push_back(suspect.isCleared_);
        }
        runs.push_back(std::move(item));
    }
    json quarantines = json::array();
    for (const auto &item : update.quarantines_) {
        quarantines.push_back({item.fingerprint_.request_, item.fingerprint_.caller_,
                               item.generation_, item.lifted_, item.age_.count()});
    }
    return {std::move(runs), std::move(quarantines)};
}

Policy::CrashUpdate crashesFromJson(const json &text)
{
    constexpr std::size_t suspectsAt = 2;
    constexpr std::size_t suspectSize = 3;
    Policy::CrashUpdate update;
    for (const auto &item : text.at(0)) {
        Policy::CrashReport run;
        run.run_ = Policy::TargetIncarnationKey(item.at(0).get<std::uint64_t>());
        run.age_ = ageFromJson(item.at(1));
        for (std::size_t i = suspectsAt; i < item.size(); i += suspectSize) {
            run.suspects_.push_back(
                {{item.at(i).get<std::uint64_t>(), item.at(i + 1).get<std::uint32_t>()},
                 item.at(i + 2).get<bool>()});
        }
        update.runs_.push_back(std::move(run));
    }
    for (const auto &item : text.at(1)) {
        update.quarantines_.push_back(
            {{item.at(0).get<std::uint64_t>(), item.at(1).get<std::uint32_t>()},
             item.at(2).get<std::uint32_t>(),
             item.at(3).get<std::uint32_t>(),
             ageFromJson(item.at(4))});
    }
    return update;
}

std::nullopt_t unreadable(const char *why)
{
    return Model::fail(Model::ResultCode::PeerMessageUnreadable, why);
}

} // namespace

std::string toBytes(const PeerMessage &message)
{
    json whole = json::array();
    for (const auto &member : message.update_.fullRecords_)
        whole.push_back(toJson(member));
    json heartbeatRecords = json::array();
    for (const auto &heartbeatRecord : message.update_.heartbeatRecords_)
        heartbeatRecords.push_back(toJson(heartbeatRecord));
    json loads = json::array();
    for (const auto &load : message.loads_)
        loads.push_back({load.target_, load.inProgress_, load.age_.count()});
    json all = {{"sender", toJson(message.sender_)},
                {"whole", std::move(whole)},
                {"pulses", std::move(heartbeatRecords)},
                {"loads", std::move(loads)}};
    if (!message.crashes_.isEmpty())
        all["crashes"] = toJson(message.crashes_);
    addRemovalAges(all, message.removals_);
    for (const auto &report : message.limits_)
        all["limits"].push_back(toJson(report));
    if (message.demand_) {
        json &demand = all["demand"] = json::array();
        for (const auto &item : *message.demand_)
            demand.push_back(toJson(item));
    }
    std::string bytes;
    json::to_msgpack(all, bytes);
    return bytes;
}

std::optional<PeerMessage> peerMessageFromBytes(const std::string &bytes, SteadyTime now)
{
    const json all = json::from_msgpack(bytes, true, false);
    if (!all.is_object())
        return unreadable("no MessagePack object in the message");
    try {
        PeerMessage message;
        message.sender_ = memberFromJson(all.at("sender"), now);
        for (const auto &member : all.at("whole"))
            message.update_.fullRecords_.push_back(memberFromJson(member, now));
        for (const auto &heartbeatRecord : all.at("pulses"))
            message.update_.heartbeatRecords_.push_back(heartbeatFromJson(heartbeatRecord));
        // Instances of an earlier version, which run beside this one during a rolling upgrade, send
        // no loads.
        for (const auto &load : all.value("loads", json::array()))
            message.loads_.push_back(loadFromJson(load));
        if (all.contains("crashes"))
            message.crashes_ = crashesFromJson(all["crashes"]);
        message.removals_ = removalAgesIn(all);
        for (const auto &report : all.value("limits", json::array()))
            message.limits_.push_back(limitFromJson(report));
        if (all.contains("demand"))
            message.demand_ = demandListFromJson(all["demand"]);
        return message;
    } catch (const std::exception &error) {
        return unreadable(error.what());
    }
}

std::string toText(const Member &member)
{
    return toJson(member).dump();
}

std::optional<Member> memberFromText(const std::string &text, SteadyTime now)
{
    const json parsed = json::parse(text, nullptr, false);
    if (!parsed.is_object())
        return unreadable("no JSON object in the record");
    try {
        return memberFromJson(parsed, now);
    } catch (const std::exception &error) {
        return unreadable(error.what());
    }
}

} // namespace Steering
