#include "ConnectionPool.h"

#include <algorithm>
#include <cstdlib>
#include <cstring>
#include <sys/socket.h>

namespace Http {

namespace {

/// An idle connection must have nothing to read: data is a late answer to an earlier request, and
/// end of file means that the peer has closed.
bool looksAlive(Connection &connection)
{
    if (connection.buffer_.size() != 0)
        return false;
    char byte = 0;
    const auto handle = beast::get_lowest_layer(connection.stream_).socket().native_handle();
    const auto received = recv(handle, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

/// Fraction of the peer's idle timeout after which a connection is not reused: a request must
/// arrive before the peer closes.
constexpr double idleTimeoutFraction = 0.7;

} // namespace

void Connection::recordKeepAliveTimeout(const Response &answer)
{
    const std::string text(answer[http::field::keep_alive]);
    const auto start = text.find("timeout=");
    if (start == std::string::npos)
        return;
    const double seconds = std::strtod(text.c_str() + start + std::strlen("timeout="), nullptr);
    idleTimeout_
        = Model::Milliseconds(static_cast<long long>(seconds * 1000 * idleTimeoutFraction));
}

std::unique_ptr<Connection> ConnectionPool::takeIdle(const Model::Address &address,
                                                     Model::Milliseconds maxIdle)
{
    const auto found = peers_.find(address);
    if (found == peers_.end())
        return nullptr;
    Peer &peer = found->second;
    const auto now = std::chrono::steady_clock::now();
    while (!peer.idle_.empty()) {
        // The most recently used connection is the most likely to be alive.
        std::unique_ptr<Connection> connection = std::move(peer.idle_.back());
        peer.idle_.pop_back();
        const auto allowedIdle = std::min(maxIdle, connection->idleTimeout_);
        if (now - connection->usedAt_ <= allowedIdle && looksAlive(*connection))
            return connection;
        --peer.open_;
    }
    return nullptr;
}

std::unique_ptr<Connection> ConnectionPool::openNew(const Model::Address &address,
                                                    std::size_t limit)
{
    Peer &peer = peers_[address];
    if (peer.open_ >= limit)
        return nullptr;
    ++peer.open_;
    return std::make_unique<Connection>(context_);
}

void ConnectionPool::giveBack(const Model::Address &address, std::unique_ptr<Connection> connection)
{
    connection->usedAt_ = std::chrono::steady_clock::now();
    connection->stream_.expires_never();
    peers_[address].idle_.push_back(std::move(connection));
}

void ConnectionPool::discard(const Model::Address &address, std::unique_ptr<Connection> connection)
{
    connection.reset();
    --peers_[address].open_;
}

void ConnectionPool::dropIdle(const Model::Address &address)
{
    const auto found = peers_.find(address);
    if (found == peers_.end())
        return;
    found->second.open_ -= found->second.idle_.size();
    found->second.idle_.clear();
}

bool ConnectionPool::pruneIdleConnections(const Model::Address &address,
                                          Model::Milliseconds maxIdle, Model::Milliseconds fresh)
{
    const auto found = peers_.find(address);
    if (found == peers_.end())
        return false;
    Peer &peer = found->second;
    const auto now = std::chrono::steady_clock::now();
    peer.open_ -= std::erase_if(peer.idle_, [&](const auto &connection) {
        return now - connection->usedAt_ > maxIdle;
    });
    return std::any_of(peer.idle_.begin(), peer.idle_.end(), [&](const auto &connection) {
        return now - connection->usedAt_ <= fresh;
    });
}

std::size_t ConnectionPool::openCount(const Model::Address &address) const
{
    const auto found = peers_.find(address);
    return found == peers_.end() ? 0 : found->second.open_;
}

std::size_t ConnectionPool::openCount() const
{
    std::size_t count = 0;
    for (const auto &[address, peer] : peers_)
        count += peer.open_;
    return count;
}

} // namespace Http
