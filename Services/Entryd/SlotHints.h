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

/// While requests wait, tells the entries of a region what each has in progress at each target and
/// whose request has waited longest, and leaves that one the next free slot.
///
/// What goes wrong without it: a slot that came free at an entry with nobody waiting, or with a
/// young request, is found by the longest waiting request elsewhere only by trying; its wait grows
/// to several times that of a single queue. The hints carry no safety: a lost or late one costs
/// time, and a target that is full all the same refuses before starting. Thread safety: start() and
/// stop() belong to one thread, the other methods may be called from any thread that has an
/// RcuReader.
class SlotHints
{
public:
    /// \a wake is called when a slot of the service may be free.
    SlotHints(const Observe::Settings &settings, const SnapshotCell &cell,
              std::function<void(std::size_t)> wake);
    ~SlotHints();
    SlotHints(const SlotHints &) = delete;
    SlotHints &operator=(const SlotHints &) = delete;

    /// Binds the datagram socket beside the port for other entries. Returns false if it cannot.
    bool start();
    void stop();

    /// Notes since when the oldest request of a service waits on a thread, and how many do.
    void noteWaiting(int thread, std::size_t service, std::optional<Model::SteadyTime> oldestSince,
                     std::size_t count);

    /// Called when a slot of \a target came free. If a request of another entry has waited longer
    /// than any here, the slot is left to it: \a target then counts as taken, and true is returned.
    bool leaveToOthers(std::size_t service, TargetState &target);

    /// Returns what the last exchange of notes showed, or nothing if there was none just now.
    std::optional<Policy::PoolNotes> poolNotes(std::size_t service) const;

private:
    static constexpr std::size_t mostThreads = 64;
    static constexpr std::size_t mostServices = 128;
    static constexpr std::int64_t nobody = std::numeric_limits<std::int64_t>::max();

    /// What another entry said last.
    struct PeerNote
    {
        Model::InstanceId peer_;
        std::int64_t oldestSinceUs_ = nobody;
        std::int64_t heardAtUs_ = 0;
        std::uint32_t waiting_ = 0;
        Model::TableVersion tableVersion_{0};
        std::vector<std::uint32_t> inFlight_;
    };

    using Datagram = std::array<char, 512>;

    Http::Task<void> receiveLoop();
    Http::Task<void> noteLoop();
    void onHint(const std::string &bytes);
    void onFreed(const Model::ServiceId &service, const Model::TargetId &target);
    void onNote(std::size_t service, const cassiacrank::SlotHint &hint);
    void sendNotes();
    void sendNote(const EntrySnapshot &snapshot, std::size_t service);
    bool anyWaiting(std::size_t service) const;
    void refreshPeers(std::size_t service);
    void refreshPool(const EntrySnapshot &snapshot, std::size_t service);
    void sendFreed(std::size_t service, const Model::TargetId &target);
    void sendTo(const Model::Instance &peer, const std::string &bytes);
    void refreshOldest(std::size_t service);
    std::int64_t localOldest(std::size_t service) const;

    const Observe::Settings &settings_;
    const SnapshotCell &cell_;
    std::function<void(std::size_t)> wake_;
    Http::asio::io_context context_{1};
    boost::asio::ip::udp::socket socket_;
    std::thread thread_;

    /// For each thread and service: since when the oldest request waits, and how many do.
    std::array<std::array<std::atomic<std::int64_t>, mostServices>, mostThreads> oldest_;
    std::array<std::array<std::atomic<std::uint32_t>, mostServices>, mostThreads> waiting_;
    /// For each service: since when the oldest request of any other entry waits.
    std::array<std::atomic<std::int64_t>, mostServices> peerOldest_;
    /// For each service, the last exchange; written by the hint thread alone.
    struct PoolCell
    {
        std::atomic<std::int64_t> takenAtUs_{0};
        std::atomic<std::int64_t> slots_{0};
        std::atomic<std::int64_t> ownInFlight_{0};
        std::atomic<std::int64_t> peersInFlight_{0};
        std::atomic<std::int64_t> waitingEntries_{1};
        std::atomic<double> dither_{0};
    };
    std::array<PoolCell, mostServices> pools_;
    /// The hint thread's own.
    std::mt19937_64 random_;
    std::array<std::vector<PeerNote>, mostServices> notes_;
};

} // namespace Entryd
