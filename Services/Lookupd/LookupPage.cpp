#include "LookupPage.h"

#include <nlohmann/json.hpp>

namespace Lookupd {

using Model::ResultCode;

namespace {

constexpr std::string_view entryPath = "/v1/entry?";

/// Returns the value of \a name in a query such as "a=1&b=2".
std::optional<std::string> parameter(std::string_view query, std::string_view name)
{
    while (!query.empty()) {
        const auto end = std::min(query.find('&'), query.size());
        const std::string_view item = query.substr(0, end);
        query.remove_prefix(std::min(end + 1, query.size()));
        const auto equals = item.find('=');
        if (equals != std::string_view::npos && item.substr(0, equals) == name)
            return std::string(item.substr(equals + 1));
    }
    return std::nullopt;
}

std::string reasonText(const LookupSnapshot &snapshot, const Policy::LookupQuery &query)
{
    std::size_t alive = 0;
    for (const auto &candidate : snapshot.candidates_) {
        if (candidate.isAlive_ && candidate.instance_.region_ == query.origin_)
            ++alive;
    }
    std::string text = std::to_string(alive) + " entries of " + query.origin_.value() + " serve";
    if (!query.nearDomain_.isEmpty())
        text += "; those in " + query.nearDomain_.value() + " come first";
    if (alive == 0)
        text += "; other regions' entries are named instead";
    return text;
}

} // namespace

std::optional<Policy::LookupQuery> readQuery(const LookupSnapshot &snapshot,
                                             const std::string &path, const std::string &remoteHost)
{
    if (!path.starts_with(entryPath))
        return Model::fail(ResultCode::BadLookupQuery, "use /v1/entry?service=NAME&caller=NAME");
    const std::string_view parameters = std::string_view(path).substr(entryPath.size());
    const auto service = parameter(parameters, "service");
    if (!service)
        return Model::fail(ResultCode::BadLookupQuery, "'service' is missing");
    const Model::Table &table = *snapshot.view_.table_;
    if (!table.service(Model::ServiceId(*service)))
        return Model::fail(ResultCode::UnknownService, "'" + *service + "'");

    Policy::LookupQuery query;
    query.caller_ = Model::CallerId(parameter(parameters, "caller").value_or(remoteHost));
    if (const auto origin = parameter(parameters, "origin")) {
        query.origin_ = Model::RegionId(*origin);
        if (!table.region(query.origin_))
            return Model::fail(ResultCode::BadLookupQuery, "no region '" + *origin + "'");
        return query;
    }
    const auto *location
        = snapshot.view_.blocks_ ? snapshot.view_.blocks_->locationOf(remoteHost) : nullptr;
    query.origin_ = location ? location->region_ : snapshot.localRegion_;
    query.nearDomain_ = location ? location->domain_ : Model::FailureDomainId();
    return query;
}

std::optional<std::string> answerText(const LookupSnapshot &snapshot,
                                      const Policy::LookupQuery &query)
{
    using nlohmann::json;
    const auto ranked = Policy::rankEntries(query, snapshot.candidates_, snapshot.maxEntries_);
    if (ranked.empty())
        return Model::fail(ResultCode::NotReady, "no serving entry is known");
    json entries = json::array();
    for (const auto &instance : ranked) {
        entries.push_back({{"id", instance.id_.value()},
                           {"address", Model::toText(instance.addresses_.entry_)},
                           {"region", instance.region_.value()},
                           {"domain", instance.domain_.value()}});
    }
    const json answer = {{"entries", entries},
                         {"ttl_ms", snapshot.timeToLive_.count()},
                         {"origin", query.origin_.value()},
                         {"table_version", snapshot.view_.table_->version().value()},
                         {"reason", reasonText(snapshot, query)}};
    return answer.dump() + "\n";
}

} // namespace Lookupd
