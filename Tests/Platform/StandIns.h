#pragma once

#include <LibHttp/LibHttp.h>
#include <LibModel/LibModel.h>

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace PlatformStandIns {

/// Serves a handler on a thread of its own.
class Served
{
public:
    /// Serves at a free port of a loopback number.
    Served(const std::string &host, Http::Handler handler);
    /// Serves at \a address, which must be free.
    Served(const Model::Address &address, Http::Handler handler);
    ~Served();
    Served(const Served &) = delete;
    Served &operator=(const Served &) = delete;

    Model::Address address() const { return address_; }

private:
    Http::asio::io_context context_{1};
    Http::Server server_;
    Model::Address address_;
    std::thread thread_;
};

/// How the store misbehaves.
struct StoreFaults
{
    /// Every call is answered 503; nothing is done.
    bool isRefusing_ = false;

    /// Calls are performed and never answered.
    bool losesAnswers_ = false;
    /// Calls that come now, or that wait now, are never answered; nothing is done.
    bool isSilent_ = false;
    /// Calls that ask for changes since before now are answered 410.
    bool hasForgotten_ = false;
};

/// A stand-in for the platform's store: rows with revisions, conditions, a feed and outages.
///
/// Thread safety: every method may be called from any thread.
class Store
{
public:
    explicit Store(const std::string &host);

    Model::Address address() const { return served_.address(); }
    /// Writes or removes a row as operators and targets do.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    std::optional<std::string> value(const std::string &table, const std::string &key);
    void setFaults(const StoreFaults &faults);
    int calls() const { return calls_; }

private:
    struct Row
    {
        std::string value_;
        std::uint64_t revision_ = 0;
        bool isRemoved_ = false;
    };
    using Table = std::map<std::string, Row>;

    Http::Task<Http::Response> answer(Http::IncomingRequest request);
    bool hasBeenSilentSince(std::uint64_t silences);
    Http::Task<Http::Response> feed(std::string target);
    Http::Response get(const std::string &target);
    Http::Response transact(const std::string &body);
    nlohmann::json rowsSince(const std::string &table, std::uint64_t after);
    void change(const std::string &table, const std::string &key,
                const std::optional<std::string> &value);

    std::mutex mutex_;
    std::map<std::string, Table> tables_;
    std::uint64_t revision_ = 0;
    std::uint64_t forgottenBefore_ = 0;
    /// Counts the silences; a call that waited through one stays unanswered.
    std::uint64_t silences_ = 0;
    StoreFaults faults_;
    std::atomic<int> calls_{0};
    Served served_;
};

/// How a target misbehaves.
struct TargetFaults
{
    /// Answers 503 and says that it has not run the request.
    bool isShedding_ = false;
    /// Runs the request and closes the connection without an answer.
    bool losesAnswers_ = false;
    /// Runs the request and closes the connection inside the answer.
    bool isTruncating_ = false;
    /// Answers with the id of another request.
    bool isForeign_ = false;
    Model::Milliseconds work_{5};
    /// Ends when it has begun to run a request whose path begins so; not if empty.
    std::string endsUnder_;
    Model::Milliseconds endsAfter_{20};
    /// Then it starts again, as another run at the same address.
    Model::Milliseconds backAfter_{1500};
};

/// An end of a target's run under a request.
struct TargetEnd
{
    Model::SteadyTime at_;
    /// The request's path.
    std::string path_;
};

/// A request that a target began to run.
struct Arrival
{
    Model::SteadyTime at_;
    /// The run of the target.
    std::string run_;
    std::string request_;
    /// The instance that it came through, where its caller named it.
    std::string through_;
};

/// The field by which callers of a soak name the entry that they use; instances pass it on.
constexpr const char *throughHeader = "X-Through";

/// A stand-in for a target of the platform: runs requests, counts them by id, refuses those that
/// expect another run.
///
/// Thread safety: every method may be called from any thread.
class Target
{
public:
    Target(const std::string &host, std::string id);
    ~Target();
    Target(const Target &) = delete;
    Target &operator=(const Target &) = delete;

    std::string id() const;
    Model::Address address() const { return address_; }
    /// Ends it as if it was killed: connections break, nothing listens until it is back.
    void kill();
    /// Called, on a thread of the target's own, when another run of it serves; with the id of the
    /// run before.
    void setBack(std::function<void(const std::string &earlier)> back);
    /// The ends of its runs, without those that were killed.
    std::vector<TargetEnd> ends();
    /// What it writes to the store of itself.
    std::string registration(const std::string &service, const std::string &zone,
                             const std::string &state = "ready", int coldMs = 0) const;
    void setFaults(const TargetFaults &faults);
    /// Begins a new run with another id at the same address.
    void become(const std::string &id);
    /// How often each request ran.
    std::map<std::string, int> runs();
    std::size_t runCount();
    /// The requests that began to run since the last call.
    std::vector<Arrival> takeArrivals();
    /// The values of a header in the requests that ran.
    std::vector<std::string> seen(const std::string &header);

private:
    Http::Task<Http::Response> answer(Http::IncomingRequest request);
    void supervise();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string id_;
    TargetFaults faults_;
    std::map<std::string, int> runs_;
    std::vector<Http::Request> requests_;
    std::vector<Arrival> arrivals_;
    std::function<void(const std::string &)> back_ = [](const std::string &) {};
    std::vector<TargetEnd> ends_;
    std::string endsUnder_;
    /// When the run that is in progress ends.
    std::optional<Model::SteadyTime> endAt_;
    bool isOver_ = false;
    int run_ = 1;
    std::unique_ptr<Served> served_;
    Model::Address address_;
    std::thread supervisor_;
};

} // namespace PlatformStandIns
