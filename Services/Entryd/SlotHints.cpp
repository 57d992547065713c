#include "SlotHints.h"

#include <LibPeers/Generated/cassiacrank.pb.h>
#include <algorithm>

namespace Entryd {

using boost::asio::ip::udp;
using Model::Milliseconds;

namespace {

constexpr Milliseconds notePause{4};
constexpr std::int64_t noteLifeUs
    = std::chrono::duration_cast<Model::Microseconds>(noteLife).count();
/// A request elsewhere must have waited this much longer, or the hint's own way is not worth it.
constexpr std::int64_t leastAdvantageUs = 2000;
/// Entries that are told; in a large region each entry tells the same few near it in rank.
constexpr std::size_t mostPeers = 8;

std::int64_t nowUs()
{
    const auto now = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<Model::Microseconds>(now).count();
}

std::int64_t microsecondsOf(Model::SteadyTime time)
{
    return std::chrono::duration_cast<Model::Microseconds>(time.time_since_epoch()).count();
}

/// The service's targets of the own region, in an order that the table alone decides.
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
            since = nobody;
    }
    for (auto &services : waiting_) {
        for (auto &count : services)
            count = 0;
    }
    for (auto &since : peerOldest_)
        since = nobody;
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
        Model::fail(Model::ResultCode::BadValue, "datagrams: " + error.message());
        return false;
    }
    Http::asio::co_spawn(context_, receiveLoop(), Http::asio::detached);
    Http::asio::co_spawn(context_, noteLoop(), Http::asio::detached);
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
    const auto threadIndex = static_cast<std::size_t>(thread) % mostThreads;
    const std::int64_t since = oldestSince ? microsecondsOf(*oldestSince) : nobody;
    oldest_[threadIndex][service % mostServices] = since;
    waiting_[threadIndex][service % mostServices] = static_cast<std::uint32_t>(count);
}

std::int64_t SlotHints::localOldest(std::size_t service) const
{
    std::int64_t oldest = nobody;
    for (const auto &services : oldest_)
        oldest = std::min(oldest, services[service % mostServices].load());
    return oldest;
}

bool SlotHints::leaveToOthers(std::size_t service, TargetState &target)
{
    const std::int64_t theirs = peerOldest_[service % mostServices];
    if (theirs == nobody)
        return false;
    const std::int64_t ours = localOldest(service);
    if (ours != nobody && theirs + leastAdvantageUs >= ours)
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
        return isKnown ? snapshot->serviceIndex_.at(serviceId) : mostServices;
    });
    if (service >= mostServices)
        return;
    onNote(service, hint);
    refreshOldest(service);
    refreshPeers(service);
}

void SlotHints::onNote(std::size_t service, const cassiacrank::SlotHint &hint)
{
    const Model::InstanceId peer(hint.sender());
    auto &notes = notes_[service];
    auto note = std::find_if(notes.begin(), notes.end(), [&](const auto &item) {
        return item.peer_ == peer;
    });
    if (note == notes.end())
        note = notes.insert(notes.end(), PeerNote{peer});
    note->heardAtUs_ = nowUs();
    note->oldestSinceUs_ = nobody;
    if (hint.has_oldest_wait_us())
        note->oldestSinceUs_ = nowUs() - static_cast<std::int64_t>(hint.oldest_wait_us());
    note->waiting_ = hint.waiting();
    note->tableVersion_ = Model::TableVersion(hint.table_version());
    note->inFlight_.assign(hint.in_flight().begin(), hint.in_flight().end());
}

void SlotHints::refreshOldest(std::size_t service)
{
    auto &notes = notes_[service];
    const std::int64_t oldestNote = nowUs() - noteLifeUs;
    std::erase_if(notes, [&](const auto &note) {
        return note.heardAtUs_ < oldestNote;
    });
    std::int64_t oldest = nobody;
    for (const auto &note : notes)
        oldest = std::min(oldest, note.oldestSinceUs_);
    peerOldest_[service] = oldest;
}

void SlotHints::refreshPeers(std::size_t service)
{
    const auto now = std::chrono::steady_clock::now();
    cell_.read([&](const EntrySnapshot *snapshot) {
        // In a larger region only some of the entries are heard; their sum would be too low.
        if (!snapshot || snapshot->nearEntries_.size() > mostPeers)
            return;
        const auto targets = targetsOf(*snapshot, service);
        std::vector<std::int64_t> sums(targets.size(), 0);
        for (const auto &note : notes_[service]) {
            const bool isSameTable = note.tableVersion_ == snapshot->table_->version();
            if (!isSameTable || note.inFlight_.size() != targets.size())
                return;
            for (std::size_t i = 0; i < sums.size(); ++i)
                sums[i] += note.inFlight_[i];
        }
        for (std::size_t i = 0; i < sums.size(); ++i)
            notePeers(*targets[i], sums[i], now);
    });
}

void SlotHints::onFreed(const Model::ServiceId &service, const Model::TargetId &target)
{
    const auto index = cell_.read([&](const EntrySnapshot *snapshot) {
        if (!snapshot || !snapshot->serviceIndex_.contains(service))
            return mostServices;
        const std::size_t found = snapshot->serviceIndex_.at(service);
        for (const auto &targets : snapshot->services_[found].targets_) {
            for (const auto &state : targets) {
                if (state->target_.id_ == target)
                    noteFreed(*state, std::chrono::steady_clock::now());
            }
        }
        return found;
    });
    if (index < mostServices)
        wake_(index);
}

Http::Task<void> SlotHints::noteLoop()
{
    while (true) {
        sendNotes();
        co_await Http::sleepFor(notePause);
    }
}

// Taken once for each note that is sent, not for each that arrives: otherwise the same room would
// be shared out again before the others could say that they took their part of it.
void SlotHints::refreshPool(const EntrySnapshot &snapshot, std::size_t service)
{
    const auto &notes = notes_[service];
    if (notes.empty() || snapshot.nearEntries_.size() > mostPeers)
        return;
    const auto now = std::chrono::steady_clock::now();
    std::vector<Policy::TargetView> views;
    Policy::PoolNotes pool;
    for (const auto &target : targetsOf(snapshot, service)) {
        views.push_back(viewOf(*target, now));
        pool.ownInFlight_ += target->ownInFlight_;
    }
    const Policy::SlotUse use = Policy::slotUse(views);
    for (const auto &note : notes)
        pool.waitingEntries_ += note.waiting_ > 0 ? 1 : 0;
    PoolCell &cell = pools_[service];
    cell.slots_ = use.slots_;
    cell.ownInFlight_ = pool.ownInFlight_;
    cell.peersInFlight_ = std::max<std::int64_t>(0, use.inFlight_ - pool.ownInFlight_);
    cell.waitingEntries_ = pool.waitingEntries_;
    cell.dither_ = std::uniform_real_distribution<double>(0, 1)(random_);
    cell.takenAtUs_ = nowUs();
}

std::optional<Policy::PoolNotes> SlotHints::poolNotes(std::size_t service) const
{
    const PoolCell &cell = pools_[service % mostServices];
    if (nowUs() - cell.takenAtUs_ > noteLifeUs)
        return std::nullopt;
    Policy::PoolNotes notes;
    notes.slots_ = cell.slots_;
    notes.ownInFlight_ = cell.ownInFlight_;
    notes.peersInFlight_ = cell.peersInFlight_;
    notes.waitingEntries_ = cell.waitingEntries_;
    notes.dither_ = cell.dither_;
    return notes;
}

bool SlotHints::anyWaiting(std::size_t service) const
{
    const bool isHere = std::any_of(waiting_.begin(), waiting_.end(), [&](const auto &services) {
        return services[service] > 0;
    });
    const auto &notes = notes_[service];
    return isHere || std::any_of(notes.begin(), notes.end(), [](const auto &note) {
               return note.waiting_ > 0;
           });
}

void SlotHints::sendNotes()
{
    for (std::size_t service = 0; service < mostServices; ++service) {
        if (!notes_[service].empty())
            refreshOldest(service);
        // Without a waiting request anywhere there are free slots enough, and nobody needs to know.
        if (!anyWaiting(service))
            continue;
        cell_.read([&](const EntrySnapshot *snapshot) {
            if (!snapshot || service >= snapshot->services_.size())
                return;
            refreshPool(*snapshot, service);
            sendNote(*snapshot, service);
        });
    }
}

void SlotHints::sendNote(const EntrySnapshot &snapshot, std::size_t service)
{
    cassiacrank::SlotHint hint;
    hint.set_sender(settings_.instance_.value());
    hint.set_service(snapshot.table_->services()[service].id_.value());
    hint.set_table_version(snapshot.table_->version().value());
    const std::int64_t oldest = localOldest(service);
    if (oldest != nobody) {
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
    const std::size_t count = std::min(mostPeers, snapshot.nearEntries_.size());
    for (std::size_t i = 0; i < count; ++i)
        sendTo(snapshot.nearEntries_[i], bytes);
}

void SlotHints::sendFreed(std::size_t service, const Model::TargetId &target)
{
    auto &notes = notes_[service % mostServices];
    const auto oldest
        = std::min_element(notes.begin(), notes.end(), [](const auto &a, const auto &b) {
              return a.oldestSinceUs_ < b.oldestSinceUs_;
          });
    if (oldest == notes.end() || oldest->oldestSinceUs_ == nobody)
        return;
    cell_.read([&](const EntrySnapshot *snapshot) {
        if (!snapshot || service >= snapshot->services_.size())
            return;
        cassiacrank::SlotHint hint;
        hint.set_sender(settings_.instance_.value());
        hint.set_service(snapshot->table_->services()[service].id_.value());
        hint.set_freed_target(target.value());
        for (const auto &peer : snapshot->nearEntries_) {
            if (peer.id_ == oldest->peer_)
                sendTo(peer, hint.SerializeAsString());
        }
    });
    // The next slot goes to another entry unless this one says again that it waits.
    oldest->oldestSinceUs_ = nobody;
    refreshOldest(service % mostServices);
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
