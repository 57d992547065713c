#pragma once

#include <LibHttp/LibHttp.h>

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Soak {

/// One request of a caller and its answer.
struct Record
{
    std::string id_;
    bool mayRepeat_ = false;
    /// Path of a poison request, which is never served; otherwise empty.
    std::string poisonPath_;
    bool isPoison() const { return !poisonPath_.empty(); }
    Model::Address entry_;
    Model::SteadyTime sentAt_;
    Model::SteadyTime endedAt_;
    /// HTTP status; zero without an answer.
    unsigned status_ = 0;
    /// The stage at which the exchange failed, without an answer.
    Http::ExchangeStage stage_ = Http::ExchangeStage::NotConnected;
    Model::ResultCode code_ = Model::ResultCode::Ok;
    /// The answer's body is the one that the target generates for this id.
    bool isBodyForId_ = false;
};

/// Callers that look up entries, keep their connections, and honor retry delays. They run on a
/// separate thread.
class Callers
{
public:
    /// \a lookups are the addresses of the look-up services.
    Callers(std::size_t count, std::vector<Model::Address> lookups, std::uint64_t seed);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// beginPoison() sends poison requests for \a path until endPoison() is called.
    /// Thread safety: any thread.
    void beginPoison(const std::string &path);
    void endPoison(const std::string &path);

    /// Stops the callers, each after its current request.
    void stop();
    /// Returns the requests completed since the last call. Thread safety: any thread.
    std::vector<Record> take();
    /// Entries returned by a look-up service, and when.
    struct LookupResult
    {
        Model::SteadyTime at_;
        Model::Address by_;
        std::vector<std::string> entries_;
    };
    /// Returns the look-up results since the last call.
    std::vector<LookupResult> takeLookupResults();
    /// Tells whether this thread was recently scheduled in time. Otherwise the host delays all
    /// processes, and time limits are not checked.
    bool isOnTime() const;

private:
    Http::Task<void> call(std::size_t number);
    Http::Task<std::vector<std::string>> lookUp(Http::ConnectionPool &pool);
    Http::Task<Record> send(Http::ConnectionPool &pool, const Model::Address &entry,
                            const std::string &id, Model::Milliseconds &retryDelay,
                            std::string poisonPath);
    Http::Task<void> callPoison();
    Http::Task<void> watchTime();
    /// Pauses a caller for \a duration or until it is stopped.
    Http::Task<void> pauseFor(Model::Milliseconds duration);

    std::vector<Model::Address> lookups_;
    std::mt19937_64 random_;
    Http::asio::io_context context_{1};
    std::atomic<bool> isStopping_{false};
    std::atomic<long long> latenessMs_{0};
    std::mutex mutex_;
    std::vector<Record> records_;
    std::vector<LookupResult> lookupResults_;
    std::vector<std::string> poisonPaths_;
    std::thread thread_;
};

} // namespace Soak
