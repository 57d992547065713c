#include "Link.h"

#include <future>
#include <unistd.h>

namespace PlatformStandIns {

using Http::ErrorCode;
using Http::Task;
using Http::tcp;

namespace {

constexpr std::size_t chunkBytes = 8 * 1024;
/// The system queues one connection more than asked for.
constexpr int silentBacklog = 0;
constexpr int connectionsThatFillTheQueue = 2;

/// Returns a loopback address of this process alone: while a link is down, its ports are free, and
/// another process would use them for its connections.
std::string linkHost()
{
    const int process = static_cast<int>(getpid());
    return "127.9." + std::to_string(process / 250 % 250) + "." + std::to_string(1 + process % 250);
}

} // namespace

Link::Link(std::size_t bytesPerSecond)
    : bytesPerSecond_(bytesPerSecond)
    , work_(Http::asio::make_work_guard(context_))
    , thread_([this] {
        context_.run();
    })
{
}

Link::~Link()
{
    context_.stop();
    thread_.join();
}

void Link::runOnThread(const std::function<void()> &work)
{
    std::promise<void> done;
    Http::asio::post(context_, [&] {
        work();
        done.set_value();
    });
    done.get_future().wait();
}

Model::Address Link::to(const Model::Address &target)
{
    Model::Address address;
    runOnThread([&] {
        Door &door = doors_.emplace_back();
        door.target_ = target;
        door.endpoint_ = {Http::asio::ip::make_address(linkHost()), 0};
        open(door);
        door.endpoint_ = door.acceptor_->local_endpoint();
        address = {linkHost(), door.endpoint_.port()};
    });
    return address;
}

void Link::setState(LinkState state)
{
    runOnThread([&] {
        state_ = state;
        ErrorCode ignored;
        if (state == LinkState::Silent) {
            ++silences_;
        } else if (state == LinkState::Refusing) {
            for (const auto &socket : sockets_) {
                if (const auto open = socket.lock())
                    open->close(ignored);
            }
        }
        for (auto &door : doors_) {
            door.queued_.clear();
            door.acceptor_->close(ignored);
            if (state == LinkState::Open)
                open(door);
            if (state == LinkState::Silent)
                openSilently(door);
        }
    });
}

void Link::open(Door &door)
{
    door.acceptor_ = std::make_shared<tcp::acceptor>(context_, door.endpoint_);
    Http::asio::co_spawn(context_, acceptLoop(door.acceptor_, door.target_), Http::asio::detached);
}

/// The system drops the first packet of a connection to a full queue, so the connection hangs.
void Link::openSilently(Door &door)
{
    door.acceptor_ = std::make_shared<tcp::acceptor>(context_);
    door.acceptor_->open(door.endpoint_.protocol());
    door.acceptor_->set_option(Http::asio::socket_base::reuse_address(true));
    door.acceptor_->bind(door.endpoint_);
    door.acceptor_->listen(silentBacklog);
    for (int i = 0; i < connectionsThatFillTheQueue; ++i) {
        auto socket = std::make_shared<tcp::socket>(context_);
        socket->async_connect(door.endpoint_, [socket](const ErrorCode &) {});
        door.queued_.push_back(std::move(socket));
    }
}

Task<void> Link::acceptLoop(std::shared_ptr<tcp::acceptor> acceptor, Model::Address target)
{
    while (acceptor->is_open()) {
        ErrorCode error;
        auto near = std::make_shared<tcp::socket>(co_await acceptor->async_accept(
            Http::asio::redirect_error(Http::asio::use_awaitable, error)));
        if (error)
            continue;
        auto far = std::make_shared<tcp::socket>(context_);
        co_await far->async_connect(Http::endpointOf(target),
                                    Http::asio::redirect_error(Http::asio::use_awaitable, error));
        if (error || state_ != LinkState::Open)
            continue;
        std::erase_if(sockets_, [](const auto &socket) {
            return socket.expired();
        });
        sockets_.push_back(near);
        sockets_.push_back(far);
        Http::asio::co_spawn(context_, forward(near, far, false, silences_), Http::asio::detached);
        Http::asio::co_spawn(context_, forward(far, near, true, silences_), Http::asio::detached);
    }
}

Task<void> Link::forward(Socket from, Socket to, bool isNarrow, std::uint64_t silences)
{
    std::string chunk(chunkBytes, '\0');
    ErrorCode error;
    while (!error) {
        const std::size_t length = co_await from->async_read_some(
            Http::asio::buffer(chunk),
            Http::asio::redirect_error(Http::asio::use_awaitable, error));
        // A hanging connection does not forward the close of the other end either.
        if (silences != silences_) {
            if (error)
                co_return;
            continue;
        }
        if (error)
            break;
        if (isNarrow && bytesPerSecond_ > 0) {
            const auto transfer = std::chrono::duration<double>(
                static_cast<double>(length) / static_cast<double>(bytesPerSecond_));
            freeAt_ = std::max(freeAt_, std::chrono::steady_clock::now())
                      + std::chrono::duration_cast<Model::SteadyTime::duration>(transfer);
            co_await Http::sleepUntil(freeAt_);
        }
        received_ += isNarrow ? length : 0;
        co_await Http::asio::async_write(
            *to, Http::asio::buffer(chunk, length),
            Http::asio::redirect_error(Http::asio::use_awaitable, error));
    }
    ErrorCode ignored;
    from->close(ignored);
    to->close(ignored);
}

} // namespace PlatformStandIns
