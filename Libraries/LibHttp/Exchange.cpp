#include "Exchange.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Http {

using Model::ResultCode;

namespace {

/// Bytes that the other end does not acknowledge within this time end the connection.
constexpr unsigned int userTimeoutMilliseconds = 5000;

ResultCode codeOf(const ErrorCode &error)
{
    if (error == beast::error::timeout)
        return ResultCode::TargetTimeout;
    if (error == http::error::partial_message)
        return ResultCode::TruncatedAnswer;
    return ResultCode::TargetConnectionLost;
}

/// An answer without a length ends where the connection ends, so one that was cut short looks
/// whole.
bool hasLength(const http::response_parser<http::string_body> &parser)
{
    const auto status = parser.get().result();
    const bool isBodyless
        = status == http::status::no_content || status == http::status::not_modified;
    return isBodyless || parser.chunked() || parser.content_length().has_value();
}

Task<std::unique_ptr<Connection>> connect(ConnectionPool &pool, const ExchangeOptions &options,
                                          bool &isNew)
{
    std::unique_ptr<Connection> connection;
    if (options.longestIdle_.count() > 0)
        connection = pool.takeIdle(options.address_, options.longestIdle_);
    isNew = !connection;
    if (connection)
        co_return connection;

    connection = pool.openNew(options.address_, options.connectionLimit_);
    if (!connection)
        co_return nullptr;
    const auto now = std::chrono::steady_clock::now();
    const Model::SteadyTime connectBy = now + options.connectTimeout_;
    connection->stream_.expires_at(std::min(connectBy, options.deadline_));
    ErrorCode error;
    const tcp::endpoint endpoint = endpointOf(options.address_);
    if (!options.sourceHost_.empty()) {
        tcp::socket &socket = connection->stream_.socket();
        socket.open(endpoint.protocol(), error);
        // The port is chosen when connecting, so that one port can serve several destinations.
        const int on = 1;
        setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof on);
        socket.bind({asio::ip::make_address(options.sourceHost_), 0}, error);
    }
    co_await connection->stream_.async_connect(endpoint,
                                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        pool.discard(options.address_, std::move(connection));
        co_return nullptr;
    }
    tuneSocket(connection->stream_.socket());
    co_return connection;
}

/// Sends and reads on \a connection; the caller decides what becomes of the connection.
Task<ExchangeResult> exchangeOn(Connection &connection, const ExchangeOptions &options,
                                const Request &request)
{
    ExchangeResult result;
    result.stage_ = ExchangeStage::Sent;
    connection.stream_.expires_at(options.deadline_);
    ErrorCode error;
    co_await http::async_write(connection.stream_, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        result.code_ = codeOf(error);
        co_return result;
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(options.answerLimitBytes_);
    co_await http::async_read_header(connection.stream_, connection.buffer_, parser,
                                     asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        result.code_ = codeOf(error);
        co_return result;
    }
    if (!hasLength(parser)) {
        result.code_ = ResultCode::TruncatedAnswer;
        co_return result;
    }
    co_await http::async_read(connection.stream_, connection.buffer_, parser,
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        const bool isCut = error != beast::error::timeout;
        result.code_ = isCut ? ResultCode::TruncatedAnswer : ResultCode::TargetTimeout;
        co_return result;
    }
    result.stage_ = ExchangeStage::Answered;
    result.answer_ = parser.release();
    co_return result;
}

} // namespace

Task<ExchangeResult> exchange(ConnectionPool &pool, const ExchangeOptions &options,
                              const Request &request,
                              bool (*isOwnAnswer)(const Request &, const Response &))
{
    bool isNew = false;
    std::unique_ptr<Connection> connection = co_await connect(pool, options, isNew);
    if (!connection) {
        ExchangeResult result;
        result.code_ = ResultCode::TargetUnreachable;
        co_return result;
    }

    ExchangeResult result = co_await exchangeOn(*connection, options, request);
    result.isNewConnection_ = isNew;
    if (result.stage_ != ExchangeStage::Answered) {
        pool.discard(options.address_, std::move(connection));
        pool.dropIdle(options.address_);
        co_return result;
    }
    if (!isOwnAnswer(request, *result.answer_)) {
        pool.discard(options.address_, std::move(connection));
        result.stage_ = ExchangeStage::Sent;
        result.code_ = ResultCode::ForeignAnswer;
        result.answer_.reset();
        co_return result;
    }
    if (result.answer_->keep_alive()) {
        pool.giveBack(options.address_, std::move(connection));
    } else {
        pool.discard(options.address_, std::move(connection));
    }
    co_return result;
}

bool anyAnswer(const Request &, const Response &)
{
    return true;
}

void tuneSocket(tcp::socket &socket)
{
    const int handle = socket.native_handle();
    const int on = 1;
    setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &userTimeoutMilliseconds,
               sizeof userTimeoutMilliseconds);
}

} // namespace Http
