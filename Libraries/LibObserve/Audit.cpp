#include "Audit.h"

#include <nlohmann/json.hpp>

namespace Observe {

std::string toText(const AuditRecord &record)
{
    nlohmann::json changes = nlohmann::json::array();
    for (const auto &change : record.changes_) {
        changes.push_back({{"row", Model::toText(change.row_)},
                           {"column", change.column_},
                           {"before", change.before_},
                           {"after", change.after_}});
    }
    const nlohmann::json json = {{"version", record.version_.value()},
                                 {"edit", record.edit_.value()},
                                 {"operator", record.operator_},
                                 {"at", Model::toText(record.at_)},
                                 {"changes", changes}};
    return json.dump();
}

std::optional<AuditRecord> auditFromText(const std::string &text)
{
    using Model::ResultCode;
    const auto json = nlohmann::json::parse(text, nullptr, false);
    try {
        AuditRecord record;
        record.version_ = Model::TableVersion(json.at("version").get<std::uint64_t>());
        record.edit_ = Model::EditId(json.at("edit").get<std::string>());
        record.operator_ = json.at("operator").get<std::string>();
        const auto at = Model::timeFromText(json.at("at").get<std::string>());
        if (!at)
            return std::nullopt;
        record.at_ = *at;
        for (const auto &change : json.at("changes")) {
            const auto row = Model::rowKeyFromText(change.at("row").get<std::string>());
            if (!row)
                return std::nullopt;
            record.changes_.push_back({*row, change.at("column").get<std::string>(),
                                       change.at("before").get<std::string>(),
                                       change.at("after").get<std::string>()});
        }
        return record;
    } catch (const std::exception &error) {
        return Model::fail(ResultCode::PlatformBadAnswer, std::string("audit: ") + error.what());
    }
}

} // namespace Observe
