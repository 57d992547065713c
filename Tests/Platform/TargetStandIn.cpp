#include "StandIns.h"

namespace PlatformStandIns {

using Http::Task;
using nlohmann::json;
namespace http = Http::http;

namespace {

constexpr Model::Milliseconds never{600000};

} // namespace

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
    response.set("X-Cassiacrank-Server-Load",
                 faults.pace_.empty() ? "1,0,6" : "1,0,6," + faults.pace_);
    if (!faults.limit_.empty())
        response.set("X-Cassiacrank-Server-Limit", faults.limit_);
    if (faults.isTruncating_) {
        response.set(http::field::content_length, std::to_string(response.body().size() + 100));
        response.keep_alive(false);
    }
    co_return response;
}

} // namespace PlatformStandIns
