#include "Store.h"

#include "StoreCall.h"

#include <nlohmann/json.hpp>

namespace Platform {

using Http::Task;
using Model::ResultCode;
using nlohmann::json;

namespace {

/// Sends a read and parses the JSON answer.
Task<std::optional<json>> readJson(Store &store, std::string target)
{
    ++store.reads_;
    const auto result = co_await call(store, Http::http::verb::get, target, "");
    if (!result.answer_)
        co_return Model::fail(ResultCode::PlatformUnreachable, target);
    if (result.answer_->result() != Http::http::status::ok) {
        co_return Model::fail(ResultCode::PlatformError,
                              target + ": " + std::to_string(result.answer_->result_int()));
    }
    auto parsed = json::parse(result.answer_->body(), nullptr, false);
    if (parsed.is_discarded())
        co_return Model::fail(ResultCode::PlatformBadAnswer, target);
    co_return std::optional<json>(std::move(parsed));
}

json toJson(const Commit &commit)
{
    json conditions = json::array();
    for (const auto &condition : commit.conditions_)
        conditions.push_back({{"key", condition.key_}, {"revision", condition.revision_.value()}});
    json writes = json::array();
    for (const auto &write : commit.writes_) {
        json item = {{"key", write.key_}, {"value", nullptr}};
        if (write.value_)
            item["value"] = *write.value_;
        writes.push_back(item);
    }
    return {{"conditions", conditions}, {"writes", writes}};
}

std::optional<StoredRows> rowsFromJson(const json &answer)
{
    try {
        StoredRows rows;
        rows.revision_ = Revision(answer.at("revision").get<std::uint64_t>());
        for (const auto &item : answer.at("rows")) {
            StoredRow row;
            row.key_ = item.at("key").get<std::string>();
            if (!item.at("value").is_null())
                row.value_ = item.at("value").get<std::string>();
            row.revision_ = Revision(item.at("revision").get<std::uint64_t>());
            rows.rows_.push_back(std::move(row));
        }
        return rows;
    } catch (const json::exception &error) {
        return Model::fail(ResultCode::PlatformBadAnswer, error.what());
    }
}

std::optional<Model::Address> addressIn(const json &item, const char *name)
{
    return Model::addressFromText(item.at(name).get<std::string>());
}

std::optional<Model::Instance> instanceFromJson(const json &item)
{
    Model::Instance instance;
    instance.id_ = Model::InstanceId(item.at("id").get<std::string>());
    instance.region_ = Model::RegionId(item.at("region").get<std::string>());
    instance.domain_ = Model::FailureDomainId(item.at("domain").get<std::string>());
    instance.isLeaving_ = item.at("state").get<std::string>() != "live";
    const auto lookup = addressIn(item, "lookup");
    const auto entry = addressIn(item, "entry");
    const auto entryPeer = addressIn(item, "entry_peer");
    const auto control = addressIn(item, "control");
    const auto admin = addressIn(item, "control_admin");
    if (!lookup || !entry || !entryPeer || !control || !admin)
        return std::nullopt;
    instance.addresses_ = {*lookup, *entry, *entryPeer, *control, *admin};
    return instance;
}

} // namespace

Task<std::optional<StoredRows>> readRows(Store &store, std::string prefix, Revision after)
{
    const std::string target
        = "/v1/rows?prefix=" + escaped(prefix) + "&after=" + std::to_string(after.value());
    const auto answer = co_await readJson(store, target);
    if (!answer)
        co_return std::nullopt;
    co_return rowsFromJson(*answer);
}

Task<std::optional<CommitAnswer>> commit(Store &store, const Commit &commit)
{
    ++store.writes_;
    const auto result
        = co_await call(store, Http::http::verb::post, "/v1/commit", toJson(commit).dump());
    if (result.stage_ == Http::ExchangeStage::NotConnected)
        co_return Model::fail(ResultCode::PlatformUnreachable, "commit");
    if (!result.answer_)
        co_return Model::fail(ResultCode::CommitOutcomeUnknown, "commit");

    const auto status = result.answer_->result();
    const auto answer = json::parse(result.answer_->body(), nullptr, false);
    CommitAnswer commitAnswer;
    if (status == Http::http::status::ok && answer.contains("revision")) {
        commitAnswer.revision_ = Revision(answer["revision"].get<std::uint64_t>());
        co_return std::optional<CommitAnswer>(std::move(commitAnswer));
    }
    if (status == Http::http::status::conflict && answer.contains("conflicts")) {
        commitAnswer.conflicts_ = answer["conflicts"].get<std::vector<std::string>>();
        co_return std::optional<CommitAnswer>(std::move(commitAnswer));
    }
    // The platform answers 503 only before it begins a commit; with any other answer the outcome is
    // unknown.
    if (status == Http::http::status::service_unavailable)
        co_return Model::fail(ResultCode::PlatformError, "commit: 503");
    co_return Model::fail(ResultCode::CommitOutcomeUnknown,
                          "commit: " + std::to_string(result.answer_->result_int()));
}

Task<std::optional<std::vector<Model::Instance>>> readInstances(Store &store)
{
    const auto answer = co_await readJson(store, "/v1/instances");
    if (!answer)
        co_return std::nullopt;
    std::vector<Model::Instance> instances;
    try {
        for (const auto &item : answer->at("instances")) {
            const auto instance = instanceFromJson(item);
            if (!instance)
                co_return Model::fail(ResultCode::PlatformBadAnswer, "instances");
            instances.push_back(*instance);
        }
    } catch (const json::exception &error) {
        co_return Model::fail(ResultCode::PlatformBadAnswer, error.what());
    }
    co_return std::optional<std::vector<Model::Instance>>(std::move(instances));
}

Task<std::optional<std::string>> readObject(Store &store, std::string name)
{
    ++store.reads_;
    const auto result
        = co_await call(store, Http::http::verb::get, "/v1/objects/" + escaped(name), "");
    if (!result.answer_)
        co_return Model::fail(ResultCode::PlatformUnreachable, name);
    if (result.answer_->result() != Http::http::status::ok) {
        co_return Model::fail(ResultCode::PlatformError,
                              name + ": " + std::to_string(result.answer_->result_int()));
    }
    co_return std::optional<std::string>(result.answer_->body());
}

} // namespace Platform
