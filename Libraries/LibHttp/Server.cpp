#include "Server.h"

#include "Exchange.h"
#include "Refusal.h"

#include <algorithm>
#include <boost/beast/http/parser.hpp>
#include <deque>

namespace Http {

using Model::Milliseconds;
using Model::ResultCode;

namespace {

constexpr Milliseconds writeTimeout{30000};
constexpr Milliseconds lingerTime{500};
constexpr std::size_t lingerBytes = 256 * 1024;
constexpr std::size_t sessionsBeforeSweep = 64;

using Parser = http::request_parser<http::string_body>;

ResultCode codeOf(const ErrorCode &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return ResultCode::HeadTooLarge;
    if (error == http::error::body_limit)
        return ResultCode::BodyTooLarge;
    // Two lengths, or a length beside chunks: what one reader takes for the end of the body another
    // takes for its middle, so a second request could be smuggled inside the first.
    if (error == http::error::bad_content_length || error == http::error::bad_transfer_encoding)
        return ResultCode::AmbiguousLength;
    return ResultCode::MalformedRequest;
}

bool hasEnded(tcp::socket &socket)
{
    char byte = 0;
    const auto received = recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received == 0 || (received < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/// Checks what the parser lets pass but two readers could understand in two ways.
ResultCode checkHead(const Parser &parser)
{
    const auto &head = parser.get();
    const bool hasEncoding = head.count(http::field::transfer_encoding) > 0;
    if (hasEncoding
        && (head.count(http::field::transfer_encoding) > 1
            || !beast::iequals(head[http::field::transfer_encoding], "chunked")))
        return ResultCode::AmbiguousLength;
    if (hasEncoding && head.version() < 11)
        return ResultCode::AmbiguousLength;
    const auto hosts = head.count(http::field::host);
    if (hosts > 1 || (head.version() >= 11 && hosts == 0))
        return ResultCode::BadHost;
    const bool expects = head.count(http::field::expect) > 0;
    if (expects && !beast::iequals(head[http::field::expect], "100-continue"))
        return ResultCode::UnsupportedExpectation;
    return ResultCode::Ok;
}

} // namespace

/// A request that was read, and its answer once there is one.
struct Server::Pending
{
    std::optional<Response> answer_;
    bool wantsMore_ = true;
    bool isHead_ = false;
};

/// One connection of a caller.
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

    /// Wakes whoever waits for pending_ to change.
    void notify() { changed_.cancel(); }

    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
    std::string remoteHost_;
    asio::steady_timer readTimer_;
    asio::steady_timer changed_;
    /// Requests that were read and not answered yet, in the order in which they came.
    std::deque<std::shared_ptr<Pending>> pending_;
    /// Waits for the first byte of a request.
    bool isBetweenRequests_ = true;
    bool isReading_ = false;
    bool isTooSlow_ = false;
    bool isWriting_ = false;
    /// The other end has closed or reset the connection.
    bool hasEnded_ = false;
    /// Nothing more is read; the answers that are due are still written.
    bool isClosing_ = false;
    /// Nothing can be written any more.
    bool isBroken_ = false;
};

/// Ends the reads of a request after a while, and leaves the connection open for the refusal.
///
/// The stream's own timeout closes the socket, so that a slow caller would never learn why.
class Server::ReadLimit
{
public:
    ReadLimit(std::shared_ptr<Session> session, Milliseconds limit)
        : session_(std::move(session))
    {
        session_->isTooSlow_ = false;
        session_->isReading_ = true;
        session_->stream_.expires_never();
        session_->readTimer_.expires_after(limit);
        session_->readTimer_.async_wait([weak = std::weak_ptr(session_)](const ErrorCode &error) {
            const auto session = weak.lock();
            // The timer may have run out in the moment in which the request became whole.
            if (error || !session || !session->isReading_)
                return;
            session->isTooSlow_ = true;
            ErrorCode ignored;
            session->stream_.socket().cancel(ignored);
        });
    }
    ~ReadLimit()
    {
        session_->isReading_ = false;
        session_->readTimer_.cancel();
    }
    ReadLimit(const ReadLimit &) = delete;
    ReadLimit &operator=(const ReadLimit &) = delete;

private:
    std::shared_ptr<Session> session_;
};

Server::Server(asio::io_context &context, ServerLimits limits, Handler handler)
    : context_(context)
    , limits_(limits)
    , handler_(std::move(handler))
{
}

bool Server::listen(const Model::Address &address)
{
    auto acceptor = std::make_shared<tcp::acceptor>(context_);
    ErrorCode error;
    const tcp::endpoint endpoint = endpointOf(address);
    acceptor->open(endpoint.protocol(), error);
    if (!error)
        acceptor->set_option(asio::socket_base::reuse_address(true), error);
    const int on = 1;
    if (!error)
        setsockopt(acceptor->native_handle(), SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    if (!error)
        acceptor->bind(endpoint, error);
    if (!error)
        acceptor->listen(asio::socket_base::max_listen_connections, error);
    if (error) {
        Model::fail(ResultCode::BadValue, toText(address) + ": " + error.message());
        return false;
    }
    acceptors_.push_back(acceptor);
    asio::co_spawn(context_, acceptLoop(acceptor), asio::detached);
    return true;
}

Task<void> Server::acceptLoop(std::shared_ptr<tcp::acceptor> acceptor)
{
    while (acceptor->is_open()) {
        ErrorCode error;
        tcp::socket socket
            = co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            startSession(std::move(socket));
            continue;
        }
        // Out of descriptors and the like: accepting again at once would only spin.
        if (acceptor->is_open()) {
            co_await sleepFor(Milliseconds(10));
        }
    }
}

void Server::startSession(tcp::socket socket)
{
    ErrorCode error;
    const auto remote = socket.remote_endpoint(error);
    if (error)
        return;
    tuneSocket(socket);
    auto session = std::make_shared<Session>(std::move(socket), limits_.headBytes_ * 2);
    session->remoteHost_ = remote.address().to_string();
    if (sessions_.size() > sessionsBeforeSweep + 2 * openSessions_) {
        std::erase_if(sessions_, [](const auto &weak) {
            return weak.expired();
        });
    }
    sessions_.push_back(session);
    ++openSessions_;
    asio::co_spawn(context_, serve(session), asio::detached);
}

Task<void> Server::serve(std::shared_ptr<Session> session)
{
    bool goesOn = true;
    while (goesOn && !session->isClosing_) {
        if (session->pending_.size() >= limits_.pipelineDepth_) {
            co_await waitForChange(*session);
            continue;
        }
        goesOn = co_await readOne(session);
    }
    while (!session->pending_.empty() && !session->isBroken_) {
        co_await waitForChange(*session);
    }
    if (session->isClosing_ && !session->isBroken_ && !session->hasEnded_) {
        co_await closeGently(*session);
    }
    dropPending(*session);
    ErrorCode ignored;
    session->stream_.socket().close(ignored);
    --openSessions_;
}

Task<void> Server::waitForChange(Session &session)
{
    ErrorCode ignored;
    co_await session.changed_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
}

Task<bool> Server::awaitFirstByte(std::shared_ptr<Session> kept)
{
    Session &session = *kept;
    session.isBetweenRequests_ = true;
    limitIdle(kept);
    session.stream_.expires_never();
    ErrorCode error;
    const auto space = session.buffer_.prepare(1024);
    const std::size_t received = co_await session.stream_.async_read_some(
        space, asio::redirect_error(asio::use_awaitable, error));
    session.readTimer_.cancel();
    session.isBetweenRequests_ = false;
    if (error) {
        session.hasEnded_ = error != asio::error::operation_aborted;
        co_return false;
    }
    session.buffer_.commit(received);
    co_return true;
}

void Server::limitIdle(const std::shared_ptr<Session> &session)
{
    if (!session->isBetweenRequests_ || !session->pending_.empty())
        return;
    session->readTimer_.expires_after(limits_.idle_);
    session->readTimer_.async_wait([weak = std::weak_ptr(session)](const ErrorCode &error) {
        const auto idle = weak.lock();
        if (error || !idle || !idle->isBetweenRequests_ || !idle->pending_.empty())
            return;
        ErrorCode ignored;
        idle->stream_.socket().cancel(ignored);
    });
}

Task<bool> Server::readOne(std::shared_ptr<Session> kept)
{
    Session &session = *kept;
    if (session.buffer_.size() == 0) {
        const bool hasByte = co_await awaitFirstByte(kept);
        if (!hasByte)
            co_return false;
    }
    IncomingRequest incoming;
    ResultCode code = ResultCode::Ok;
    {
        const ReadLimit limit(kept, limits_.request_);
        code = co_await readRequest(session, incoming.message_);
    }
    if (code != ResultCode::Ok && session.isTooSlow_)
        code = ResultCode::RequestTooSlow;
    // An answer that closes the connection went out meanwhile; what was half read is not answered.
    if (session.isClosing_ || session.isBroken_)
        co_return false;

    auto pending = std::make_shared<Pending>();
    session.pending_.push_back(pending);
    ++inProgress_;
    if (code != ResultCode::Ok) {
        pending->answer_ = refusal(Model::Reason{code, ""}, 11);
        pending->wantsMore_ = false;
        co_await deliver(kept);
        co_return false;
    }
    incoming.remoteHost_ = session.remoteHost_;
    incoming.arrivedAt_ = std::chrono::steady_clock::now();
    incoming.isGone_ = [weak = std::weak_ptr(kept)] {
        const auto session = weak.lock();
        return !session || session->hasEnded_ || session->isBroken_
               || (!session->isBetweenRequests_ && !session->isReading_
                   && hasEnded(session->stream_.socket()));
    };
    pending->wantsMore_ = incoming.message_.keep_alive();
    pending->isHead_ = incoming.message_.method() == http::verb::head;
    const bool goesOn = pending->wantsMore_;
    asio::co_spawn(context_, answerOne(kept, std::move(pending), std::move(incoming)),
                   asio::detached);
    co_return goesOn;
}

Task<void> Server::answerOne(std::shared_ptr<Session> session, std::shared_ptr<Pending> pending,
                             IncomingRequest incoming)
{
    pending->answer_ = co_await handler_(std::move(incoming));
    co_await deliver(session);
}

Task<void> Server::deliver(std::shared_ptr<Session> kept)
{
    Session &session = *kept;
    if (session.isWriting_)
        co_return;
    session.isWriting_ = true;
    while (!session.isBroken_ && !session.pending_.empty()
           && session.pending_.front()->answer_.has_value()) {
        const std::shared_ptr<Pending> front = session.pending_.front();
        const bool isLast = session.isClosing_ || isLeaving_ || !front->wantsMore_
                            || !front->answer_->keep_alive();
        front->answer_->keep_alive(!isLast);
        const bool isWritten = co_await write(session, *front);
        session.isBroken_ = session.isBroken_ || !isWritten;
        if (!session.pending_.empty()) {
            session.pending_.pop_front();
            --inProgress_;
        }
        if (isLast) {
            // Whoever sent more behind this answer is told by the closing that it was not read.
            session.isClosing_ = true;
            dropPending(session);
        }
    }
    session.isWriting_ = false;
    if (session.isClosing_ || session.isBroken_) {
        ErrorCode ignored;
        session.stream_.socket().cancel(ignored);
    }
    limitIdle(kept);
    session.notify();
}

void Server::dropPending(Session &session)
{
    inProgress_ -= session.pending_.size();
    session.pending_.clear();
}

Task<bool> Server::write(Session &session, Pending &pending)
{
    session.stream_.expires_after(writeTimeout);
    ErrorCode error;
    http::response_serializer<http::string_body> serializer(*pending.answer_);
    // The answer to HEAD names the length of a body that is not sent.
    if (pending.isHead_) {
        co_await http::async_write_header(session.stream_, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
    } else {
        co_await http::async_write(session.stream_, serializer,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    co_return !error;
}

Task<ResultCode> Server::readRequest(Session &session, Request &request)
{
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.headBytes_));
    parser.body_limit(limits_.bodyBytes_);
    ErrorCode error;
    co_await http::async_read_header(session.stream_, session.buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return codeOf(error);
    const ResultCode headCode = checkHead(parser);
    if (headCode != ResultCode::Ok)
        co_return headCode;

    if (parser.get().count(http::field::expect) > 0 && !parser.is_done()) {
        http::response<http::empty_body> goAhead(http::status::continue_, 11);
        co_await http::async_write(session.stream_, goAhead,
                                   asio::redirect_error(asio::use_awaitable, error));
        if (error)
            co_return codeOf(error);
    }
    co_await http::async_read(session.stream_, session.buffer_, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return codeOf(error);
    request = parser.release();
    co_return ResultCode::Ok;
}

Task<void> Server::closeGently(Session &session)
{
    // Closing while the other end still sends makes the kernel reset the connection, and the reset
    // can overtake the answer. Reading on for a moment lets the answer arrive.
    ErrorCode error;
    session.stream_.socket().shutdown(tcp::socket::shutdown_send, error);
    std::size_t taken = 0;
    session.stream_.expires_after(lingerTime);
    std::vector<char> scratch(4096);
    while (!error && taken < lingerBytes) {
        taken += co_await session.stream_.async_read_some(
            asio::buffer(scratch), asio::redirect_error(asio::use_awaitable, error));
    }
}

void Server::stopAccepting()
{
    for (const auto &acceptor : acceptors_) {
        // Closing a listening socket resets the connections that wait in it, so take them first.
        acceptor->non_blocking(true);
        ErrorCode error;
        while (!error) {
            tcp::socket socket(context_);
            acceptor->accept(socket, error);
            if (!error)
                startSession(std::move(socket));
        }
        ErrorCode ignored;
        acceptor->close(ignored);
    }
    acceptors_.clear();
}

void Server::closeIdle()
{
    for (const auto &weak : sessions_) {
        const auto session = weak.lock();
        if (session && session->isBetweenRequests_ && session->pending_.empty())
            session->stream_.cancel();
    }
}

} // namespace Http
