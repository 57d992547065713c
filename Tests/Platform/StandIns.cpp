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

Http::Response jsonAnswer(const json &body, http::status status = http::status::ok)
{
    return Http::textAnswer(status, "application/json", body.dump(), 11);
}

} // namespace

ServerThread::ServerThread(const std::string &host, Http::Handler handler)
    : server_(context_, Http::ServerLimits(), std::move(handler))
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
    : server_(context_, Http::ServerLimits(), std::move(handler))
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
        co_return jsonAnswer(json::object(), http::status::service_unavailable);
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
    co_return response;
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
            if (after < forgottenBefore_)
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

Target::Target(const std::string &host, std::string id)
    : id_(std::move(id))
    , served_(std::make_unique<ServerThread>(host,
                                             [this](Http::IncomingRequest request) {
                                                 return answer(std::move(request));
                                             }))
    , address_(served_->address())
{
    supervisor_ = std::thread([this] {
        supervise();
    });
}

Target::~Target()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
        changed_.notify_all();
    }
    supervisor_.join();
}

std::string Target::id() const
{
    const std::lock_guard lock(mutex_);
    return id_;
}

void Target::kill()
{
    const std::lock_guard lock(mutex_);
    endAt_ = Model::distantPast;
    changed_.notify_all();
}

void Target::setRestartCallback(std::function<void(const std::string &)> onRestart)
{
    const std::lock_guard lock(mutex_);
    onRestart_ = std::move(onRestart);
}

std::vector<TargetEnd> Target::ends()
{
    const std::lock_guard lock(mutex_);
    return ends_;
}

/// Ends the present incarnation when its end is due, and begins the next one.
void Target::supervise()
{
    std::unique_lock lock(mutex_);
    const auto waitUntil = [&](Model::SteadyTime time) {
        changed_.wait_until(lock, time, [this] {
            return isStopping_;
        });
    };
    while (!isStopping_) {
        changed_.wait(lock, [this] {
            return isStopping_ || endAt_;
        });
        if (isStopping_)
            return;
        const bool isKilled = *endAt_ == Model::distantPast;
        waitUntil(*endAt_);
        std::unique_ptr<ServerThread> ended = std::move(served_);
        lock.unlock();
        ended.reset();
        lock.lock();
        if (!isKilled)
            ends_.push_back({std::chrono::steady_clock::now(), crashPath_});
        waitUntil(std::chrono::steady_clock::now() + faults_.restartDelay_);
        if (isStopping_)
            return;
        const std::string earlier = std::exchange(id_, id_ + "." + std::to_string(++run_));
        endAt_.reset();
        const auto onRestart = onRestart_;
        lock.unlock();
        auto fresh
            = std::make_unique<ServerThread>(address_, [this](Http::IncomingRequest request) {
                  return answer(std::move(request));
              });
        onRestart(earlier);
        lock.lock();
        served_ = std::move(fresh);
    }
}

std::string Target::registration(const std::string &service, const std::string &zone,
                                 const std::string &state, int coldMs) const
{
    const json entry = {
        {"address", toText(address())},
        {"info", {{"service", service}, {"version", "v1"}, {"zone", zone}, {"slots", 6}}},
        {"status", {{"state", state}, {"sequence", 1}, {"coldLeftMs", coldMs}}},
    };
    return entry.dump();
}

void Target::setFaults(const TargetFaults &faults)
{
    const std::lock_guard lock(mutex_);
    faults_ = faults;
}

void Target::become(const std::string &id)
{
    const std::lock_guard lock(mutex_);
    id_ = id;
}

std::map<std::string, int> Target::runs()
{
    const std::lock_guard lock(mutex_);
    return runs_;
}

std::size_t Target::runCount()
{
    const std::lock_guard lock(mutex_);
    return requests_.size();
}

std::vector<Arrival> Target::takeArrivals()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(arrivals_, {});
}

std::vector<Arrival> Target::takeRefusals()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(refusals_, {});
}

std::vector<std::string> Target::seen(const std::string &header)
{
    const std::lock_guard lock(mutex_);
    std::vector<std::string> values;
    for (const auto &request : requests_)
        values.emplace_back(request[header]);
    return values;
}

Task<Http::Response> Target::answer(Http::IncomingRequest incoming)
{
    TargetFaults faults;
    {
        const std::lock_guard lock(mutex_);
        faults = faults_;
    }
    Http::Response response = co_await run(std::move(incoming), faults);
    if (faults.announcesLeave_ && response.result() != http::status::misdirected_request)
        response.set("X-Cassiacrank-Server-Leaving", "1");
    co_return response;
}

Task<Http::Response> Target::run(Http::IncomingRequest incoming, TargetFaults faults)
{
    const Http::Request &request = incoming.message_;
    const std::string id(request["X-Cassiacrank-Request-Id"]);
    const std::string via(request[viaEntryHeader]);
    Http::Response response;
    bool isEnding = false;
    {
        const std::lock_guard lock(mutex_);
        if (request["X-Cassiacrank-Expect-Instance"] != id_) {
            response = jsonAnswer(json::object(), http::status::misdirected_request);
            response.set("X-Cassiacrank-Request-Id", id);
            co_return response;
        }
        if (faults.isShedding_) {
            response = jsonAnswer(json::object(), http::status::service_unavailable);
            response.set("X-Cassiacrank-Not-Executed", "1");
            response.set("X-Cassiacrank-Request-Id", id);
            if (!faults.retryAfter_.empty())
                response.set(http::field::retry_after, faults.retryAfter_);
            const double seconds = faults.retryAfter_.empty() ? 0 : std::stod(faults.retryAfter_);
            const Model::Milliseconds pause(static_cast<long long>(seconds * 1000));
            refusals_.push_back({incoming.arrivedAt_, id_, id, via, pause, faults.announcesLeave_});
            co_return response;
        }
        ++runs_[id];
        requests_.push_back(request);
        arrivals_.push_back({incoming.arrivedAt_, id_, id, via, {}, faults.announcesLeave_});
        isEnding = !faults.crashPathPrefix_.empty()
                   && request.target().starts_with(faults.crashPathPrefix_);
        if (isEnding && !endAt_) {
            endAt_ = std::chrono::steady_clock::now() + faults.crashDelay_;
            crashPath_ = std::string(request.target());
            changed_.notify_all();
        }
    }
    if (isEnding) {
        co_await Http::sleepFor(never);
    }
    co_await Http::sleepFor(faults.work_);
    if (faults.losesAnswers_) {
        co_await Http::sleepFor(never);
    }
    response = Http::textAnswer(http::status::ok, "text/plain", "body of " + id, 11);
    response.set("X-Cassiacrank-Request-Id", faults.isForeign_ ? "another" : id);
    response.set("X-Cassiacrank-Server-Stamp", "stamp-" + this->id());
    response.set("X-Cassiacrank-Server-Load", "1,0,6");
    if (!faults.limit_.empty())
        response.set("X-Cassiacrank-Server-Limit", faults.limit_);
    if (faults.isTruncating_) {
        response.set(http::field::content_length, std::to_string(response.body().size() + 100));
        response.keep_alive(false);
    }
    co_return response;
}

} // namespace PlatformStandIns
