#include "StandIns.h"

#include <boost/beast/core/detail/base64.hpp>

namespace PlatformStandIns {

using Http::Task;
using Model::Milliseconds;
using nlohmann::json;
namespace http = Http::http;
namespace base64 = boost::beast::detail::base64;

namespace {

constexpr Milliseconds pollInterval{10};
constexpr Milliseconds never{600000};

Http::ServerLimits serverLimits()
{
    Http::ServerLimits limits;
    limits.bodyBytes_ = 64 * 1024 * 1024;
    return limits;
}

std::string encoded(const std::string &text)
{
    std::string result(base64::encoded_size(text.size()), '\0');
    result.resize(base64::encode(result.data(), text.data(), text.size()));
    return result;
}

std::string decoded(const std::string &text)
{
    std::string result(base64::decoded_size(text.size()), '\0');
    result.resize(base64::decode(result.data(), text.data(), text.size()).first);
    return result;
}

std::string queryValue(const std::string &target, const std::string &name)
{
    const auto at = target.find(name + "=");
    if (at == std::string::npos)
        return "";
    const auto start = at + name.size() + 1;
    return target.substr(start, target.find('&', start) - start);
}

} // namespace

Http::Response jsonAnswer(const json &body, http::status status)
{
    return Http::textAnswer(status, "application/json", body.dump(), 11);
}

ServerThread::ServerThread(const std::string &host, Http::Handler handler)
    : server_(context_, serverLimits(), std::move(handler))
{
    Http::asio::io_context probeContext;
    bool isListening = false;
    while (!isListening) {
        Http::tcp::acceptor probe(probeContext, {Http::asio::ip::make_address(host), 0});
        address_ = {host, probe.local_endpoint().port()};
        probe.close();
        isListening = server_.listen(address_);
    }
    thread_ = std::thread([this] {
        context_.run();
    });
}

ServerThread::ServerThread(const Model::Address &address, Http::Handler handler)
    : server_(context_, serverLimits(), std::move(handler))
    , address_(address)
{
    while (!server_.listen(address_))
        std::this_thread::sleep_for(pollInterval);
    thread_ = std::thread([this] {
        context_.run();
    });
}

ServerThread::~ServerThread()
{
    context_.stop();
    thread_.join();
}

Store::Store(const std::string &host)
    : served_(host, [this](Http::IncomingRequest request) {
        return answer(std::move(request));
    })
{
}

void Store::change(const std::string &table, const std::string &key,
                   const std::optional<std::string> &value)
{
    tables_[table][key] = {value.value_or(""), revision_, !value};
}

void Store::put(const std::string &table, const std::string &key, const std::string &value)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    change(table, key, value);
}

void Store::remove(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(mutex_);
    ++revision_;
    change(table, key, std::nullopt);
}

std::optional<std::string> Store::value(const std::string &table, const std::string &key)
{
    const std::lock_guard lock(mutex_);
    const auto found = tables_[table].find(key);
    if (found == tables_[table].end() || found->second.isRemoved_)
        return std::nullopt;
    return found->second.value_;
}

void Store::setFaults(const StoreFaults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
    if (faults.hasDiscardedHistory_)
        forgottenBefore_ = ++revision_;
    if (faults.isSilent_)
        ++silences_;
}

void Store::save()
{
    const std::lock_guard lock(mutex_);
    savedTables_ = tables_;
    savedRevision_ = revision_;
}

void Store::returnFromCopy()
{
    const std::lock_guard lock(mutex_);
    lostTables_ = std::exchange(tables_, savedTables_);
    revision_ = savedRevision_;
    forgottenBefore_ = std::min(forgottenBefore_, revision_);
    ++era_;
}

void Store::writeAgain()
{
    const std::lock_guard lock(mutex_);
    for (const char *table : {"op", "servers"}) {
        for (const auto &[key, lost] : lostTables_[table]) {
            const auto found = tables_[table].find(key);
            const bool isMissing = found == tables_[table].end();
            if (isMissing && lost.isRemoved_)
                continue;
            const bool isOther = isMissing || found->second.isRemoved_ != lost.isRemoved_
                                 || found->second.value_ != lost.value_;
            const bool isWrittenSince = !isMissing && found->second.revision_ > savedRevision_;
            if (!isOther || isWrittenSince)
                continue;
            ++revision_;
            change(table, key, lost.isRemoved_ ? std::nullopt : std::optional(lost.value_));
        }
    }
}

Http::Response Store::withEra(Http::Response response)
{
    const std::lock_guard lock(mutex_);
    response.set("Store-Era", std::to_string(era_));
    return response;
}

Task<Http::Response> Store::answer(Http::IncomingRequest request)
{
    ++calls_;
    StoreFaults faults;
    std::uint64_t silences = 0;
    {
        const std::lock_guard lock(mutex_);
        faults = faults_;
        silences = silences_;
    }
    if (faults.isSilent_) {
        co_await Http::sleepFor(never);
    }
    if (faults.isRefusing_)
        co_return withEra(jsonAnswer(json::object(), http::status::service_unavailable));
    const std::string target(request.message_.target());
    Http::Response response;
    if (target.starts_with("/-/rows-feed")) {
        response = co_await feed(target);
    } else if (target.starts_with("/-/rows-get")) {
        response = get(target);
    } else {
        response = transact(request.message_.body());
    }
    if (faults.losesAnswers_ || wasSilentSince(silences)) {
        co_await Http::sleepFor(never);
    }
    co_return withEra(std::move(response));
}

bool Store::wasSilentSince(std::uint64_t silences)
{
    const std::lock_guard lock(mutex_);
    return silences_ != silences;
}

json Store::rowsSince(const std::string &table, std::uint64_t after)
{
    json rows = json::array();
    for (const auto &[key, row] : tables_[table]) {
        if (row.revision_ <= after)
            continue;
        json item = {{"table", table}, {"part", ""}, {"key", key}, {"ver", row.revision_}};
        if (row.isRemoved_) {
            item["tombstone"] = true;
        } else {
            item["value"] = encoded(row.value_);
        }
        rows.push_back(item);
    }
    return rows;
}

Task<Http::Response> Store::feed(std::string target)
{
    const std::string table = queryValue(target, "table");
    const auto after = std::stoull(queryValue(target, "after"));
    const auto until
        = std::chrono::steady_clock::now() + Milliseconds(std::stoll(queryValue(target, "waitMs")));
    while (true) {
        {
            const std::lock_guard lock(mutex_);
            if (faults_.isRefusing_)
                co_return jsonAnswer(json::object(), http::status::service_unavailable);
            if (after < forgottenBefore_ || after > revision_)
                co_return jsonAnswer(json::object(), http::status::gone);
            json rows = rowsSince(table, after);
            if (!rows.empty() || std::chrono::steady_clock::now() >= until) {
                const json body = {{"rows", rows}, {"ver", revision_}, {"nowMs", 1}};
                co_return jsonAnswer(body);
            }
        }
        co_await Http::sleepFor(pollInterval);
    }
}

Http::Response Store::get(const std::string &target)
{
    const std::lock_guard lock(mutex_);
    json rows = json::array();
    for (auto &row : rowsSince(queryValue(target, "table"), 0)) {
        if (!row.contains("tombstone"))
            rows.push_back(row);
    }
    return jsonAnswer({{"rows", rows}, {"hasMore", false}, {"ver", revision_}, {"nowMs", 1}});
}

Http::Response Store::transact(const std::string &body)
{
    const json call = json::parse(body);
    const std::lock_guard lock(mutex_);
    for (const auto &expected : call.at("expectedRev")) {
        const auto &rows = tables_[expected.at("table")];
        const auto found = rows.find(expected.at("key").get<std::string>());
        const auto held
            = found == rows.end() || found->second.isRemoved_ ? 0 : found->second.revision_;
        if (held != expected.at("ver").get<std::uint64_t>())
            return jsonAnswer({{"ver", revision_}}, http::status::precondition_failed);
    }
    ++revision_;
    for (const auto &put : call.at("puts"))
        change(put.at("table"), put.at("key"), decoded(put.at("value").get<std::string>()));
    for (const auto &row : call.at("remove"))
        change(row.at("table"), row.at("key"), std::nullopt);
    return jsonAnswer({{"ver", revision_}, {"nowMs", 1}});
}

} // namespace PlatformStandIns
