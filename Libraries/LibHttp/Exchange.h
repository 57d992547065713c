#pragma once

#include "ConnectionPool.h"

#include <functional>
#include <optional>

namespace Http {

/// How far an exchange came before it ended.
enum class ExchangeStage {
    /// No connection: no byte of the request can have left.
    NotConnected,
    /// A byte of the request may have left, and no complete answer came back.
    Sent,
    /// A complete answer came back.
    Answered,
};

/// Lets someone else end an exchange that is in progress. Belongs to the exchange's thread.
class ExchangeControl
{
public:
    /// Ends the exchange; its connection is closed, which cancels the work of most targets.
    void cancel();
    bool isCancelled() const { return isCancelled_; }

private:
    friend class ControlGuard;

    beast::tcp_stream *stream_ = nullptr;
    bool isCancelled_ = false;
};

/// Where and within which limits to exchange one request for one answer.
struct ExchangeOptions
{
    Model::Address address_;
    Model::SteadyTime deadline_;
    Model::Milliseconds connectTimeout_{500};
    /// Zero asks for a new connection.
    Model::Milliseconds longestIdle_{10000};
    std::size_t connectionLimit_ = 64;
    std::size_t answerLimitBytes_ = 64 * 1024 * 1024;
    /// The IP number to connect from; empty leaves the choice to the system.
    std::string sourceHost_;
    /// Takes an answer without a length that ends with its connection. One that is reset is never
    /// taken.
    bool takesUnframed_ = false;
    /// How many answers to other requests may be dropped in front of the right one. Zero closes the
    /// connection at the first.
    int foreignAnswersSkipped_ = 0;
    /// If set, outlives the exchange.
    ExchangeControl *control_ = nullptr;
    /// Asked once there is a connection, just before the first byte is sent: if it says no, nothing
    /// is sent and the connection is kept. While a long body is being sent it is asked again each
    /// watchPeriod_; once it has said no for sendPatience_, the connection is closed.
    std::function<bool()> maySend_;
    Model::Milliseconds watchPeriod_{100};
    Model::Milliseconds sendPatience_{200};
    /// Called when the first byte is about to be sent.
    std::function<void()> sends_;
};

struct ExchangeResult
{
    ExchangeStage stage_ = ExchangeStage::NotConnected;
    /// Why there is no answer; Ok if there is one.
    Model::ResultCode code_ = Model::ResultCode::Ok;
    std::optional<Response> answer_;
    bool isNewConnection_ = false;
    /// How long a new connection took to be made; zero for a kept one.
    Model::Microseconds connectTook_{0};
    /// Answers to other requests that were dropped on the way.
    int foreignAnswers_ = 0;
    /// No connection could be made since nothing listens at the address.
    bool isRefused_ = false;
    /// ExchangeOptions::maySend_ said no, before the first byte or before the last.
    bool isWithdrawn_ = false;
};

/// Tells whether an answer belongs to a request.
using AnswerCheck = std::function<bool(const Request &, const Response &)>;

/// Sends \a request and reads the answer, with one request in progress on a connection at a time.
///
/// A connection that failed in any way is closed, so that a late answer on it can never be taken
/// for the answer to a later request. \a isOwnAnswer is asked about a complete answer; if it says
/// no, the answer is dropped; without another one the code is ForeignAnswer. Thread safety: the
/// pool belongs to the calling thread.
Task<ExchangeResult> exchange(ConnectionPool &pool, const ExchangeOptions &options,
                              const Request &request, const AnswerCheck &isOwnAnswer);

/// Opens a connection to options.address_ and keeps it idle in \a pool, so that a later request
/// need not wait for it. Returns whether it did. Thread safety: as exchange().
Task<bool> prepareConnection(ConnectionPool &pool, const ExchangeOptions &options);

/// Whether something listens at an address.
enum class Listening {
    Yes,
    /// The other end's system says that nothing does.
    No,
    /// Nobody answered, or no connection was free to ask with.
    Unknown,
};

/// Asks whether something listens at options.address_, with a new connection; one that is made is
/// kept idle in \a pool. Thread safety: as exchange().
Task<Listening> knock(ConnectionPool &pool, const ExchangeOptions &options);

/// For peers whose answers carry no request id. Thread safety: any thread.
bool anyAnswer(const Request &request, const Response &answer);

/// Sets what every connection of ours needs: no delay, and an end to unanswered sending.
void tuneSocket(tcp::socket &socket);

} // namespace Http
