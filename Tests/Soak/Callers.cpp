#include "Callers.h"

#include <Platform/StandIns.h>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace Soak {

using Http::Task;
using Model::Milliseconds;
namespace http = Http::http;

namespace {

/// Interval between two requests of a caller; 24 callers send about 100 requests a second.
constexpr Milliseconds thinkTime{200};
/// How long callers cache the entries of a look-up.
constexpr Milliseconds lookupTtl{1500};
constexpr Milliseconds lookupTimeout{1000};
constexpr Milliseconds requestTimeout{1500};
/// How long a caller waits beyond its deadline, to observe late answers.
constexpr Milliseconds lateSlack{2500};
constexpr std::uint64_t objects = 40;
constexpr Milliseconds watchStep{20};
/// Time limits are checked only if this program itself was delayed by at most this much.
constexpr Milliseconds maxLateness{150};
/// Interval at which a caller in a long retry delay checks whether it is stopped.
constexpr Milliseconds maxSleep{200};
/// Interval between two poison requests.
constexpr Milliseconds poisonInterval{230};

std::string bodyFor(const std::string &id)
{
    return "body of " + id;
}

} // namespace

Callers::Callers(std::size_t count, std::vector<Model::Address> lookups, std::uint64_t seed)
    : lookups_(std::move(lookups))
    , random_(seed)
{
    for (std::size_t i = 0; i < count; ++i)
        Http::asio::co_spawn(context_, call(i), Http::asio::detached);
    Http::asio::co_spawn(context_, callPoison(), Http::asio::detached);
    Http::asio::co_spawn(context_, watchTime(), Http::asio::detached);
    thread_ = std::thread([this] {
        context_.run();
    });
}

Callers::~Callers()
{
    stop();
}

void Callers::stop()
{
    isStopping_ = true;
    if (thread_.joinable())
        thread_.join();
}

bool Callers::isOnTime() const
{
    return latenessMs_ <= maxLateness.count();
}

std::vector<Record> Callers::take()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(records_, {});
}

std::vector<Callers::LookupResult> Callers::takeLookupResults()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(lookupResults_, {});
}

Task<void> Callers::watchTime()
{
    while (!isStopping_) {
        const auto before = std::chrono::steady_clock::now();
        co_await Http::sleepFor(watchStep);
        const auto took = std::chrono::steady_clock::now() - before;
        const auto late = std::chrono::duration_cast<Milliseconds>(took - watchStep).count();
        // A delay is remembered for as long as a request may last.
        const auto faded = latenessMs_ - 1;
        latenessMs_ = std::max<long long>({late, faded, 0});
    }
}

Task<void> Callers::pauseFor(Milliseconds duration)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    while (!isStopping_ && std::chrono::steady_clock::now() < end) {
        const auto left
            = std::chrono::duration_cast<Milliseconds>(end - std::chrono::steady_clock::now());
        co_await Http::sleepFor(std::min(left + Milliseconds(1), maxSleep));
    }
}

Task<std::vector<std::string>> Callers::lookUp(Http::ConnectionPool &pool)
{
    const Model::Address &address = lookups_[random_() % lookups_.size()];
    Http::ExchangeOptions options;
    options.address_ = address;
    options.connectTimeout_ = lookupTimeout;
    options.deadline_ = std::chrono::steady_clock::now() + lookupTimeout;
    options.maxIdle_ = Milliseconds(0);
    const char *region = random_() % 2 == 0 ? "r" : "s";
    const std::string target
        = std::string("/-/resolve?name=h.example&region=") + region + "&zone=" + region + "-a";
    Http::Request request(http::verb::get, target, 11);
    request.set(http::field::host, toText(address));
    const auto result = co_await Http::exchange(pool, options, request, Http::acceptAnyAnswer);
    std::vector<std::string> entries;
    if (!result.answer_ || result.answer_->result() != http::status::ok)
        co_return entries;
    entries = nlohmann::json::parse(result.answer_->body()).at("addrs").get<decltype(entries)>();
    const std::lock_guard lock(mutex_);
    lookupResults_.push_back({std::chrono::steady_clock::now(), address, entries});
    co_return entries;
}

Task<Record> Callers::send(Http::ConnectionPool &pool, const Model::Address &entry,
                           const std::string &id, Milliseconds &retryDelay, std::string poisonPath)
{
    Record record;
    record.id_ = id;
    record.entry_ = entry;
    record.poisonPath_ = poisonPath;
    record.mayRepeat_ = record.isPoison() || random_() % 3 != 0;
    record.sentAt_ = std::chrono::steady_clock::now();
    Http::Request request(record.mayRepeat_ ? http::verb::get : http::verb::post,
                          record.mayRepeat_ ? "/read/x" : "/order/x", 11);
    if (record.isPoison())
        request.target(poisonPath);
    request.set(http::field::host, "h.example");
    request.set("X-Cassiacrank-Request-Id", id);
    request.set(PlatformStandIns::viaEntryHeader, toText(entry));
    request.set("X-Cassiacrank-Affinity-Key", std::to_string(random_() % objects));
    request.set("X-Cassiacrank-Deadline-Ms", std::to_string(requestTimeout.count()));
    request.prepare_payload();
    Http::ExchangeOptions options;
    options.address_ = entry;
    options.connectTimeout_ = lookupTimeout;
    options.deadline_ = record.sentAt_ + requestTimeout + lateSlack;
    const auto result = co_await Http::exchange(pool, options, request, Http::acceptAnyAnswer);
    record.endedAt_ = std::chrono::steady_clock::now();
    record.stage_ = result.stage_;
    record.code_ = result.code_;
    if (!result.answer_)
        co_return record;
    record.status_ = result.answer_->result_int();
    record.isBodyForId_ = result.answer_->body() == bodyFor(id)
                          && (*result.answer_)["X-Cassiacrank-Request-Id"] == id;
    const std::string wait((*result.answer_)[http::field::retry_after]);
    retryDelay = Milliseconds(static_cast<long long>(std::atof(wait.c_str()) * 1000));
    co_return record;
}

void Callers::beginPoison(const std::string &path)
{
    const std::lock_guard lock(mutex_);
    poisonPaths_.push_back(path);
}

void Callers::endPoison(const std::string &path)
{
    const std::lock_guard lock(mutex_);
    std::erase(poisonPaths_, path);
}

Task<void> Callers::callPoison()
{
    Http::ConnectionPool pool(context_);
    for (std::uint64_t sent = 0; !isStopping_; ++sent) {
        std::string path;
        {
            const std::lock_guard lock(mutex_);
            if (!poisonPaths_.empty())
                path = poisonPaths_[sent % poisonPaths_.size()];
        }
        std::vector<std::string> entries;
        if (!path.empty()) {
            entries = co_await lookUp(pool);
        }
        if (!entries.empty()) {
            const auto entry = Model::addressFromText(entries[random_() % entries.size()]);
            Milliseconds retryDelay{0};
            const std::string id = "ends-" + std::to_string(sent);
            Record record = co_await send(pool, *entry, id, retryDelay, path);
            const std::lock_guard lock(mutex_);
            records_.push_back(std::move(record));
        }
        co_await Http::sleepFor(poisonInterval);
    }
}

Task<void> Callers::call(std::size_t number)
{
    Http::ConnectionPool pool(context_);
    std::vector<std::string> entries;
    Model::SteadyTime askAgainAt;
    for (std::uint64_t sent = 0; !isStopping_; ++sent) {
        const auto now = std::chrono::steady_clock::now();
        if (entries.empty() || now >= askAgainAt) {
            auto fresh = co_await lookUp(pool);
            if (!fresh.empty())
                entries = std::move(fresh);
            askAgainAt = now + lookupTtl;
        }
        Milliseconds retryDelay{0};
        if (!entries.empty()) {
            const auto entry = Model::addressFromText(entries[random_() % entries.size()]);
            const std::string id = "c" + std::to_string(number) + "-" + std::to_string(sent);
            Record record = co_await send(pool, *entry, id, retryDelay, "");
            const std::lock_guard lock(mutex_);
            records_.push_back(std::move(record));
        }
        co_await pauseFor(retryDelay + Milliseconds(random_() % (2 * thinkTime.count())));
    }
}

} // namespace Soak
