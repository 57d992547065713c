#pragma once

#include "Types.h"

#include <map>
#include <memory>
#include <vector>

namespace Http {

/// One TCP connection to a target, another entry or the platform.
struct Connection
{
    explicit Connection(asio::io_context &context)
        : stream_(context)
    {
    }

    /// Takes in how long the other end says that it keeps the connection open while it rests.
    ///
    /// What goes wrong without it: a request is sent on a connection that the other end is closing,
    /// and nobody knows whether it ran.
    void noteKeepAlive(const Response &answer);

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    Model::SteadyTime usedAt_;
    /// How long it may rest before it is not used again.
    Model::Milliseconds longestRest_ = Model::Milliseconds::max();
};

/// Keeps open connections for reuse.
///
/// Thread safety: none; each thread has its own pool on its own io_context.
class ConnectionPool
{
public:
    explicit ConnectionPool(asio::io_context &context)
        : context_(context)
    {
    }

    asio::io_context &context() { return context_; }

    /// Returns an idle connection to \a address that was used at most \a longestIdle ago and looks
    /// alive, or nullptr. Connections that do not are closed on the way.
    std::unique_ptr<Connection> takeIdle(const Model::Address &address,
                                         Model::Milliseconds longestIdle);

    /// Counts a new connection to \a address, unless \a limit are open already.
    std::unique_ptr<Connection> openNew(const Model::Address &address, std::size_t limit);

    /// Keeps \a connection for reuse.
    void giveBack(const Model::Address &address, std::unique_ptr<Connection> connection);

    /// Closes \a connection.
    void discard(const Model::Address &address, std::unique_ptr<Connection> connection);

    /// Closes every idle connection to \a address.
    ///
    /// What goes wrong without it: something between the two ends forgets connections, each of them
    /// stays silent for good, and request after request waits out its deadline on the next one.
    /// When one has failed, the others of its age are not trusted either.
    void dropIdle(const Model::Address &address);

    /// Closes idle connections to \a address that were used more than \a longestIdle ago, and tells
    /// whether any is left that was used at most \a fresh ago.
    bool keepFresh(const Model::Address &address, Model::Milliseconds longestIdle,
                   Model::Milliseconds fresh);

    /// Returns the connections to \a address that are open, idle or in use.
    std::size_t openCount(const Model::Address &address) const;

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
