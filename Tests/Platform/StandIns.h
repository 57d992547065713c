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

/// Returns an answer with a JSON body. Thread safety: any thread.
Http::Response jsonAnswer(const nlohmann::json &body,
                          Http::http::status status = Http::http::status::ok);

/// An HTTP server that runs a handler on a dedicated thread.
class ServerThread
{
public:
    /// Serves at a free port of a loopback address.
    ServerThread(const std::string &host, Http::Handler handler);
    /// Serves at \a address, which must be free.
    ServerThread(const Model::Address &address, Http::Handler handler);
    ~ServerThread();
    ServerThread(const ServerThread &) = delete;
    ServerThread &operator=(const ServerThread &) = delete;

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
    /// Answers every call with 503 and does nothing.
    bool isRefusing_ = false;

    /// Performs calls and never answers them.
    bool losesAnswers_ = false;
    /// Never answers calls that arrive or wait in this state, and does not perform new ones.
    bool isSilent_ = false;
    /// Answers 410 to calls that request changes since a revision before the present one.
    bool hasDiscardedHistory_ = false;
};

/// A stand-in for the platform's store: rows with revisions, conditional writes, a change feed and
/// injected faults.
///
/// Thread safety: every method may be called from any thread.
class Store
{
public:
    explicit Store(const std::string &host);

    Model::Address address() const { return served_.address(); }
    /// Writes a row, as operators and targets do.
    void put(const std::string &table, const std::string &key, const std::string &value);
    void remove(const std::string &table, const std::string &key);
    std::optional<std::string> value(const std::string &table, const std::string &key);
    void setFaults(const StoreFaults &faults);
    /// Makes a copy of all rows, from which the store can return.
    void save();
    /// Returns from the copy: later rows and the history are lost, revisions are given out again,
    /// and the era rises.
    void returnFromCopy();
    /// Writes the operators' and the targets' rows again that the last return has lost, unless they
    /// have been written since.
    void writeAgain();
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
    bool wasSilentSince(std::uint64_t silences);
    Http::Response withEra(Http::Response response);
    Http::Task<Http::Response> feed(std::string target);
    Http::Response get(const std::string &target);
    Http::Response transact(const std::string &body);
    nlohmann::json rowsSince(const std::string &table, std::uint64_t after);
    void change(const std::string &table, const std::string &key,
                const std::optional<std::string> &value);

    std::mutex mutex_;
    std::map<std::string, Table> tables_;
    std::uint64_t revision_ = 0;
    std::uint64_t era_ = 1;
    std::map<std::string, Table> savedTables_;
    /// The tables just before the last return.
    std::map<std::string, Table> lostTables_;
    std::uint64_t savedRevision_ = 0;
    std::uint64_t forgottenBefore_ = 0;
    /// Counts silent periods. A call that waited during one stays unanswered.
    std::uint64_t silences_ = 0;
    StoreFaults faults_;
    std::atomic<int> calls_{0};
    ServerThread served_;
};

/// How a target misbehaves.
struct TargetFaults
{
    /// Answers 503 and states that the request was not run.
    bool isShedding_ = false;
    /// The Retry-After of these answers; none if empty.
    std::string retryAfter_;
    /// Announces in every answer that it leaves.
    bool announcesLeave_ = false;
    /// Runs the request and never answers.
    bool losesAnswers_ = false;
    /// Runs the request and closes the connection in the middle of the answer.
    bool isTruncating_ = false;
    /// Answers with the id of another request.
    bool isForeign_ = false;
    Model::Milliseconds work_{5};
    /// The rate limit that it names in its answers, in requests per second; none if empty.
    std::string limit_;
    /// The pace that it reports in its answers, in percent of its usual one; none if empty.
    std::string pace_;
    /// Crashes after it begins to run a request whose path has this prefix. Empty: never crashes.
    std::string crashPathPrefix_;
    Model::Milliseconds crashDelay_{20};
    /// Time until a new incarnation starts at the same address.
    Model::Milliseconds restartDelay_{1500};
};

/// A crash of a target's incarnation while it ran a request.
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
    /// The id of the target's incarnation.
    std::string run_;
    std::string request_;
    /// The entry that forwarded the request, if the caller named it.
    std::string viaEntry_;
    /// What the target asks for in its answer: a pause, or no requests any more.
    Model::Milliseconds pause_{0};
    bool announcesLeave_ = false;
};

/// The header in which callers of a soak test name the entry they use. Instances forward it.
constexpr const char *viaEntryHeader = "X-Through";

/// A stand-in for a target of the platform: runs requests, counts them by id, and refuses those
/// that expect another incarnation.
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
    /// Simulates a kill: connections break, and nothing listens until the restart.
    void kill();
    /// Sets the callback for restarts. It runs on the target's own thread when a new incarnation
    /// serves, with the id of the previous incarnation.
    void setRestartCallback(std::function<void(const std::string &earlier)> onRestart);
    /// Returns the crashes of its incarnations, without those by kill().
    std::vector<TargetEnd> ends();
    /// Returns the target's registration as stored.
    std::string registration(const std::string &service, const std::string &zone,
                             const std::string &state = "ready", int coldMs = 0) const;
    void setFaults(const TargetFaults &faults);
    /// Begins a new incarnation with another id at the same address.
    void become(const std::string &id);
    /// Returns how often each request ran, by request id.
    std::map<std::string, int> runs();
    std::size_t runCount();
    /// Returns the requests that began to run since the last call.
    std::vector<Arrival> takeArrivals();
    /// Returns the requests that it turned away while shedding, since the last call.
    std::vector<Arrival> takeRefusals();
    /// Returns the values of a header in the requests that ran.
    std::vector<std::string> seen(const std::string &header);

private:
    Http::Task<Http::Response> answer(Http::IncomingRequest request);
    Http::Task<Http::Response> run(Http::IncomingRequest request, TargetFaults faults);
    void supervise();

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::string id_;
    TargetFaults faults_;
    std::map<std::string, int> runs_;
    std::vector<Http::Request> requests_;
    std::vector<Arrival> arrivals_;
    std::vector<Arrival> refusals_;
    std::function<void(const std::string &)> onRestart_ = [](const std::string &) {};
    std::vector<TargetEnd> ends_;
    /// The path of the request under which the present incarnation ends.
    std::string crashPath_;
    /// When the present incarnation ends.
    std::optional<Model::SteadyTime> endAt_;
    bool isStopping_ = false;
    int run_ = 1;
    std::unique_ptr<ServerThread> served_;
    Model::Address address_;
    std::thread supervisor_;
};

} // namespace PlatformStandIns
