#include "QuotaMessage.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace Steering {

using nlohmann::json;
using Policy::QuotaAnswer;
using Policy::QuotaReport;

namespace {

/// Fractions are sent as multiples of this.
constexpr double fractionUnit = 0.001;

std::string packed(const json &message)
{
    std::string bytes;
    json::to_msgpack(message, bytes);
    return bytes;
}

std::nullopt_t unreadable(const char *why)
{
    return Model::fail(Model::ResultCode::PeerMessageUnreadable, why);
}

/// Calls \a decode with the array in \a bytes, and turns what it throws into a reason.
template <typename Message, typename Decode>
std::optional<Message> unpacked(const std::string &bytes, Decode decode)
{
    const json fields = json::from_msgpack(bytes, true, false);
    if (!fields.is_array())
        return unreadable("no MessagePack array in the message");
    try {
        return decode(fields);
    } catch (const json::exception &error) {
        return unreadable(error.what());
    }
}

} // namespace

std::string toBytes(const QuotaReport &report)
{
    json usage = json::array();
    for (const auto &item : report.usage_)
        usage.push_back({item.workspace_.value(), item.counts_.offered_, item.counts_.sent_});
    return packed({report.sender_.value(), report.incarnation_.value(), report.number_,
                   report.reporters_, report.isWhole_, report.isFirst_, std::move(usage)});
}

std::string toBytes(const QuotaAnswer &answer)
{
    json fractions = json::array();
    for (const auto &item : answer.fractions_) {
        fractions.push_back({item.workspace_.value(), static_cast<std::uint64_t>(std::lround(
                                                          item.fraction_ / fractionUnit))});
    }
    return packed({answer.needsWhole_, answer.age_.count(), std::move(fractions)});
}

std::optional<QuotaReport> quotaReportFromBytes(const std::string &bytes)
{
    return unpacked<QuotaReport>(bytes, [](const json &fields) {
        QuotaReport report;
        report.sender_ = Model::InstanceId(fields.at(0).get<std::string>());
        report.incarnation_ = Model::Incarnation(fields.at(1).get<std::uint64_t>());
        report.number_ = fields.at(2).get<std::uint64_t>();
        report.reporters_ = std::max(1U, fields.at(3).get<std::uint32_t>());
        report.isWhole_ = fields.at(4).get<bool>();
        report.isFirst_ = fields.at(5).get<bool>();
        for (const auto &item : fields.at(6)) {
            report.usage_.push_back(
                {Policy::WorkspaceKey(item.at(0).get<std::uint64_t>()),
                 {item.at(1).get<std::uint64_t>(), item.at(2).get<std::uint64_t>()}});
        }
        return report;
    });
}

std::optional<QuotaAnswer> quotaAnswerFromBytes(const std::string &bytes)
{
    return unpacked<QuotaAnswer>(bytes, [](const json &fields) {
        QuotaAnswer answer;
        answer.needsWhole_ = fields.at(0).get<bool>();
        answer.age_ = Model::Milliseconds(std::max<long long>(0, fields.at(1).get<long long>()));
        for (const auto &item : fields.at(2)) {
            answer.fractions_.push_back(
                {Policy::WorkspaceKey(item.at(0).get<std::uint64_t>()),
                 static_cast<double>(item.at(1).get<std::uint64_t>()) * fractionUnit});
        }
        return answer;
    });
}

} // namespace Steering
