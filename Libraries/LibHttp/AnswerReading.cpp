#include "AnswerReading.h"

#include <algorithm>
#include <string_view>

namespace Http {

using Model::ResultCode;

/// Extends the deadline of an exchange while its answer arrives.
class AnswerProgress
{
public:
    AnswerProgress(Connection &connection, const ExchangeOptions &options)
        : connection_(connection)
        , options_(options)
        , endAt_(std::chrono::steady_clock::now() + options.maxTransferTime_)
    {
    }

    /// Records that bytes of the answer have arrived.
    void noteReceived()
    {
        const auto now = std::chrono::steady_clock::now();
        if (options_.control_)
            options_.control_->receivedAt_ = now;
        if (options_.maxSilence_.count() > 0)
            connection_.stream_.expires_at(std::min(now + options_.maxSilence_, endAt_));
    }

private:
    Connection &connection_;
    const ExchangeOptions &options_;
    const Model::SteadyTime endAt_;
};

namespace {

ResultCode codeOf(const ErrorCode &error)
{
    if (error == beast::error::timeout)
        return ResultCode::TargetTimeout;
    if (error == http::error::partial_message)
        return ResultCode::TruncatedAnswer;
    const ErrorCode parseError = http::error::bad_status;
    if (error.category() == parseError.category() && error != http::error::end_of_stream)
        return ResultCode::MalformedAnswer;
    return ResultCode::TargetConnectionLost;
}

/// Returns whether an answer's status may be passed on (RFC 9110, section 15). No request asks for
/// another protocol, so an answer that switches to one is not valid either.
bool hasValidStatus(const Response &answer)
{
    const unsigned status = answer.result_int();
    return status >= 100 && status <= 599 && answer.result() != http::status::switching_protocols;
}

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view headEnd = "\r\n\r\n";
constexpr std::size_t maxHeadBytes = 8192;
constexpr std::size_t headReadBytes = 4096;

std::string_view bufferedText(const Connection &connection)
{
    const auto bytes = connection.buffer_.data();
    return {static_cast<const char *>(bytes.data()), bytes.size()};
}

/// Receives until the buffer of \a connection begins with the whole head of an answer.
Task<ErrorCode> receiveHead(Connection &connection)
{
    std::size_t searched = 0;
    while (bufferedText(connection).find(headEnd, searched) == std::string_view::npos) {
        const std::size_t buffered = connection.buffer_.size();
        if (buffered >= maxHeadBytes)
            co_return http::error::header_limit;
        searched = buffered - std::min(buffered, headEnd.size() - 1);
        ErrorCode error;
        const auto space = connection.buffer_.prepare(headReadBytes);
        const std::size_t received = co_await connection.stream_.async_read_some(
            space, asio::redirect_error(asio::use_awaitable, error));
        connection.buffer_.commit(received);
        if (error == asio::error::eof)
            co_return buffered == 0 ? http::error::end_of_stream : http::error::partial_message;
        if (error)
            co_return error;
    }
    co_return ErrorCode();
}

/// Returns whether a line of the head at the start of \a text begins with a blank.
///
/// The parser appends such a line to the value before it, as was once allowed (RFC 9112, section
/// 5.2). A field with a blank before its name would so be passed on within another one, and its
/// length would not count.
bool hasFoldedLine(std::string_view text)
{
    const std::size_t size = text.find(headEnd);
    for (auto at = text.find(lineEnd); at < size; at = text.find(lineEnd, at + lineEnd.size())) {
        const char first = text[at + lineEnd.size()];
        if (first == ' ' || first == '\t')
            return true;
    }
    return false;
}

/// An answer without a length ends where the connection is closed, so a truncated one looks
/// complete.
bool hasLength(const http::response_parser<http::string_body> &parser)
{
    const auto status = parser.get().result();
    const bool isBodyless
        = status == http::status::no_content || status == http::status::not_modified;
    return isBodyless || parser.chunked() || parser.content_length().has_value();
}

/// Asks to hold an answer's bytes beyond the \a held ones, up to \a bytes.
bool holdUpTo(const ExchangeOptions &options, std::size_t &held, std::size_t bytes,
              AnswerLength length)
{
    if (!options.holdAnswer_ || bytes <= held)
        return true;
    const std::size_t more = bytes - held;
    held = bytes;
    return options.holdAnswer_(more, length);
}

} // namespace

ExchangeResult failedExchange(ResultCode code)
{
    ExchangeResult result;
    result.stage_ = ExchangeStage::Sent;
    result.code_ = code;
    return result;
}

ExchangeResult failedExchange(const ErrorCode &error)
{
    return failedExchange(codeOf(error));
}

Task<ExchangeResult> readAnswer(Connection &connection, const ExchangeOptions &options)
{
    http::response_parser<http::string_body> parser;
    parser.body_limit(options.answerLimitBytes_);
    parser.header_limit(maxHeadBytes);
    ErrorCode error = co_await receiveHead(connection);
    if (error)
        co_return failedExchange(error);
    const bool isFolded = hasFoldedLine(bufferedText(connection));
    connection.buffer_.consume(parser.put(connection.buffer_.data(), error));
    if (error)
        co_return failedExchange(error);
    if (isFolded || !hasValidStatus(parser.get()))
        co_return failedExchange(ResultCode::MalformedAnswer);
    if (!options.acceptsUnframed_ && !hasLength(parser))
        co_return failedExchange(ResultCode::TruncatedAnswer);
    // The parser adds trailer fields to those of the head, which they must not change (RFC 9110,
    // section 6.5.1).
    std::optional<http::response_header<>> head;
    if (parser.chunked())
        head = parser.get().base();
    AnswerProgress progress(connection, options);
    std::size_t heldBytes = 0;
    const auto stated = parser.content_length();
    const AnswerLength length = stated ? AnswerLength::Stated : AnswerLength::Unstated;
    // The parser allocates a body of known length at once. One of unknown length is copied when it
    // grows, and then takes its size twice.
    bool isHeld
        = stated ? holdUpTo(options, heldBytes, static_cast<std::size_t>(*stated), length) : true;
    if (!stated)
        parser.body_limit(std::min(options.answerLimitBytes_, options.unstatedAnswerLimitBytes_));
    while (isHeld && !error && !parser.is_done()) {
        progress.noteReceived();
        co_await http::async_read_some(connection.stream_, connection.buffer_, parser,
                                       asio::redirect_error(asio::use_awaitable, error));
        if (!stated)
            isHeld = holdUpTo(options, heldBytes, 2 * parser.get().body().size(), length);
    }
    if (!isHeld) {
        auto result = failedExchange(ResultCode::TruncatedAnswer);
        result.isAnswerNotHeld_ = true;
        co_return result;
    }
    if (error) {
        const bool isCut = error != beast::error::timeout;
        auto result
            = failedExchange(isCut ? ResultCode::TruncatedAnswer : ResultCode::TargetTimeout);
        result.receivedBytes_ = parser.get().body().size();
        co_return result;
    }
    ExchangeResult result;
    result.stage_ = ExchangeStage::Answered;
    result.answer_ = parser.release();
    if (head)
        result.answer_->base() = std::move(*head);
    co_return result;
}

} // namespace Http
