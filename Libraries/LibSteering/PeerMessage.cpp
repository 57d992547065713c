#include "PeerMessage.h"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace Steering {

using Model::SteadyTime;
using nlohmann::json;
using Policy::Member;
using Policy::MemberPulse;

namespace {

// A heartbeat record is encoded as an array with these indices.
enum PulsePlace {
    Id,
    Run,
    Beat,
    Flags,
    Store,
    Operators,
    Targets,
    Entries,
    Age,
    StoreAnswered,
    TargetsRead,
};

constexpr unsigned readyFlag = 1;
constexpr unsigned leavingFlag = 2;

Policy::StoreContact contactFromNumber(int number)
{
    using enum Policy::StoreContact;
    for (const auto contact : {Reached, Refused}) {
        if (number == static_cast<int>(contact))
            return contact;
    }
    return NotAsked;
}

json toJson(const MemberPulse &pulse)
{
    const unsigned flags
        = (pulse.isReady_ ? readyFlag : 0U) | (pulse.isLeaving_ ? leavingFlag : 0U);
    return {pulse.id_.value(),
            pulse.incarnation_.value(),
            pulse.heartbeat_,
            flags,
            static_cast<int>(pulse.store_),
            pulse.operatorsSeen_,
            pulse.targetsSeen_,
            pulse.regionEntries_,
            pulse.age_.count(),
            pulse.storeAnswered_.count(),
            pulse.targetsRead_};
}

MemberPulse pulseFromJson(const json &text)
{
    MemberPulse pulse;
    pulse.id_ = Model::InstanceId(text.at(Id).get<std::string>());
    pulse.incarnation_ = Model::Incarnation(text.at(Run).get<std::uint64_t>());
    pulse.heartbeat_ = text.at(Beat).get<std::uint64_t>();
    const auto flags = text.at(Flags).get<unsigned>();
    pulse.isReady_ = (flags & readyFlag) != 0;
    pulse.isLeaving_ = (flags & leavingFlag) != 0;
    pulse.store_ = contactFromNumber(text.at(Store).get<int>());
    pulse.operatorsSeen_ = text.at(Operators).get<std::uint64_t>();
    pulse.targetsSeen_ = text.at(Targets).get<std::uint64_t>();
    pulse.regionEntries_ = text.at(Entries).get<std::uint32_t>();
    pulse.age_ = Model::Milliseconds(text.at(Age).get<long long>());
    // Instances of an earlier version do not send how long the store has answered them.
    if (text.size() > TargetsRead) {
        const Model::Milliseconds answered(text.at(StoreAnswered).get<long long>());
        pulse.storeAnswered_ = std::max(Model::Milliseconds(0), answered);
        pulse.targetsRead_ = text.at(TargetsRead).get<std::uint64_t>();
    }
    return pulse;
}

json toJson(const Member &member)
{
    const auto &instance = member.instance_;
    return {{"pulse", toJson(member.pulse_)},
            {"region", instance.region_.value()},
            {"domain", instance.domain_.value()},
            {"entry", Model::toText(instance.addresses_.entry_)},
            {"control", Model::toText(instance.addresses_.control_)}};
}

Model::Address addressFromJson(const json &text)
{
    const auto address = Model::addressFromText(text.get<std::string>());
    if (!address)
        throw std::invalid_argument("invalid address: " + text.get<std::string>());
    return *address;
}

/// Throws std::exception for input that toJson() has not written.
Member memberFromJson(const json &text, SteadyTime now)
{
    Member member;
    member.pulse_ = pulseFromJson(text.at("pulse"));
    auto &instance = member.instance_;
    instance.id_ = member.pulse_.id_;
    instance.region_ = Model::RegionId(text.at("region").get<std::string>());
    instance.domain_ = Model::FailureDomainId(text.at("domain").get<std::string>());
    instance.addresses_.entry_ = addressFromJson(text.at("entry"));
    instance.addresses_.control_ = addressFromJson(text.at("control"));
    member.heardAt_ = now - member.pulse_.age_;
    return member;
}

Policy::TargetLoad loadFromJson(const json &text)
{
    Policy::TargetLoad load;
    load.target_ = text.at(0).get<std::uint32_t>();
    load.inProgress_ = text.at(1).get<std::uint32_t>();
    load.age_ = std::max(Model::Milliseconds(0), Model::Milliseconds(text.at(2).get<long long>()));
    return load;
}

// Crashed incarnations and quarantines are encoded as arrays of numbers, like heartbeat records.
json toJson(const Policy::CrashNews &news)
{
    json runs = json::array();
    for (const auto &run : news.runs_) {
        json told = {run.run_.value(), run.age_.count()};
        for (const auto &suspect : run.suspects_) {
            told.push_back(suspect.print_.request_);
            told.push_back(suspect.print_.caller_);
            told.push_back(suspect.isCleared_);
        }
        runs.push_back(std::move(told));
    }
    json quarantines = json::array();
    for (const auto &told : news.quarantines_) {
        quarantines.push_back({told.print_.request_, told.print_.caller_, told.generation_,
                               told.lifted_, told.age_.count()});
    }
    return {std::move(runs), std::move(quarantines)};
}

Model::Milliseconds ageFromJson(const json &text)
{
    return std::max(Model::Milliseconds(0), Model::Milliseconds(text.get<long long>()));
}

Policy::CrashNews crashesFromJson(const json &text)
{
    constexpr std::size_t suspectsAt = 2;
    constexpr std::size_t suspectSize = 3;
    Policy::CrashNews news;
    for (const auto &told : text.at(0)) {
        Policy::ToldRun run;
        run.run_ = Policy::RunKey(told.at(0).get<std::uint64_t>());
        run.age_ = ageFromJson(told.at(1));
        for (std::size_t i = suspectsAt; i < told.size(); i += suspectSize) {
            run.suspects_.push_back(
                {{told.at(i).get<std::uint64_t>(), told.at(i + 1).get<std::uint32_t>()},
                 told.at(i + 2).get<bool>()});
        }
        news.runs_.push_back(std::move(run));
    }
    for (const auto &told : text.at(1)) {
        news.quarantines_.push_back(
            {{told.at(0).get<std::uint64_t>(), told.at(1).get<std::uint32_t>()},
             told.at(2).get<std::uint32_t>(),
             told.at(3).get<std::uint32_t>(),
             ageFromJson(told.at(4))});
    }
    return news;
}

std::nullopt_t unreadable(const char *why)
{
    return Model::fail(Model::ResultCode::PeerMessageUnreadable, why);
}

} // namespace

std::string toBytes(const PeerMessage &message)
{
    json whole = json::array();
    for (const auto &member : message.news_.whole_)
        whole.push_back(toJson(member));
    json pulses = json::array();
    for (const auto &pulse : message.news_.pulses_)
        pulses.push_back(toJson(pulse));
    json loads = json::array();
    for (const auto &load : message.loads_)
        loads.push_back({load.target_, load.inProgress_, load.age_.count()});
    json all = {{"sender", toJson(message.sender_)},
                {"whole", std::move(whole)},
                {"pulses", std::move(pulses)},
                {"loads", std::move(loads)}};
    if (!message.crashes_.isEmpty())
        all["crashes"] = toJson(message.crashes_);
    std::string bytes;
    json::to_msgpack(all, bytes);
    return bytes;
}

std::optional<PeerMessage> peerMessageFromBytes(const std::string &bytes, SteadyTime now)
{
    const json all = json::from_msgpack(bytes, true, false);
    if (!all.is_object())
        return unreadable("the message is not a MessagePack object");
    try {
        PeerMessage message;
        message.sender_ = memberFromJson(all.at("sender"), now);
        for (const auto &member : all.at("whole"))
            message.news_.whole_.push_back(memberFromJson(member, now));
        for (const auto &pulse : all.at("pulses"))
            message.news_.pulses_.push_back(pulseFromJson(pulse));
        // Instances of an earlier version, which run beside this one during a rolling upgrade, send
        // no loads.
        for (const auto &load : all.value("loads", json::array()))
            message.loads_.push_back(loadFromJson(load));
        if (all.contains("crashes"))
            message.crashes_ = crashesFromJson(all["crashes"]);
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
        return unreadable("the record is not a JSON object");
    try {
        return memberFromJson(parsed, now);
    } catch (const std::exception &error) {
        return unreadable(error.what());
    }
}

} // namespace Steering
