#include "Refusal.h"
#include "ServerSession.h"

#include <boost/beast/http/parser.hpp>

namespace Http {

using Model::ResultCode;

namespace {

using Parser = http::request_parser<http::string_body>;

ResultCode codeOf(const ErrorCode &error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return ResultCode::HeadTooLarge;
    if (error == http::error::body_limit)
        return ResultCode::BodyTooLarge;
    // With two lengths, or a length beside chunked encoding, parsers disagree on where the body
    // ends, so a second request could be smuggled inside the first.
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

/// Rejects ambiguous heads that the parser accepts but that other parsers could read differently.
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

Task<bool> Server::awaitFirstByte(std::shared_ptr<Session> sharedSession)
{
    Session &session = *sharedSession;
    session.isBetweenRequests_ = true;
    limitIdle(sharedSession);
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

Task<bool> Server::readOne(std::shared_ptr<Session> sharedSession)
{
    Session &session = *sharedSession;
    if (session.buffer_.size() == 0) {
        const bool hasByte = co_await awaitFirstByte(sharedSession);
        if (!hasByte)
            co_return false;
    }
    IncomingRequest incoming;
    ResultCode code = ResultCode::Ok;
    HeldPart held(heldBytes_);
    {
        ReadLimit limit(sharedSession, limits_.request_);
        code = co_await readRequest(session, limit, incoming.message_, held);
    }
    if (code != ResultCode::Ok && session.isTooSlow_)
        code = ResultCode::RequestTooSlow;
    // An answer that closes the connection was sent meanwhile, so this request gets none.
    if (session.isClosing_ || session.isBroken_)
        co_return false;

    auto pending = std::make_shared<Pending>(heldBytes_);
    session.pending_.push_back(pending);
    ++inProgress_;
    if (code != ResultCode::Ok) {
        if (code == ResultCode::TooManyBytesHeld && bounds_.onRefused_)
            bounds_.onRefused_(code);
        held.set(0);
        pending->answer_ = refusal(Model::Reason{code, ""}, 11);
        pending->wantsKeepAlive_ = false;
        co_await deliver(sharedSession);
        co_return false;
    }
    incoming.heldPart_ = std::make_shared<const HeldPart>(std::move(held));
    incoming.remoteHost_ = session.remoteHost_;
    incoming.arrivedAt_ = std::chrono::steady_clock::now();
    incoming.hasPeerClosed_ = [weak = std::weak_ptr(sharedSession)] {
        const auto session = weak.lock();
        return !session || session->hasEnded_ || session->isBroken_
               || (!session->isBetweenRequests_ && !session->isReading_
                   && hasEnded(session->stream_.socket()));
    };
    pending->wantsKeepAlive_ = incoming.message_.keep_alive();
    pending->isHead_ = incoming.message_.method() == http::verb::head;
    const bool shouldContinue = pending->wantsKeepAlive_;
    asio::co_spawn(context_, answerOne(sharedSession, std::move(pending), std::move(incoming)),
                   asio::detached);
    co_return shouldContinue;
}

/// Counts \a bytes more as held. Returns false, and counts nothing, if they may not be held.
bool Server::holdMore(HeldPart &held, std::size_t bytes) const
{
    if (bounds_.mayHold_ && !bounds_.mayHold_(bytes))
        return false;
    held.set(held.bytes() + bytes);
    return true;
}

/// Sends an interim answer after the answers to earlier requests, and waits for the first bytes of
/// the body. Returns false if the connection ends or the time is over before that.
///
/// No interim answer is sent if the body has begun to arrive.
Task<bool> Server::awaitExpectedBody(Session &session, ReadLimit &limit)
{
    limit.pause();
    while (!session.pending_.empty() && !session.isClosing_ && !session.isBroken_) {
        co_await waitForChange(session);
    }
    if (session.isClosing_ || session.isBroken_)
        co_return false;
    limit.restart();
    if (session.buffer_.size() > 0)
        co_return true;
    ErrorCode error;
    if (session.stream_.socket().available(error) == 0) {
        http::response<http::empty_body> interim(http::status::continue_, 11);
        co_await http::async_write(session.stream_, interim,
                                   asio::redirect_error(asio::use_awaitable, error));
    }
    if (error)
        co_return false;
    const auto space = session.buffer_.prepare(1024);
    const std::size_t received = co_await session.stream_.async_read_some(
        space, asio::redirect_error(asio::use_awaitable, error));
    session.buffer_.commit(received);
    co_return !error;
}

Task<ResultCode> Server::readRequest(Session &session, ReadLimit &limit, Request &request,
                                     HeldPart &held)
{
    Parser parser;
    parser.header_limit(static_cast<std::uint32_t>(limits_.headBytes_));
    parser.body_limit(limits_.bodyBytes_);
    ErrorCode error;
    const std::size_t headBytes = co_await http::async_read_header(
        session.stream_, session.buffer_, parser, asio::redirect_error(asio::use_awaitable, error));
    if (error)
        co_return codeOf(error);
    const ResultCode headCode = checkHead(parser);
    if (headCode != ResultCode::Ok)
        co_return headCode;

    // The parser allocates a body of known length at once.
    const auto length = parser.content_length();
    const std::size_t bodyBytes = length ? static_cast<std::size_t>(*length) : 0;
    if (!holdMore(held, headBytes + bodyBytes))
        co_return ResultCode::TooManyBytesHeld;
    const bool isBodyExpected = parser.get().count(http::field::expect) > 0
                                && parser.get().version() >= 11 && !parser.is_done();
    if (isBodyExpected) {
        // A caller that never sends its body takes no room from others.
        held.set(headBytes);
        const bool hasBegun = co_await awaitExpectedBody(session, limit);
        if (!hasBegun)
            co_return ResultCode::MalformedRequest;
        if (!holdMore(held, bodyBytes))
            co_return ResultCode::TooManyBytesHeld;
    }
    while (!error && !parser.is_done()) {
        co_await http::async_read_some(session.stream_, session.buffer_, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        const std::size_t known = held.bytes() - headBytes;
        const std::size_t received = parser.get().body().size();
        if (!error && received > known && !holdMore(held, received - known))
            co_return ResultCode::TooManyBytesHeld;
    }
    if (error)
        co_return codeOf(error);
    request = parser.release();
    co_return ResultCode::Ok;
}

} // namespace Http
