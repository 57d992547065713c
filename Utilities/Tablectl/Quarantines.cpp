#include "Quarantines.h"

#include <LibHttp/LibHttp.h>
#include <LibPolicy/LibPolicy.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace Tablectl {

using Http::http::status;
using Model::ResultCode;
using Observe::ExitCode;

namespace {

constexpr const char *path = "/quarantines";

ExitCode fail()
{
    std::cerr << toText(Model::lastReason()) << "\n";
    return ExitCode::Failed;
}

/// Returns std::nullopt, with BadValue as the last reason, if an address is invalid or none is
/// given.
std::optional<std::vector<Model::Address>> addressesIn(const std::string &text)
{
    std::vector<Model::Address> addresses;
    std::istringstream list(text);
    for (std::string item; std::getline(list, item, ',');) {
        const auto address = Model::addressFromText(item);
        if (!address)
            return std::nullopt;
        addresses.push_back(*address);
    }
    if (addresses.empty())
        return Model::fail(ResultCode::BadValue, "--ask contains no address");
    return addresses;
}

std::optional<Http::Response> sendRequest(const Model::Address &address, Http::http::verb method,
                                          const std::string &target, const Options &options)
{
    Http::SimpleRequest request;
    request.address_ = address;
    request.method_ = method;
    request.target_ = target;
    request.timeout_ = options.timeout_;
    return Http::sendAndWait(request);
}

} // namespace

ExitCode listQuarantines(const Options &options)
{
    const auto addresses = addressesIn(options.adminAddresses_);
    if (!addresses)
        return fail();
    for (const auto &address : *addresses) {
        const auto answer = sendRequest(address, Http::http::verb::get, path, options);
        const auto body
            = answer ? nlohmann::json::parse(answer->body(), nullptr, false) : nlohmann::json();
        if (!body.is_object() || !body.contains("quarantined")) {
            std::cout << toText(address) << ": no answer\n";
            continue;
        }
        for (const auto &item : body["quarantined"]) {
            std::cout << toText(address) << ": " << item.value("print", "") << " for "
                      << item.value("left_ms", 0LL) / 1000 << " s: " << item.value("request", "")
                      << "\n";
        }
        if (body["quarantined"].empty())
            std::cout << toText(address) << ": none\n";
    }
    return ExitCode::Ok;
}

ExitCode releaseQuarantine(const Options &options)
{
    const auto addresses = addressesIn(options.adminAddresses_);
    const auto fingerprint
        = Policy::fingerprintFromText(options.arguments_.size() > 1 ? options.arguments_[1] : "");
    if (!addresses || !fingerprint)
        return fail();
    for (const auto &address : *addresses) {
        const auto answer = sendRequest(address, Http::http::verb::delete_,
                                        path + ("/" + toText(*fingerprint)), options);
        if (!answer || answer->result() != status::ok)
            continue;
        std::cout << "lifted at " << toText(address) << "\n";
        return ExitCode::Ok;
    }
    Model::fail(ResultCode::UnknownRow,
                "none of the --ask addresses has " + toText(*fingerprint) + " in quarantine");
    return fail();
}

} // namespace Tablectl
