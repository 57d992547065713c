#include "Callers.h"

#include <Platform/StandIns.h>
#include <cstdlib>
#include <nlohmann/json.hpp>

namespace Soak {

using Http::Task;
using Model::Milliseconds;
namespace http = Http::http;

namespace {

/// Between two requests of a caller; two dozen callers make a hundred requests a second.
constexpr Milliseconds thinkTime{200};
/// How long callers keep what a look-up told.
constexpr Milliseconds lookupLife{1500};
constexpr Milliseconds lookupPatience{1000};
constexpr Milliseconds patience{1500};
/// How long a caller waits beyond that, so that late answers are seen.
constexpr Milliseconds lateSlack{2500};
constexpr std::uint64_t objects = 40;
constexpr Milliseconds watchStep{20};
/// Times are judged only where this program itself was at most so late.
constexpr Milliseconds latenessBorne{150};
/// A caller that is told to come back late looks so often whether it is stopped.
constexpr Milliseconds longestSleep{200};
/// Between two requests under which targets end.
constexpr Milliseconds endingPause{230};

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
    Http::asio::co_spawn(context_, callEnding(), Http::asio::detached);
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
    return latenessMs_ <= latenessBorne.count();
}

std::vector<Record> Callers::take()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(records_, {});
}

std::vector<Callers::Named> Callers::takeNamed()
{
    const std::lock_guard lock(mutex_);
    return std::exchange(named_, {});
}

Task<void> Callers::watchTime()
{
    while (!isStopping_) {
        const auto before = std::chrono::steady_clock::now();
        co_await Http::sleepFor(watchStep);
        const auto took = std::chrono::steady_clock::now() - before;
        const auto late = std::chrono::duration_cast<Milliseconds>(took - watchStep).count();
        // A lateness is remembered for as long as a request may last.
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
        co_await Http::sleepFor(std::min(left + Milliseconds(1), longestSleep));
    }
}

Task<std::vector<std::string>> Callers::lookUp(Http::ConnectionPool &pool)
{
    const Model::Address &address = lookups_[random_() % lookups_.size()];
    Http::ExchangeOptions options;
    options.address_ = address;
    options.connectTimeout_ = lookupPatience;
    options.deadline_ = std::chrono::steady_clock::now() + lookupPatience;
    options.longestIdle_ = Milliseconds(0);
    const char *region = random_() % 2 == 0 ? "r" : "s";
    const std::string target
        = std::string("/-/resolve?name=h.example&region=") + region + "&zone=" + region + "-a";
    Http::Request request(http::verb::get, target, 11);
    request.set(http::field::host, toText(address));
    const auto result = co_await Http::exchange(pool, options, request, Http::anyAnswer);
    std::vector<std::string> entries;
    if (!result.answer_ || result.answer_->result() != http::status::ok)
        co_return entries;
    entries = nlohmann::json::parse(result.answer_->body()).at("addrs").get<decltype(entries)>();
    const std::lock_guard lock(mutex_);
    named_.push_back({std::chrono::steady_clock::now(), address, entries});
    co_return entries;
}

Task<Record> Callers::send(Http::ConnectionPool &pool, const Model::Address &entry,
                           const std::string &id, Milliseconds &comeBack, std::string endingPath)
{
    Record record;
    record.id_ = id;
    record.entry_ = entry;
    record.endingPath_ = endingPath;
    record.mayRepeat_ = record.endsTargets() || random_() % 3 != 0;
    record.sentAt_ = std::chrono::steady_clock::now();
    Http::Request request(record.mayRepeat_ ? http::verb::get : http::verb::post,
                          record.mayRepeat_ ? "/read/x" : "/order/x", 11);
    if (record.endsTargets())
        request.target(endingPath);
    request.set(http::field::host, "h.example");
    request.set("X-Cassiacrank-Request-Id", id);
    request.set(PlatformStandIns::throughHeader, toText(entry));
    request.set("X-Cassiacrank-Affinity-Key", std::to_string(random_() % objects));
    request.set("X-Cassiacrank-Deadline-Ms", std::to_string(patience.count()));
    request.prepare_payload();
    Http::ExchangeOptions options;
    options.address_ = entry;
    options.connectTimeout_ = lookupPatience;
    options.deadline_ = record.sentAt_ + patience + lateSlack;
    const auto result = co_await Http::exchange(pool, options, request, Http::anyAnswer);
    record.endedAt_ = std::chrono::steady_clock::now();
    record.stage_ = result.stage_;
    record.code_ = result.code_;
    if (!result.answer_)
        co_return record;
    record.status_ = result.answer_->result_int();
    record.isOwnBody_ = result.answer_->body() == bodyFor(id)
                        && (*result.answer_)["X-Cassiacrank-Request-Id"] == id;
    const std::string wait((*result.answer_)[http::field::retry_after]);
    comeBack = Milliseconds(static_cast<long long>(std::atof(wait.c_str()) * 1000));
    co_return record;
}

void Callers::beginEnding(const std::string &path)
{
    const std::lock_guard lock(mutex_);
    endingPaths_.push_back(path);
}

void Callers::endEnding(const std::string &path)
{
    const std::lock_guard lock(mutex_);
    std::erase(endingPaths_, path);
}

Task<void> Callers::callEnding()
{
    Http::ConnectionPool pool(context_);
    for (std::uint64_t sent = 0; !isStopping_; ++sent) {
        std::string path;
        {
            const std::lock_guard lock(mutex_);
            if (!endingPaths_.empty())
                path = endingPaths_[sent % endingPaths_.size()];
        }
        std::vector<std::string> entries;
        if (!path.empty()) {
            entries = co_await lookUp(pool);
        }
        if (!entries.empty()) {
            const auto entry = Model::addressFromText(entries[random_() % entries.size()]);
            Milliseconds comeBack{0};
            const std::string id = "ends-" + std::to_string(sent);
            Record record = co_await send(pool, *entry, id, comeBack, path);
            const std::lock_guard lock(mutex_);
            records_.push_back(std::move(record));
        }
        co_await Http::sleepFor(endingPause);
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
            askAgainAt = now + lookupLife;
        }
        Milliseconds comeBack{0};
        if (!entries.empty()) {
            const auto entry = Model::addressFromText(entries[random_() % entries.size()]);
            const std::string id = "c" + std::to_string(number) + "-" + std::to_string(sent);
            Record record = co_await send(pool, *entry, id, comeBack, "");
            const std::lock_guard lock(mutex_);
            records_.push_back(std::move(record));
        }
        co_await pauseFor(comeBack + Milliseconds(random_() % (2 * thinkTime.count())));
    }
}

} // namespace Soak
