#include "Server.h"

#include "Exchange.h"
#include "Refusal.h"
#include "ServerSession.h"

#include <algorithm>

namespace Http {

using Model::Milliseconds;
using Model::ResultCode;

namespace {

constexpr Milliseconds writeTimeout{30000};
constexpr Milliseconds lingerTimeout{500};
constexpr std::size_t maxLingerBytes = 256 * 1024;
constexpr std::size_t sessionsBeforeSweep = 64;

/// Returns the bytes of an answer's head and body in memory.
std::size_t sizeOf(const Response &answer)
{
    std::size_t bytes = answer.body().size();
    for (const auto &field : answer)
        bytes += field.name_string().size() + field.value().size();
    return bytes;
}

} // namespace

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
        // Without a delay, an error such as running out of descriptors makes this loop spin.
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
    const bool isRefused = bounds_.mayOpen_ && !bounds_.mayOpen_();
    sessions_.push_back(session);
    ++openSessions_;
    if (isRefused) {
        asio::co_spawn(context_, refuseConnection(session), asio::detached);
    } else {
        asio::co_spawn(context_, serve(session), asio::detached);
    }
}

Task<void> Server::refuseConnection(std::shared_ptr<Session> session)
{
    if (bounds_.onRefused_)
        bounds_.onRefused_(ResultCode::TooManyConnections);
    ++refusalsOpen_;
    session->isBetweenRequests_ = false;
    session->isClosing_ = true;
    Pending pending(heldBytes_);
    pending.answer_ = refusal(Model::Reason{ResultCode::TooManyConnections, ""}, 11);
    pending.answer_->keep_alive(false);
    const bool isWritten = co_await write(*session, pending);
    if (isWritten && refusalsOpen_ <= bounds_.lingeringRefusals_) {
        co_await lingeringClose(*session);
    }
    ErrorCode ignored;
    session->stream_.socket().close(ignored);
    --refusalsOpen_;
    --openSessions_;
}

/// Returns whether a further request of the session may be read while earlier ones are in progress.
bool Server::mayRead(const Session &session) const
{
    const bool isFull = bounds_.mayHold_ && !session.isBroken_
                        && session.waitingAnswerBytes_ > bounds_.waitingAnswerBytes_;
    // Otherwise a caller that pipelines without a pause never gets its last answer.
    const bool isEnding = (session.isEnding_ || isLeaving_) && !session.pending_.empty();
    return session.pending_.size() < limits_.pipelineDepth_ && !isFull && !isEnding;
}

Task<void> Server::serve(std::shared_ptr<Session> session)
{
    bool shouldContinue = true;
    while (shouldContinue && !session->isClosing_) {
        if (!mayRead(*session)) {
            co_await waitForChange(*session);
            continue;
        }
        shouldContinue = co_await readOne(session);
    }
    while (!session->pending_.empty() && !session->isBroken_) {
        co_await waitForChange(*session);
    }
    if (session->isClosing_ && !session->isBroken_ && !session->hasEnded_) {
        co_await lingeringClose(*session);
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

Task<void> Server::answerOne(std::shared_ptr<Session> session, std::shared_ptr<Pending> pending,
                             IncomingRequest incoming)
{
    pending->answer_ = co_await handler_(std::move(incoming));
    const std::size_t bytes = sizeOf(*pending->answer_);
    pending->held_.set(bytes);
    session->waitingAnswerBytes_ += bytes;
    co_await deliver(session);
}

Task<void> Server::deliver(std::shared_ptr<Session> sharedSession)
{
    Session &session = *sharedSession;
    if (session.isWriting_)
        co_return;
    session.isWriting_ = true;
    while (!session.isBroken_ && !session.pending_.empty()
           && session.pending_.front()->answer_.has_value()) {
        const std::shared_ptr<Pending> front = session.pending_.front();
        session.isEnding_ = session.isEnding_ || isLeaving_ || !front->wantsKeepAlive_
                            || !front->answer_->keep_alive();
        // The requests behind it were passed on as well, so only the last answer closes.
        const bool isLast = session.isEnding_ && session.pending_.size() == 1;
        // Set before the write, so that no request that is read meanwhile is passed on.
        session.isClosing_ = session.isClosing_ || isLast;
        front->answer_->keep_alive(!isLast);
        const bool isWritten = co_await write(session, *front);
        session.isBroken_ = session.isBroken_ || !isWritten;
        releaseAnswer(session, *front);
        if (!session.pending_.empty()) {
            session.pending_.pop_front();
            --inProgress_;
        }
    }
    session.isWriting_ = false;
    if (session.isClosing_ || session.isBroken_) {
        ErrorCode ignored;
        session.stream_.socket().cancel(ignored);
    }
    limitIdle(sharedSession);
    session.notify();
}

/// The coroutine that writes may be that of an earlier request, which keeps its Pending alive.
void Server::releaseAnswer(Session &session, Pending &pending)
{
    session.waitingAnswerBytes_ -= std::min(session.waitingAnswerBytes_, pending.held_.bytes());
    pending.answer_.reset();
    pending.held_.set(0);
}

void Server::dropPending(Session &session)
{
    session.waitingAnswerBytes_ = 0;
    inProgress_ -= session.pending_.size();
    session.pending_.clear();
}

Task<bool> Server::write(Session &session, Pending &pending)
{
    session.stream_.expires_after(writeTimeout);
    ErrorCode error;
    http::response_serializer<http::string_body> serializer(*pending.answer_);
    // The answer to HEAD states the length of a body that is not sent.
    if (pending.isHead_) {
        co_await http::async_write_header(session.stream_, serializer,
                                          asio::redirect_error(asio::use_awaitable, error));
    } else {
        co_await http::async_write(session.stream_, serializer,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    co_return !error;
}

Task<void> Server::lingeringClose(Session &session)
{
    // Closing while the peer still sends makes the kernel reset the connection, and the reset can
    // overtake the answer. Reading for a short time first lets the answer arrive.
    ErrorCode error;
    session.stream_.socket().shutdown(tcp::socket::shutdown_send, error);
    std::size_t discardedBytes = 0;
    session.stream_.expires_after(lingerTimeout);
    std::vector<char> scratch(4096);
    while (!error && discardedBytes < maxLingerBytes) {
        discardedBytes += co_await session.stream_.async_read_some(
            asio::buffer(scratch), asio::redirect_error(asio::use_awaitable, error));
    }
}

void Server::stopAccepting()
{
    for (const auto &acceptor : acceptors_) {
        // Closing a listening socket resets the connections in its queue, so accept them first.
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
