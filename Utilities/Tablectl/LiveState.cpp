#include "LiveState.h"

#include <LibHttp/LibHttp.h>
#include <cstdio>
#include <nlohmann/json.hpp>

namespace Tablectl {

using nlohmann::json;

namespace {

constexpr Model::Milliseconds requestTimeout{1000};

std::optional<json> getJson(const Model::Address &address, const std::string &target)
{
    Http::SimpleRequest request;
    request.address_ = address;
    request.target_ = target;
    request.timeout_ = requestTimeout;
    const auto answer = Http::sendAndWait(request);
    if (!answer)
        return std::nullopt;
    auto parsed = json::parse(answer->body(), nullptr, false);
    if (!parsed.is_object())
        return std::nullopt;
    return parsed;
}

json listIn(const json &status, const char *name)
{
    return status.value(name, json::array());
}

std::string unavailableText(const json &status)
{
    std::string text;
    for (const auto &region : listIn(status, "regions")) {
        if (!region.value("out", false))
            continue;
        text += "  region " + region.value("id", "") + " is out: nothing heard for "
                + std::to_string(region.value("age_ms", 0) / 1000) + " s\n";
    }
    for (const auto &target : listIn(status, "leaving_targets"))
        text += "  target " + target.get<std::string>() + " leaves\n";
    return text;
}

std::string failedMembersText(const json &status)
{
    std::string text;
    for (const auto &member : listIn(status, "members")) {
        if (member.value("alive", true) || member.value("leaving", false))
            continue;
        text += "  takes " + member.value("id", "") + " for dead, silent for "
                + std::to_string(member.value("age_ms", 0) / 1000) + " s\n";
    }
    return text;
}

std::string shareText(const json &moving)
{
    std::string text = "  moving: " + moving.value("service", "") + " from "
                       + moving.value("origin", "") + " stands at";
    const json shares = moving.value("shares", json::object());
    for (const auto &[domain, share] : shares.items()) {
        char percent[32];
        std::snprintf(percent, sizeof percent, " %.1f%%", share.get<double>() * 100);
        if (share.get<double>() > 0)
            text += " " + domain + percent;
    }
    return text + "\n";
}

} // namespace

std::string instanceStatusText(const Model::Instance &instance, Model::TableVersion storeVersion)
{
    const auto answer = getJson(instance.addresses_.controlAdmin_, "/status");
    if (!answer)
        return instance.id_.value() + ": no answer\n";
    const json &status = *answer;
    std::string text = status.value("id", "") + " (" + status.value("domain", "") + "): ";
    const auto entryVersion = status.value("entry_version", std::uint64_t(0));
    text += status.value("ready", false) ? "ready" : "NOT READY";
    text += status.value("starting", false) ? ", starting" : "";
    text += status.value("leaving", false) ? ", leaving" : "";
    text += status.value("store_down", false) ? ", store down" : "";
    text += ", versions control " + std::to_string(status.value("control_version", 0)) + " entry "
            + std::to_string(entryVersion) + " lookup "
            + std::to_string(status.value("lookup_version", 0));
    text += entryVersion < storeVersion.value() ? " STALE\n" : "\n";
    text += failedMembersText(status) + unavailableText(status);
    for (const auto &moving : listIn(status, "moving"))
        text += shareText(moving);
    return text;
}

std::string liveRouteText(const std::vector<Model::Instance> &instances,
                          const Model::ServiceId &service, const Model::CallerId &caller,
                          const Model::RegionId &origin)
{
    for (const auto &instance : instances) {
        if (instance.region_ != origin)
            continue;
        const auto status = getJson(instance.addresses_.controlAdmin_, "/status");
        const auto lookup = getJson(instance.addresses_.lookup_,
                                    "/v1/entry?service=" + service.value() + "&caller="
                                        + caller.value() + "&origin=" + origin.value());
        if (!status || !lookup)
            continue;
        std::string text = "now, by " + instance.id_.value() + ":\n  entries, the first is used:";
        for (const auto &entry : listIn(*lookup, "entries"))
            text += " " + entry.value("id", "");
        text += "\n  because " + lookup->value("reason", "") + "\n" + unavailableText(*status);
        for (const auto &moving : listIn(*status, "moving")) {
            if (moving.value("service", "") == service.value()
                && moving.value("origin", "") == origin.value())
                text += shareText(moving);
        }
        return text;
    }
    return "now: no instance of " + origin.value() + " answers\n";
}

} // namespace Tablectl
