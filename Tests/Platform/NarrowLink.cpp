#include "NarrowLink.h"

namespace PlatformStandIns {

using Http::ErrorCode;
using Http::Task;
using Http::tcp;

namespace {

constexpr std::size_t chunkBytes = 8 * 1024;

} // namespace

NarrowLink::NarrowLink(std::size_t bytesPerSecond)
    : bytesPerSecond_(bytesPerSecond)
    , work_(Http::asio::make_work_guard(context_))
    , thread_([this] {
        context_.run();
    })
{
}

NarrowLink::~NarrowLink()
{
    context_.stop();
    thread_.join();
}

Model::Address NarrowLink::to(const Model::Address &target)
{
    const tcp::endpoint anyPort{Http::asio::ip::make_address("127.0.0.1"), 0};
    auto acceptor = std::make_shared<tcp::acceptor>(context_, anyPort);
    const Model::Address address{"127.0.0.1", acceptor->local_endpoint().port()};
    Http::asio::co_spawn(context_, acceptLoop(std::move(acceptor), target), Http::asio::detached);
    return address;
}

Task<void> NarrowLink::acceptLoop(std::shared_ptr<tcp::acceptor> acceptor, Model::Address target)
{
    while (true) {
        ErrorCode error;
        auto near = std::make_shared<tcp::socket>(co_await acceptor->async_accept(
            Http::asio::redirect_error(Http::asio::use_awaitable, error)));
        if (error)
            continue;
        auto far = std::make_shared<tcp::socket>(context_);
        co_await far->async_connect(Http::endpointOf(target),
                                    Http::asio::redirect_error(Http::asio::use_awaitable, error));
        if (error)
            continue;
        Http::asio::co_spawn(context_, forward(near, far, false), Http::asio::detached);
        Http::asio::co_spawn(context_, forward(far, near, true), Http::asio::detached);
    }
}

Task<void> NarrowLink::forward(Socket from, Socket to, bool isNarrow)
{
    std::string chunk(chunkBytes, '\0');
    ErrorCode error;
    while (!error) {
        const std::size_t length = co_await from->async_read_some(
            Http::asio::buffer(chunk),
            Http::asio::redirect_error(Http::asio::use_awaitable, error));
        if (error)
            break;
        if (isNarrow) {
            const auto transfer = std::chrono::duration<double>(
                static_cast<double>(length) / static_cast<double>(bytesPerSecond_));
            freeAt_ = std::max(freeAt_, std::chrono::steady_clock::now())
                      + std::chrono::duration_cast<Model::SteadyTime::duration>(transfer);
            co_await Http::sleepUntil(freeAt_);
            received_ += length;
        }
        co_await Http::asio::async_write(
            *to, Http::asio::buffer(chunk, length),
            Http::asio::redirect_error(Http::asio::use_awaitable, error));
    }
    ErrorCode ignored;
    from->close(ignored);
    to->close(ignored);
}

} // namespace PlatformStandIns
