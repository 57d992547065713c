#pragma once

#include "EntrySnapshot.h"

#include <LibHttp/LibHttp.h>
#include <LibObserve/LibObserve.h>
#include <array>
#include <atomic>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <random>
#include <thread>

namespace cassiacrank {
class SlotHint;
}

namespace Entryd {

/// Exchanges hints between the entries of a region while requests wait: the requests in flight at
/// each target and the longest wait at each entry. The entry whose request has waited longest gets
/// the next free slot.
///
/// Without hints, the longest waiting request finds a slot freed at another entry, which has no
/// waiting request or only a newer one, only by trying; its wait grows to several times that of a
/// single queue. Correctness does not depend on hints: a lost or late one costs time, and a target
/// that is full after all refuses before starting. Thread safety: start() and stop() belong to one
/// thread, the other methods may be called from any thread that has an RcuReader.
class SlotHints
{
public:
    /// \a wake is called with the index of a service that may have a free slot.
    SlotHints(const Observe::Settings &settings, const SnapshotCell &cell,
              std::function<void(std::size_t)> wake);
    ~SlotHints();
    SlotHints(const SlotHints &) = delete;
    SlotHints &operator=(const SlotHints &) = delete;

    /// Binds the datagram socket to the number of the port for other entries. Returns false if it
    /// cannot be bound.
    bool start();
    void stop();

    /// Records the arrival time of a thread's oldest waiting request of a service, and the number
    /// of its waiting requests.
    void noteWaiting(int thread, std::size_t service, std::optional<Model::SteadyTime> oldestSince,
                     std::size_t count);

    /// Called when a slot of \a target becomes free. If a request at another entry has waited
    /// longer than any local one, yields the slot to it: counts the slot as taken and returns true.
    bool yieldFreedSlot(std::size_t service, TargetState &target);

    /// Returns the pool state of the last hint exchange, or std::nullopt if there was no recent
    /// one.
    std::optional<Policy::PoolUsage> poolState(std::size_t service) const;

private:
    static constexpr std::size_t maxThreads = 64;
    static constexpr std::size_t maxServices = 128;
    static constexpr std::int64_t noWaiter = std::numeric_limits<std::int64_t>::max();

    /// The last hint received from another entry.
    struct PeerHint
    {
        Model::InstanceId peer_;
        std::int64_t oldestSinceUs_ = noWaiter;
        std::int64_t receivedAtUs_ = 0;
        std::uint32_t waiting_ = 0;
        Model::TableVersion tableVersion_{0};
        std::vector<std::uint32_t> inFlight_;
    };

    using Datagram = std::array<char, 512>;

    Http::Task<void> receiveLoop();
    Http::Task<void> hintLoop();
    void onHint(const std::string &bytes);
    void onFreed(const Model::ServiceId &service, const Model::TargetId &target);
    void onWaitingHint(std::size_t service, const cassiacrank::SlotHint &hint);
    void sendWaitingHints();
    void sendWaitingHint(const EntrySnapshot &snapshot, std::size_t service);
    bool anyWaiting(std::size_t service) const;
    void refreshPeerLoad(std::size_t service);
    void refreshPool(const EntrySnapshot &snapshot, std::size_t service);
    void sendFreed(std::size_t service, const Model::TargetId &target);
    void sendTo(const Model::Instance &peer, const std::string &bytes);
    void refreshPeerOldest(std::size_t service);
    std::int64_t localOldest(std::size_t service) const;

    const Observe::Settings &settings_;
    const SnapshotCell &cell_;
    std::function<void(std::size_t)> wake_;
    Http::asio::io_context context_{1};
    boost::asio::ip::udp::socket socket_;
    std::thread thread_;

    /// For each thread and service: the arrival time of the oldest waiting request, and the number
    /// of waiting requests.
    std::array<std::array<std::atomic<std::int64_t>, maxServices>, maxThreads> oldest_;
    std::array<std::array<std::atomic<std::uint32_t>, maxServices>, maxThreads> waiting_;
    /// For each service: the arrival time of the oldest request that waits at any other entry.
    std::array<std::atomic<std::int64_t>, maxServices> peerOldest_;
    /// For each service, the pool state of the last exchange; written only by the hint thread.
    struct PoolCell
    {
        std::atomic<std::int64_t> updatedAtUs_{0};
        std::atomic<std::int64_t> slots_{0};
        std::atomic<std::int64_t> ownInFlight_{0};
        std::atomic<std::int64_t> peersInFlight_{0};
        std::atomic<std::int64_t> waitingEntries_{1};
        std::atomic<double> dither_{0};
    };
    std::array<PoolCell, maxServices> pools_;
    /// Owned by the hint thread.
    std::mt19937_64 random_;
    std::array<std::vector<PeerHint>, maxServices> peerHints_;
};

} // namespace Entryd
