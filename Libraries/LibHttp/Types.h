#pragma once

// Boost 1.74 uses std::exchange in asio/awaitable.hpp without including <utility> under C++20.
#include <utility>

#include <LibModel/LibModel.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace Http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;
using RequestHead = http::request_header<>;
/// A request whose body belongs to another object, which must outlive it.
using RequestView = http::request<http::span_body<const char>>;

/// Returns a copy of the head of \a request with a view of its body. Thread safety: any thread.
inline RequestView viewOf(const Request &request)
{
    const RequestHead &head = request;
    return RequestView(head, request.body().data(), request.body().size());
}

/// A coroutine that runs on the io_context of the thread that started it.
template <typename Result>
using Task = asio::awaitable<Result>;

/// Returns the Asio form of \a address.
///
/// Precondition: \a address came from Model::addressFromText(). Thread safety: any thread.
inline tcp::endpoint endpointOf(const Model::Address &address)
{
    return {asio::ip::make_address(address.host_), address.port_};
}

/// Waits until \a time on the calling coroutine's io_context.
inline Task<void> sleepUntil(Model::SteadyTime time)
{
    asio::steady_timer timer(co_await asio::this_coro::executor);
    timer.expires_at(time);
    ErrorCode error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
}

/// Waits for \a duration on the calling coroutine's io_context.
inline Task<void> sleepFor(Model::Milliseconds duration)
{
    const Model::SteadyTime until = std::chrono::steady_clock::now() + duration;
    co_await sleepUntil(until);
}

} // namespace Http
