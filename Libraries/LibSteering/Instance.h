#pragma once

#include "Dispatcher.h"
#include "PeerExchange.h"
#include "StoreFollower.h"

#include <boost/asio/signal_set.hpp>

namespace Steering {

/// Everything that one instance runs, in one process and on one thread: it takes callers' requests,
/// tells callers which entries to use, and keeps in step with the store and with its peers.
///
/// Thread safety: none; run() serves until a planned stop is done.
class Instance
{
public:
    /// \a settingsPath is read again on SIGHUP.
    Instance(const Observe::Settings &settings, std::string settingsPath);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /// Sets how the platform is spoken to. Called once, before start().
    void usePlatform(PlatformPort port);
    /// The store's client for the port's calls.
    Platform::Store &store() { return store_; }

    /// Begins to serve. Returns false if an address cannot be listened on, with the last reason
    /// set.
    bool start();
    /// Serves until a stop signal has been followed to its end.
    void run();

private:
    struct Parts;

    Http::Task<void> tickLoop();
    Http::Task<void> introduce();
    Http::Task<bool> writeOwnRecord();
    Http::Task<void> readRecords();
    Http::Task<void> keepQuarantines();
    Http::Task<void> writeQuarantines();
    void logInstancesLost();
    Http::Task<void> stopGently();
    Http::Task<Http::Response> answerLookup(Http::IncomingRequest request);
    Http::Task<Http::Response> answerReady(Http::IncomingRequest request);
    Http::Task<Http::Response> answerAdmin(Http::IncomingRequest request);
    Http::Response answerQuarantines(const Http::Request &request);
    void awaitSignal();
    void knowledgeChanged();
    void countEntries();
    void checkClocks();
    void reload();
    void updateReadiness();
    std::string metricsText() const;

    Observe::Settings settings_;
    std::string settingsPath_;
    Http::asio::io_context context_{1};
    Http::asio::signal_set signals_;
    Http::ConnectionPool storePool_;
    Platform::Store store_;
    Observe::DecisionLog log_;
    PlatformPort port_;
    std::unique_ptr<Parts> parts_;
    std::uint64_t tableSeen_ = 0;
    /// How far the clock that counts standstills is ahead of the one that does not.
    Model::Microseconds clockGap_{0};
    Model::SteadyTime sparesSeenAt_ = Model::longAgo;
    bool isReady_ = false;
    /// Its record stands in the store.
    bool isIntroduced_ = false;
    bool isStopping_ = false;
    Model::SteadyTime startedAt_ = Model::longAgo;
};

} // namespace Steering
