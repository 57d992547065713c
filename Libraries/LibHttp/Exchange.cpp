#include "AnswerReading.h"

#include <algorithm>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace Http {

using Model::ResultCode;

namespace {

/// TCP_USER_TIMEOUT: data that the peer does not acknowledge within this time ends the connection.
constexpr unsigned int userTimeoutMilliseconds = 5000;

/// Makes closing \a socket reset the connection. After an orderly close the system resends what the
/// peer has not acknowledged, so a request that was given up during a partition would arrive after
/// it. Must be set in advance: an expired deadline closes the socket at once.
void resetOnClose(tcp::socket &socket)
{
    const linger noTime{1, 0};
    setsockopt(socket.native_handle(), SOL_SOCKET, SO_LINGER, &noTime, sizeof noTime);
}

/// The result of connect().
struct Connected
{
    std::unique_ptr<Connection> connection_;
    bool isNew_ = false;
    Model::Milliseconds idleTime_{0};
    /// The remote system refused the connection.
    bool isRefused_ = false;
};

Task<Connected> connect(ConnectionPool &pool, const ExchangeOptions &options)
{
    Connected result;
    if (options.maxIdle_.count() > 0)
        result.connection_ = pool.takeIdle(options.address_, options.maxIdle_);
    result.isNew_ = !result.connection_;
    if (result.connection_) {
        result.idleTime_ = std::chrono::duration_cast<Model::Milliseconds>(
            std::chrono::steady_clock::now() - result.connection_->usedAt_);
        co_return result;
    }

    std::unique_ptr<Connection> connection
        = pool.openNew(options.address_, options.connectionLimit_);
    if (!connection)
        co_return result;
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
        result.isRefused_ = error == asio::error::connection_refused;
        co_return result;
    }
    tuneSocket(connection->stream_.socket());
    resetOnClose(connection->stream_.socket());
    result.connection_ = std::move(connection);
    co_return result;
}

/// An idle connection's send buffer takes a body of at most this size at once.
constexpr std::size_t maxUnwatchedBodyBytes = 16 * 1024;

/// Stops sending a long body once maySend_ has returned false for withdrawalTimeout_.
class SendWatch
{
public:
    SendWatch(Connection &connection, const ExchangeOptions &options)
        : connection_(connection)
        , options_(options)
        , timer_(connection.stream_.get_executor())
    {
        wait();
    }
    SendWatch(const SendWatch &) = delete;
    SendWatch &operator=(const SendWatch &) = delete;

    bool hasEnded() const { return hasEnded_; }

private:
    void wait()
    {
        timer_.expires_after(options_.maySendInterval_);
        timer_.async_wait([this, alive = std::weak_ptr(alive_)](const ErrorCode &error) {
            if (!error && !alive.expired())
                recheck();
        });
    }

    void recheck()
    {
        refusedFor_ = options_.maySend_() ? Model::Milliseconds(0)
                                          : refusedFor_ + options_.maySendInterval_;
        if (refusedFor_ < options_.withdrawalTimeout_) {
            wait();
            return;
        }
        hasEnded_ = true;
        connection_.stream_.cancel();
    }

    Connection &connection_;
    const ExchangeOptions &options_;
    asio::steady_timer timer_;
    Model::Milliseconds refusedFor_{0};
    bool hasEnded_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Sends \a request. Returns std::nullopt if it was sent completely, else the failed result.
template <typename Message>
Task<std::optional<ExchangeResult>>
sendRequest(Connection &connection, const ExchangeOptions &options, const Message &request)
{
    std::optional<SendWatch> watch;
    if (options.maySend_ && request.body().size() > maxUnwatchedBodyBytes)
        watch.emplace(connection, options);
    ErrorCode error;
    co_await http::async_write(connection.stream_, request,
                               asio::redirect_error(asio::use_awaitable, error));
    if (!error)
        co_return std::nullopt;
    ExchangeResult result = failedExchange(error);
    result.isWithdrawn_ = watch && watch->hasEnded();
    co_return result;
}

/// An interim answer precedes the final one, so a request that got only the former has no answer.
bool isFinal(const Response &answer)
{
    return answer.result_int() >= 200;
}

/// Sends the request and reads the answer on \a connection, which the caller then keeps or closes.
template <typename Message>
Task<ExchangeResult> exchangeOn(Connection &connection, const ExchangeOptions &options,
                                const Message &request, const AnswerCheck &isOwnAnswer)
{
    connection.stream_.expires_at(options.deadline_);
    if (options.onFirstByte_)
        options.onFirstByte_();
    if (auto unsent = co_await sendRequest(connection, options, request))
        co_return std::move(*unsent);
    int foreign = 0;
    while (true) {
        ExchangeResult result = co_await readAnswer(connection, options);
        result.foreignAnswers_ = foreign;
        if (!result.answer_ || (isFinal(*result.answer_) && isOwnAnswer(request, *result.answer_)))
            co_return result;
        // A late second answer to an earlier request can precede the answer to this one. The
        // request id distinguishes them, so the matching answer that follows is not lost.
        ++foreign;
        const bool isEnd = !result.answer_->keep_alive();
        if (isEnd || foreign > options.maxForeignAnswers_) {
            result = failedExchange(ResultCode::ForeignAnswer);
            result.foreignAnswers_ = foreign;
            co_return result;
        }
    }
}

} // namespace

/// Gives the control access to the stream for the duration of the exchange.
class ControlGuard
{
public:
    ControlGuard(ExchangeControl *control, beast::tcp_stream &stream)
        : control_(control)
    {
        if (control_)
            control_->stream_ = &stream;
    }
    ~ControlGuard()
    {
        if (control_)
            control_->stream_ = nullptr;
    }
    ControlGuard(const ControlGuard &) = delete;
    ControlGuard &operator=(const ControlGuard &) = delete;

private:
    ExchangeControl *control_;
};

void ExchangeControl::cancel()
{
    isCancelled_ = true;
    if (stream_)
        stream_->cancel();
}

namespace {

template <typename Message>
Task<ExchangeResult> exchangeMessage(ConnectionPool &pool, const ExchangeOptions &options,
                                     const Message &request, const AnswerCheck &isOwnAnswer)
{
    const auto startedAt = std::chrono::steady_clock::now();
    Connected connected = co_await connect(pool, options);
    std::unique_ptr<Connection> connection = std::move(connected.connection_);
    const auto connectedAt = std::chrono::steady_clock::now();
    const bool isCancelled = options.control_ && options.control_->isCancelled();
    const bool isWithdrawn = connection && !isCancelled && options.maySend_ && !options.maySend_();
    if (!connection || isCancelled || isWithdrawn) {
        if (connection)
            pool.giveBack(options.address_, std::move(connection));
        ExchangeResult result;
        result.code_ = ResultCode::TargetUnreachable;
        result.isRefused_ = connected.isRefused_;
        result.isWithdrawn_ = isWithdrawn;
        co_return result;
    }

    ExchangeResult result;
    {
        const ControlGuard guard(options.control_, connection->stream_);
        result = co_await exchangeOn(*connection, options, request, isOwnAnswer);
    }
    result.isNewConnection_ = connected.isNew_;
    result.idleTime_ = connected.idleTime_;
    result.sinceSent_ = std::chrono::duration_cast<Model::Microseconds>(
        std::chrono::steady_clock::now() - connectedAt);
    if (connected.isNew_) {
        result.connectDuration_
            = std::chrono::duration_cast<Model::Microseconds>(connectedAt - startedAt);
    }
    if (!result.answer_) {
        pool.discard(options.address_, std::move(connection));
        // Cancellation is no evidence against the other connections.
        const bool wasCancelled = options.control_ && options.control_->isCancelled();
        if (!wasCancelled && !result.isAnswerNotHeld_)
            pool.dropIdle(options.address_);
        co_return result;
    }
    if (result.answer_->keep_alive()) {
        connection->recordKeepAliveTimeout(*result.answer_);
        pool.giveBack(options.address_, std::move(connection));
    } else {
        pool.discard(options.address_, std::move(connection));
    }
    co_return result;
}

} // namespace

Task<ExchangeResult> exchange(ConnectionPool &pool, const ExchangeOptions &options,
                              const Request &request, const AnswerCheck &isOwnAnswer)
{
    return exchangeMessage(pool, options, request, isOwnAnswer);
}

Task<ExchangeResult> exchange(ConnectionPool &pool, const ExchangeOptions &options,
                              const RequestView &request, const AnswerCheck &isOwnAnswer)
{
    return exchangeMessage(pool, options, request, isOwnAnswer);
}

Task<Listening> checkListener(ConnectionPool &pool, const ExchangeOptions &options)
{
    ExchangeOptions fresh = options;
    fresh.maxIdle_ = Model::Milliseconds(0);
    Connected connected = co_await connect(pool, fresh);
    if (!connected.connection_)
        co_return connected.isRefused_ ? Listening::No : Listening::Unknown;
    pool.giveBack(options.address_, std::move(connected.connection_));
    co_return Listening::Yes;
}

Task<bool> prepareConnection(ConnectionPool &pool, const ExchangeOptions &options)
{
    co_return co_await checkListener(pool, options) == Listening::Yes;
}

bool acceptAnyAnswer(const RequestHead &, const Response &)
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
