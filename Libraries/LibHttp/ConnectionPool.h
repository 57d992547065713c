#pragma once

#include "Types.h"

#include <map>
#include <memory>
#include <vector>

namespace Http {

/// A TCP connection to a target, another entry or the platform.
struct Connection
{
    explicit Connection(asio::io_context &context)
        : stream_(context)
    {
    }

    /// Records the idle timeout that the peer announces in its Keep-Alive field.
    ///
    /// Without it, a request is sent on a connection that the peer is closing, and its outcome is
    /// unknown.
    void recordKeepAliveTimeout(const Response &answer);

    /// More than one read and the largest head take. Without a bound, a part of an answer that
    /// never ends, such as a chunk extension, is buffered until the memory is full.
    static constexpr std::size_t maxBufferedBytes = std::size_t(128) * 1024;

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_{maxBufferedBytes};
    Model::SteadyTime usedAt_;
    /// The connection is not reused after it has been idle for longer than this.
    Model::Milliseconds idleTimeout_ = Model::Milliseconds::max();
};

/// Keeps idle connections open for reuse.
///
/// Thread safety: none; each thread has a separate pool on its own io_context.
class ConnectionPool
{
public:
    explicit ConnectionPool(asio::io_context &context)
        : context_(context)
    {
    }

    asio::io_context &context() { return context_; }

    /// Returns an idle connection to \a address that was last used at most \a maxIdle ago and
    /// appears alive, or nullptr. Closes the connections that fail these checks.
    std::unique_ptr<Connection> takeIdle(const Model::Address &address,
                                         Model::Milliseconds maxIdle);

    /// Returns an unconnected connection that counts as open to \a address, or nullptr if \a limit
    /// are open already.
    std::unique_ptr<Connection> openNew(const Model::Address &address, std::size_t limit);

    /// Returns \a connection to the pool for reuse.
    void giveBack(const Model::Address &address, std::unique_ptr<Connection> connection);

    /// Closes \a connection and stops counting it as open.
    void discard(const Model::Address &address, std::unique_ptr<Connection> connection);

    /// Closes every idle connection to \a address.
    ///
    /// Without it, when a middlebox between the two ends drops its connection state, every idle
    /// connection stays silent, and one request after another waits out its deadline on the next.
    /// One failure therefore condemns all idle connections to the address.
    void dropIdle(const Model::Address &address);

    /// Closes idle connections to \a address that were last used more than \a maxIdle ago.
    /// Returns whether any remains that was last used at most \a fresh ago.
    bool pruneIdleConnections(const Model::Address &address, Model::Milliseconds maxIdle,
                              Model::Milliseconds fresh);

    /// Returns the number of open connections to \a address, idle or in use.
    std::size_t openCount(const Model::Address &address) const;
    /// The same for all addresses.
    std::size_t openCount() const;

private:
    struct Peer
    {
        std::vector<std::unique_ptr<Connection>> idle_;
        std::size_t open_ = 0;
    };

    asio::io_context &context_;
    std::map<Model::Address, Peer> peers_;
};

} // namespace Http
