#pragma once

#include "ConnectionPool.h"

#include <functional>
#include <optional>

namespace Http {

/// The stage that an exchange reached before it ended.
enum class ExchangeStage {
    /// There was no connection, so no byte of the request can have been sent.
    NotConnected,
    /// Part of the request may have been sent, and no complete answer was received.
    Sent,
    /// A complete answer was received.
    Answered,
};

/// Cancels an exchange that is in progress. Thread safety: the exchange's thread.
class ExchangeControl
{
public:
    /// Ends the exchange and closes its connection, which makes most targets cancel the request.
    void cancel();
    bool isCancelled() const { return isCancelled_; }
    /// Tells whether bytes of the answer have arrived since \a time.
    bool hasReceivedSince(Model::SteadyTime time) const { return receivedAt_ >= time; }

private:
    friend class ControlGuard;
    friend class AnswerProgress;

    beast::tcp_stream *stream_ = nullptr;
    Model::SteadyTime receivedAt_ = Model::distantPast;
    bool isCancelled_ = false;
};

enum class AnswerLength {
    Stated,
    /// The answer is chunked, or ends where its connection is closed.
    Unstated,
};

/// The destination and limits of an exchange.
struct ExchangeOptions
{
    Model::Address address_;
    Model::SteadyTime deadline_;
    /// If above zero, the deadline holds only until the answer begins; after that the exchange goes
    /// on while bytes arrive at intervals of at most this time, up to maxTransferTime_.
    ///
    /// Without it, an answer that takes longer than its deadline on a narrow link is requested from
    /// its first byte again and again, and never arrives.
    Model::Milliseconds maxSilence_{0};
    Model::Milliseconds maxTransferTime_{20000};
    Model::Milliseconds connectTimeout_{500};
    /// Idle connections unused for longer are not reused; zero forces a new connection.
    Model::Milliseconds maxIdle_{10000};
    std::size_t connectionLimit_ = 64;
    std::size_t answerLimitBytes_ = 64 * 1024 * 1024;
    /// The same for an answer that states no length, which may have no end.
    std::size_t unstatedAnswerLimitBytes_ = 64 * 1024 * 1024;
    /// The local IP address to connect from; empty leaves the choice to the system.
    std::string sourceHost_;
    /// Accepts an answer without a length, which ends where its connection is closed. An answer
    /// whose connection is reset is never accepted.
    bool acceptsUnframed_ = false;
    /// The number of interim answers and answers to other requests that may be dropped before the
    /// matching one. With zero, the first such answer closes the connection.
    int maxForeignAnswers_ = 0;
    /// Called with the memory that each further part of the answer takes before it is kept, with
    /// that of the whole answer where it states its length. If it returns false, the answer is not
    /// read on.
    std::function<bool(std::size_t bytes, AnswerLength length)> holdAnswer_;
    /// If set, outlives the exchange.
    ExchangeControl *control_ = nullptr;
    /// Called on an established connection just before the first byte is sent: if it returns false,
    /// nothing is sent and the connection stays open. While a long body is being sent, it is called
    /// every maySendInterval_; once it has returned false for withdrawalTimeout_, the connection is
    /// closed.
    std::function<bool()> maySend_;
    Model::Milliseconds maySendInterval_{100};
    Model::Milliseconds withdrawalTimeout_{200};
    /// Called just before the first byte is sent, after maySend_.
    std::function<void()> onFirstByte_;
};

struct ExchangeResult
{
    ExchangeStage stage_ = ExchangeStage::NotConnected;
    /// The reason why there is no answer; Ok if there is one.
    Model::ResultCode code_ = Model::ResultCode::Ok;
    std::optional<Response> answer_;
    /// Of an answer that is missing its end: the bytes of its body that have arrived.
    std::size_t receivedBytes_ = 0;
    bool isNewConnection_ = false;
    /// The time to establish a new connection; zero for a reused one.
    Model::Microseconds connectDuration_{0};
    /// How long a reused connection had been idle; zero for a new one.
    Model::Milliseconds idleTime_{0};
    /// The time from the start of sending to the end of the exchange.
    Model::Microseconds sinceSent_{0};
    /// The number of answers to other requests that were dropped.
    int foreignAnswers_ = 0;
    /// The connection was refused because nothing listens at the address.
    bool isRefused_ = false;
    /// ExchangeOptions::holdAnswer_ returned false: nothing is wrong with the target.
    bool isAnswerNotHeld_ = false;
    /// ExchangeOptions::maySend_ returned false before the request was sent completely.
    bool isWithdrawn_ = false;
};

/// Returns whether an answer belongs to a request.
using AnswerCheck = std::function<bool(const RequestHead &, const Response &)>;

/// Sends \a request and reads the answer, with one request in progress on a connection at a time.
///
/// A connection that failed in any way is closed, so that a late answer on it can never be
/// considered the answer to a later request. A complete answer for which \a isOwnAnswer returns
/// false is dropped, as is an interim one; if no other one follows, the code is ForeignAnswer. An
/// answer that is not valid HTTP is dropped with the code MalformedAnswer. Thread safety: the pool
/// belongs to the calling thread.
Task<ExchangeResult> exchange(ConnectionPool &pool, const ExchangeOptions &options,
                              const Request &request, const AnswerCheck &isOwnAnswer);
Task<ExchangeResult> exchange(ConnectionPool &pool, const ExchangeOptions &options,
                              const RequestView &request, const AnswerCheck &isOwnAnswer);

/// Opens a connection to options.address_ and keeps it idle in \a pool, so that a later request
/// need not wait for it. Returns whether it succeeded. Thread safety: as exchange().
Task<bool> prepareConnection(ConnectionPool &pool, const ExchangeOptions &options);

/// Whether a process listens at an address.
enum class Listening {
    Yes,
    /// The remote system refused the connection.
    No,
    /// There was no reply, or the connection limit was reached.
    Unknown,
};

/// Probes with a new connection whether a process listens at options.address_. A connection that
/// succeeds is kept idle in \a pool. Thread safety: as exchange().
Task<Listening> checkListener(ConnectionPool &pool, const ExchangeOptions &options);

/// Accepts every answer, for peers whose answers carry no request id. Thread safety: any thread.
bool acceptAnyAnswer(const RequestHead &request, const Response &answer);

/// Disables Nagle's algorithm and sets TCP_USER_TIMEOUT, which ends a connection whose data is not
/// acknowledged.
void tuneSocket(tcp::socket &socket);

} // namespace Http
