#pragma once

#include <LibHttp/LibHttp.h>

#include <atomic>
#include <deque>
#include <functional>
#include <memory>
#include <stdexcept>
#include <string>

namespace Support {

/// What a peer sends for one request before it closes the connection.
struct RawAnswer
{
    std::string bytes_;
    Model::Milliseconds delay_{0};
};

/// Returns what a peer sends for a request.
using RawHandler = std::function<RawAnswer(const Http::Request &)>;

/// Returns a handler that sends \a answers in turn and repeats the last one. Copies of it share the
/// turn.
inline RawHandler inTurn(std::deque<RawAnswer> answers)
{
    return [answers
            = std::make_shared<std::deque<RawAnswer>>(std::move(answers))](const Http::Request &) {
        RawAnswer next = answers->front();
        if (answers->size() > 1)
            answers->pop_front();
        return next;
    };
}

/// A peer on the thread of an io_context that answers requests with bytes that need not be HTTP,
/// and closes the connection behind each answer.
class RawPeer
{
public:
    /// Listens at a free port of the loopback address, or at \a address.
    RawPeer(Http::asio::io_context &context, RawHandler handler,
            const Model::Address &address = {"127.0.0.1", 0})
        : state_(std::make_shared<State>(context, std::move(handler), address))
    {
        Http::asio::co_spawn(context, accept(state_), Http::asio::detached);
    }
    ~RawPeer()
    {
        Http::ErrorCode ignored;
        state_->acceptor_.close(ignored);
    }
    RawPeer(const RawPeer &) = delete;
    RawPeer &operator=(const RawPeer &) = delete;

    Model::Address address() const
    {
        const auto endpoint = state_->acceptor_.local_endpoint();
        return {endpoint.address().to_string(), endpoint.port()};
    }
    int requests() const { return state_->requests_; }

private:
    struct State
    {
        State(Http::asio::io_context &context, RawHandler handler, const Model::Address &address)
            : handler_(std::move(handler))
            , acceptor_(context, Http::endpointOf(address))
        {
        }

        RawHandler handler_;
        Http::tcp::acceptor acceptor_;
        std::atomic<int> requests_{0};
    };

    static Http::Task<void> accept(std::shared_ptr<State> state)
    {
        while (state->acceptor_.is_open()) {
            Http::ErrorCode error;
            Http::tcp::socket socket = co_await state->acceptor_.async_accept(
                Http::asio::redirect_error(Http::asio::use_awaitable, error));
            if (!error) {
                Http::asio::co_spawn(state->acceptor_.get_executor(),
                                     answer(state, std::move(socket)), Http::asio::detached);
            }
        }
    }

    static Http::Task<void> answer(std::shared_ptr<State> state, Http::tcp::socket socket)
    {
        Http::ErrorCode error;
        Http::beast::flat_buffer buffer;
        Http::Request request;
        co_await Http::http::async_read(
            socket, buffer, request, Http::asio::redirect_error(Http::asio::use_awaitable, error));
        if (error)
            co_return;
        ++state->requests_;
        const RawAnswer next = state->handler_(request);
        if (next.delay_.count() > 0) {
            co_await Http::sleepFor(next.delay_);
        }
        co_await Http::asio::async_write(
            socket, Http::asio::buffer(next.bytes_),
            Http::asio::redirect_error(Http::asio::use_awaitable, error));
    }

    std::shared_ptr<State> state_;
};

/// Runs \a context until \a task has ended, and returns its result. Throws if nothing happens for
/// five seconds.
template <typename Result>
Result resultOf(Http::asio::io_context &context, Http::Task<Result> task)
{
    Result result{};
    bool hasEnded = false;
    const auto run = [&]() -> Http::Task<void> {
        result = co_await std::move(task);
        hasEnded = true;
    };
    Http::asio::co_spawn(context, run(), Http::asio::detached);
    while (!hasEnded) {
        if (context.run_one_for(Model::Milliseconds(5000)) == 0)
            throw std::runtime_error("a coroutine does not end");
    }
    return result;
}

} // namespace Support
