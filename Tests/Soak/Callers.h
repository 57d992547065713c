#pragma once

#include <LibHttp/LibHttp.h>

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace Soak {

/// One request of a caller and what it was told.
struct Record
{
    std::string id_;
    bool mayRepeat_ = false;
    /// Its path, if targets end under it; it is never served then.
    std::string endingPath_;
    bool endsTargets() const { return !endingPath_.empty(); }
    Model::Address entry_;
    Model::SteadyTime sentAt_;
    Model::SteadyTime endedAt_;
    /// Zero where no answer came.
    unsigned status_ = 0;
    /// Why no answer came.
    Http::ExchangeStage stage_ = Http::ExchangeStage::NotConnected;
    Model::ResultCode code_ = Model::ResultCode::Ok;
    /// The answer's body is the one that its target made for this id.
    bool isOwnBody_ = false;
};

/// Callers that ask for entries, keep their connections, and come back when they are told to. They
/// run on a thread of their own.
class Callers
{
public:
    /// \a lookups are the addresses where entries are asked for.
    Callers(std::size_t count, std::vector<Model::Address> lookups, std::uint64_t seed);
    ~Callers();
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    /// Sends requests for a path under which targets end, until it is taken back.
    /// Thread safety: any thread.
    void beginEnding(const std::string &path);
    void endEnding(const std::string &path);

    /// Ends the callers, each after its current request.
    void stop();
    /// Returns the requests that ended since the last call. Thread safety: any thread.
    std::vector<Record> take();
    /// Returns the entries that each look-up named since the last call, with when it did.
    struct Named
    {
        Model::SteadyTime at_;
        Model::Address by_;
        std::vector<std::string> entries_;
    };
    std::vector<Named> takeNamed();
    /// Tells whether this thread was late by little lately. Where it was not, the machine let no
    /// process run in time, and nothing is said about times.
    bool isOnTime() const;

private:
    Http::Task<void> call(std::size_t number);
    Http::Task<std::vector<std::string>> lookUp(Http::ConnectionPool &pool);
    Http::Task<Record> send(Http::ConnectionPool &pool, const Model::Address &entry,
                            const std::string &id, Model::Milliseconds &comeBack,
                            std::string endingPath);
    Http::Task<void> callEnding();
    Http::Task<void> watchTime();
    /// Pauses a caller, for no longer than until it is stopped.
    Http::Task<void> pauseFor(Model::Milliseconds duration);

    std::vector<Model::Address> lookups_;
    std::mt19937_64 random_;
    Http::asio::io_context context_{1};
    std::atomic<bool> isStopping_{false};
    std::atomic<long long> latenessMs_{0};
    std::mutex mutex_;
    std::vector<Record> records_;
    std::vector<Named> named_;
    std::vector<std::string> endingPaths_;
    std::thread thread_;
};

} // namespace Soak
