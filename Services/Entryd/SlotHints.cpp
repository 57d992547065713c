#include "SlotHints.h"

#include <LibPeers/Generated/cassiacrank.pb.h>
#include <algorithm>

namespace Entryd {

using boost::asio::ip::udp;
using Model::Milliseconds;

namespace {

constexpr Milliseconds hintInterval{4};
constexpr std::int64_t hintTtlUs = std::chrono::duration_cast<Model::Microseconds>(hintTtl).count();
/// A remote request must have waited this much longer to make up for the latency of the hint.
constexpr std::int64_t minAdvantageUs = 2000;
/// The maximum number of entries that receive hints; in a large region each entry sends to the few
/// that rank first with it.
constexpr std::size_t maxPeers = 8;

std::int64_t nowUs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Model::Microseconds>(now).count();
}

std::int64_t microsecondsOf(Model::SteadyTime time)
{
    return std::chrono::duration_cast<Model::Microseconds>(time.time_since_epoch()).count();
}

/// Returns the service's targets in the local region, in an order determined only by the table.
std::vector<std::shared_ptr<TargetState>> targetsOf(const EntrySnapshot &snapshot,
                                                    std::size_t service)
{
    std::vector<std::shared_ptr<TargetState>> all;
    if (service >= snapshot.services_.size())
        return all;
    for (const auto &targets : snapshot.services_[service].targets_)
        all.insert(all.end(), targets.begin(), targets.end());
    return all;
}

} // namespace

SlotHints::SlotHints(const Observe::Settings &settings, const SnapshotCell &cell,
                     std::function<void(std::size_t)> wake)
    : settings_(settings)
    , cell_(cell)
    , wake_(std::move(wake))
    , socket_(context_)
    , random_(Policy::rendezvousScore(settings.instance_.value(), "dither"))
{
    for (auto &services : oldest_) {
        for (auto &since : services)
            since = noWaiter;
    }
    for (auto &services : waiting_) {
        for (auto &count : services)
            count = 0;
    }
    for (auto &since : peerOldest_)
        since = noWaiter;
}

SlotHints::~SlotHints()
{
    stop();
}

bool SlotHints::start()
{
    const auto tcpEndpoint = Http::endpointOf(settings_.addresses_.entryPeer_);
    const udp::endpoint endpoint(tcpEndpoint.address(), tcpEndpoint.port());
    Http::ErrorCode error;
    socket_.open(endpoint.protocol(), error);
    if (!error)
        socket_.bind(endpoint, error);
    if (error) {
        Model::fail(Model::ResultCode::BadValue,
                    "cannot bind the datagram socket for slot hints: " + error.message());
        return false;
    }
    Http::asio::co_spawn(context_, receiveLoop(), Http::asio::detached);
    Http::asio::co_spawn(context_, hintLoop(), Http::asio::detached);
    thread_ = std::thread([this] {
        const Concurrency::RcuReader reader;
        context_.run();
    });
    return true;
}

void SlotHints::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

void SlotHints::noteWaiting(int thread, std::size_t service,
                            std::optional<Model::SteadyTime> oldestSince, std::size_t count)
{
    const auto threadIndex = static_cast<std::size_t>(thread) % maxThreads;
    const std::int64_t since = oldestSince ? microsecondsOf(*oldestSince) : noWaiter;
    oldest_[threadIndex][service % maxServices] = since;
    waiting_[threadIndex][service % maxServices] = static_cast<std::uint32_t>(count);
}

std::int64_t SlotHints::localOldest(std::size_t service) const
{
    std::int64_t oldest = noWaiter;
    for (const auto &services : oldest_)
        oldest = std::min(oldest, services[service % maxServices].load());
    return oldest;
}

bool SlotHints::yieldFreedSlot(std::size_t service, TargetState &target)
{
    const std::int64_t theirs = peerOldest_[service % maxServices];
    if (theirs == noWaiter)
        return false;
    const std::int64_t ours = localOldest(service);
    if (ours != noWaiter && theirs + minAdvantageUs >= ours)
        return false;
    noteTaken(target, std::chrono::steady_clock::now());
    Http::asio::post(context_, [this, service, id = target.target_.id_] {
        sendFreed(service, id);
    });
    return true;
}

Http::Task<void> SlotHints::receiveLoop()
{
    Datagram datagram;
    while (true) {
        udp::endpoint sender;
        Http::ErrorCode error;
        const std::size_t received = co_await socket_.async_receive_from(
            Http::asio::buffer(datagram), sender,
            Http::asio::redirect_error(Http::asio::use_awaitable, error));
        if (!error)
            onHint(std::string(datagram.data(), received));
    }
}

void SlotHints::onHint(const std::string &bytes)
{
    cassiacrank::SlotHint hint;
    if (!hint.ParseFromString(bytes))
        return;
    const Model::ServiceId serviceId(hint.service());
    if (!hint.freed_target().empty()) {
        onFreed(serviceId, Model::TargetId(hint.freed_target()));
        return;
    }
    const auto service = cell_.read([&](const EntrySnapshot *snapshot) {
        const bool isKnown = snapshot && snapshot->serviceIndex_.contains(serviceId);
        return isKnown ? snapshot->serviceIndex_.at(serviceId) : maxServices;
    });
    if (service >= maxServices)
        return;
    onWaitingHint(service, hint);
    refreshPeerOldest(service);
    refreshPeerLoad(service);
}

void SlotHints::onWaitingHint(std::size_t service, const cassiacrank::SlotHint &hint)
{
    const Model::InstanceId peer(hint.sender());
    auto &peerHints = peerHints_[service];
    auto peerHint = std::find_if(peerHints.begin(), peerHints.end(), [&](const auto &item) {
        return item.peer_ == peer;
    });
    if (peerHint == peerHints.end())
        peerHint = peerHints.insert(peerHints.end(), PeerHint{peer});
    peerHint->receivedAtUs_ = nowUs();
    peerHint->oldestSinceUs_ = noWaiter;
    if (hint.has_oldest_wait_us())
        peerHint->oldestSinceUs_ = nowUs() - static_cast<std::int64_t>(hint.oldest_wait_us());
    peerHint->waiting_ = hint.waiting();
    peerHint->tableVersion_ = Model::TableVersion(hint.table_version());
    peerHint->inFlight_.assign(hint.in_flight().begin(), hint.in_flight().end());
}

void SlotHints::refreshPeerOldest(std::size_t service)
{
    auto &peerHints = peerHints_[service];
    const std::int64_t oldestAccepted = nowUs() - hintTtlUs;
    std::erase_if(peerHints, [&](const auto &peerHint) {
        return peerHint.receivedAtUs_ < oldestAccepted;
    });
    std::int64_t oldest = noWaiter;
    for (const auto &peerHint : peerHints)
        oldest = std::min(oldest, peerHint.oldestSinceUs_);
    peerOldest_[service] = oldest;
}

void SlotHints::refreshPeerLoad(std::size_t service)
{
    const auto now = std::chrono::steady_clock::now();
    cell_.read([&](const EntrySnapshot *snapshot) {
        // In a larger region hints arrive from some of the entries only; their sum would be too
        // low.
        if (!snapshot || snapshot->localPeerEntries_.size() > maxPeers)
            return;
        const auto targets = targetsOf(*snapshot, service);
        std::vector<std::int64_t> sums(targets.size(), 0);
        for (const auto &peerHint : peerHints_[service]) {
            const bool isSameTable = peerHint.tableVersion_ == snapshot->table_->version();
            if (!isSameTable || peerHint.inFlight_.size() != targets.size())
                return;
            for (std::size_t i = 0; i < sums.size(); ++i)
                sums[i] += peerHint.inFlight_[i];
        }
        for (std::size_t i = 0; i < sums.size(); ++i)
            notePeerLoad(*targets[i], sums[i], now);
    });
}

void SlotHints::onFreed(const Model::ServiceId &service, const Model::TargetId &target)
{
    const auto index = cell_.read([&](const EntrySnapshot *snapshot) {
        if (!snapshot || !snapshot->serviceIndex_.contains(service))
            return maxServices;
        const std::size_t found = snapshot->serviceIndex_.at(service);
        for (const auto &targets : snapshot->services_[found].targets_) {
            for (const auto &state : targets) {
                if (state->target_.id_ == target)
                    noteFreed(*state, std::chrono::steady_clock::now());
            }
        }
        return found;
    });
    if (index < maxServices)
        wake_(index);
}

Http::Task<void> SlotHints::hintLoop()
{
    while (true) {
        sendWaitingHints();
        co_await Http::sleepFor(hintInterval);
    }
}

// Updated once for each hint sent, not for each received: otherwise the same free slots would be
// divided again before the other entries can report the slots that they took.
void SlotHints::refreshPool(const EntrySnapshot &snapshot, std::size_t service)
{
    const auto &peerHints = peerHints_[service];
    if (peerHints.empty() || snapshot.localPeerEntries_.size() > maxPeers)
        return;
    const auto now = std::chrono::steady_clock::now();
    std::vector<Policy::TargetView> views;
    Policy::PoolUsage pool;
    for (const auto &target : targetsOf(snapshot, service)) {
        views.push_back(viewOf(*target, now));
        pool.ownInFlight_ += target->ownInFlight_;
    }
    const Policy::SlotUse use = Policy::slotUse(views);
    for (const auto &peerHint : peerHints)
        pool.waitingEntries_ += peerHint.waiting_ > 0 ? 1 : 0;
    PoolCell &cell = pools_[service];
    cell.slots_ = use.slots_;
    cell.ownInFlight_ = pool.ownInFlight_;
    cell.peersInFlight_ = std::max<std::int64_t>(0, use.inFlight_ - pool.ownInFlight_);
    cell.waitingEntries_ = pool.waitingEntries_;
    cell.dither_ = std::uniform_real_distribution<double>(0, 1)(random_);
    cell.updatedAtUs_ = nowUs();
}

std::optional<Policy::PoolUsage> SlotHints::poolState(std::size_t service) const
{
    const PoolCell &cell = pools_[service % maxServices];
    if (nowUs() - cell.updatedAtUs_ > hintTtlUs)
        return std::nullopt;
    Policy::PoolUsage current;
    current.slots_ = cell.slots_;
    current.ownInFlight_ = cell.ownInFlight_;
    current.peersInFlight_ = cell.peersInFlight_;
    current.waitingEntries_ = cell.waitingEntries_;
    current.dither_ = cell.dither_;
    return current;
}

bool SlotHints::anyWaiting(std::size_t service) const
{
    const bool isHere = std::any_of(waiting_.begin(), waiting_.end(), [&](const auto &services) {
        return services[service] > 0;
    });
    const auto &peerHints = peerHints_[service];
    return isHere || std::any_of(peerHints.begin(), peerHints.end(), [](const auto &peerHint) {
               return peerHint.waiting_ > 0;
           });
}

void SlotHints::sendWaitingHints()
{
    for (std::size_t service = 0; service < maxServices; ++service) {
        if (!peerHints_[service].empty())
            refreshPeerOldest(service);
        // Without a waiting request at any entry there are enough free slots, and hints are not
        // needed.
        if (!anyWaiting(service))
            continue;
        cell_.read([&](const EntrySnapshot *snapshot) {
            if (!snapshot || service >= snapshot->services_.size())
                return;
            refreshPool(*snapshot, service);
            sendWaitingHint(*snapshot, service);
        });
    }
}

void SlotHints::sendWaitingHint(const EntrySnapshot &snapshot, std::size_t service)
{
    cassiacrank::SlotHint hint;
    hint.set_sender(settings_.instance_.value());
    hint.set_service(snapshot.table_->services()[service].id_.value());
    hint.set_table_version(snapshot.table_->version().value());
    const std::int64_t oldest = localOldest(service);
    if (oldest != noWaiter) {
        const std::int64_t wait = std::max<std::int64_t>(0, nowUs() - oldest);
        hint.set_oldest_wait_us(static_cast<std::uint64_t>(wait));
    }
    std::uint32_t waiting = 0;
    for (const auto &services : waiting_)
        waiting += services[service];
    hint.set_waiting(waiting);
    for (const auto &target : targetsOf(snapshot, service))
        hint.add_in_flight(static_cast<std::uint32_t>(target->ownInFlight_.load()));
    const std::string bytes = hint.SerializeAsString();
    const std::size_t count = std::min(maxPeers, snapshot.localPeerEntries_.size());
    for (std::size_t i = 0; i < count; ++i)
        sendTo(snapshot.localPeerEntries_[i], bytes);
}

void SlotHints::sendFreed(std::size_t service, const Model::TargetId &target)
{
    auto &peerHints = peerHints_[service % maxServices];
    const auto oldest
        = std::min_element(peerHints.begin(), peerHints.end(), [](const auto &a, const auto &b) {
              return a.oldestSinceUs_ < b.oldestSinceUs_;
          });
    if (oldest == peerHints.end() || oldest->oldestSinceUs_ == noWaiter)
        return;
    cell_.read([&](const EntrySnapshot *snapshot) {
        if (!snapshot || service >= snapshot->services_.size())
            return;
        cassiacrank::SlotHint hint;
        hint.set_sender(settings_.instance_.value());
        hint.set_service(snapshot->table_->services()[service].id_.value());
        hint.set_freed_target(target.value());
        for (const auto &peer : snapshot->localPeerEntries_) {
            if (peer.id_ == oldest->peer_)
                sendTo(peer, hint.SerializeAsString());
        }
    });
    // The next slot goes to a different entry unless this one reports a waiting request again.
    oldest->oldestSinceUs_ = noWaiter;
    refreshPeerOldest(service % maxServices);
}

void SlotHints::sendTo(const Model::Instance &peer, const std::string &bytes)
{
    const auto address = Observe::dialAddress(settings_, peer.addresses_.entryPeer_);
    const auto tcpEndpoint = Http::endpointOf(address);
    const udp::endpoint endpoint(tcpEndpoint.address(), tcpEndpoint.port());
    Http::ErrorCode ignored;
    socket_.send_to(Http::asio::buffer(bytes), endpoint, 0, ignored);
}

} // namespace Entryd
