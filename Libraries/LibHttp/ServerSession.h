#pragma once

#include "Server.h"

#include <deque>
#include <optional>

namespace Http {

/// Bytes that count as held until this object releases them.
class Server::HeldPart
{
public:
    explicit HeldPart(std::shared_ptr<std::size_t> total)
        : total_(std::move(total))
    {
    }
    HeldPart(HeldPart &&other) noexcept
        : total_(other.total_)
        , bytes_(std::exchange(other.bytes_, 0))
    {
    }
    HeldPart(const HeldPart &) = delete;
    HeldPart &operator=(const HeldPart &) = delete;
    ~HeldPart() { set(0); }

    std::size_t bytes() const { return bytes_; }
    void set(std::size_t bytes)
    {
        *total_ += bytes;
        *total_ -= bytes_;
        bytes_ = bytes;
    }

private:
    std::shared_ptr<std::size_t> total_;
    std::size_t bytes_ = 0;
};

/// A request that was read, and its answer when available.
struct Server::Pending
{
    explicit Pending(std::shared_ptr<std::size_t> heldBytes)
        : held_(std::move(heldBytes))
    {
    }

    /// The bytes of the answer, once it is available.
    HeldPart held_;
    std::optional<Response> answer_;
    bool wantsKeepAlive_ = true;
    bool isHead_ = false;
};

/// A connection of a caller.
struct Server::Session
{
    Session(tcp::socket socket, std::size_t bufferBytes)
        : stream_(std::move(socket))
        , buffer_(bufferBytes)
        , readTimer_(stream_.get_executor())
        , changed_(stream_.get_executor())
    {
        changed_.expires_at(Model::SteadyTime::max());
    }

    /// Wakes the coroutines that wait for a change of pending_.
    void notify() { changed_.cancel(); }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::string remoteHost_;
    asio::steady_timer readTimer_;
    asio::steady_timer changed_;
    /// Requests that were read and not answered yet, in order of arrival.
    std::deque<std::shared_ptr<Pending>> pending_;
    /// The bytes of the available answers in pending_.
    std::size_t waitingAnswerBytes_ = 0;
    /// The session waits for the first byte of a request.
    bool isBetweenRequests_ = true;
    bool isReading_ = false;
    bool isTooSlow_ = false;
    bool isWriting_ = false;
    /// The peer has closed or reset the connection.
    bool hasEnded_ = false;
    /// The connection closes with the answer to the last request that was passed on.
    bool isEnding_ = false;
    /// Nothing more is read; pending answers are still written.
    bool isClosing_ = false;
    /// A write has failed, so nothing more can be written.
    bool isBroken_ = false;
};

/// Cancels the reads of a request after a timeout, and leaves the connection open for the refusal.
/// The timeout does not run while the caller waits for the server.
///
/// The timeout of the stream itself closes the socket, and a slow caller then gets no reason.
class Server::ReadLimit
{
public:
    ReadLimit(std::shared_ptr<Session> session, Model::Milliseconds limit)
        : session_(std::move(session))
        , limit_(limit)
    {
        session_->isTooSlow_ = false;
        restart();
    }
    ~ReadLimit() { pause(); }
    ReadLimit(const ReadLimit &) = delete;
    ReadLimit &operator=(const ReadLimit &) = delete;

    void pause()
    {
        session_->isReading_ = false;
        session_->readTimer_.cancel();
    }

    void restart()
    {
        session_->isReading_ = true;
        session_->stream_.expires_never();
        session_->readTimer_.expires_after(limit_);
        session_->readTimer_.async_wait([weak = std::weak_ptr(session_)](const ErrorCode &error) {
            const auto session = weak.lock();
            // The timer may have expired just as the request was completed.
            if (error || !session || !session->isReading_)
                return;
            session->isTooSlow_ = true;
            ErrorCode ignored;
            session->stream_.socket().cancel(ignored);
        });
    }

private:
    std::shared_ptr<Session> session_;
    const Model::Milliseconds limit_;
};

} // namespace Http
