#pragma once

#include "Dispatcher.h"
#include "PeerExchange.h"
#include "ResourceMeter.h"
#include "StoreFollower.h"

#include <boost/asio/signal_set.hpp>

namespace Steering {

/// One whole instance in one process and on one thread: serves callers' requests, answers look-ups,
/// follows the store and gossips with its peers.
///
/// Thread safety: none; run() serves until a planned stop is done.
class Instance
{
public:
    /// SIGHUP reloads the settings from \a settingsPath.
    Instance(const Observe::Settings &settings, std::string settingsPath);
    ~Instance();
    Instance(const Instance &) = delete;
    Instance &operator=(const Instance &) = delete;

    /// Sets the adapter to the platform. Precondition: called once, before start().
    void usePlatform(PlatformPort port);
    /// The store client that the port's calls use.
    Platform::Store &store() { return store_; }

    /// Begins to serve. Returns false, with the last reason set, if it cannot listen on an address.
    bool start();
    /// Serves until the graceful stop that a signal has requested is complete.
    void run();

private:
    struct Parts;

    Http::Task<void> tickLoop();
    Http::Task<void> discoverInstances();
    Http::Task<bool> writeOwnRecord();
    Http::Task<void> readRecords();
    Http::Task<void> syncQuarantines();
    Http::Task<void> writeQuarantines();
    void logRecordsUnavailable();
    Http::Task<void> stopGracefully();
    Http::Task<Http::Response> answerLookup(Http::IncomingRequest request);
    Http::Task<Http::Response> answerReady(Http::IncomingRequest request);
    Http::Task<Http::Response> answerAdmin(Http::IncomingRequest request);
    Http::Response answerQuarantines(const Http::Request &request);
    void waitForSignal();
    void platformStateChanged();
    void updateEntryCounts();
    void detectSuspend();
    void reload();
    void applyTerms(const std::string &text);
    void noteStoreEra();
    void updateReadiness();
    void measureResources();
    void boundHeldBytes();
    std::size_t openDescriptors() const;
    std::vector<Model::Instance> entriesToList(std::vector<Model::Instance> entries,
                                               Model::SteadyTime now);
    void noteListed(std::size_t wide, std::size_t candidates);
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
    std::uint64_t seenTableChanges_ = 0;
    /// How far CLOCK_BOOTTIME, which advances during a suspend, is ahead of CLOCK_MONOTONIC.
    Model::Microseconds clockGap_{0};
    ResourceMeter resources_;
    Policy::NarrowWeight narrowWeight_;
    /// Entries in the last answer to a look-up, and the wide ones among its candidates.
    std::size_t listedEntries_ = 0;
    std::size_t listedWide_ = 0;
    std::mt19937_64 random_{std::random_device()()};
    Model::SteadyTime idleRefreshedAt_ = Model::distantPast;
    bool isReady_ = false;
    /// The store holds this instance's record.
    bool isRecordStored_ = false;
    /// The highest era of the store so far; std::nullopt until a table is known.
    std::optional<Platform::StoreEra> storeEra_;
    bool isStopping_ = false;
    Model::SteadyTime startedAt_ = Model::distantPast;
};

} // namespace Steering
