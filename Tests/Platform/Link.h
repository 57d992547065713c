#pragma once

#include <LibHttp/LibHttp.h>
#include <LibModel/LibModel.h>

#include <atomic>
#include <functional>
#include <list>
#include <thread>

namespace PlatformStandIns {

/// The state of a link.
enum class LinkState {
    Open,
    /// Connections are reset, and new ones refused.
    Refusing,
    /// Connections hang, new ones too.
    Silent,
};

/// A link that forwards connections, with a limited bandwidth and partitions.
///
/// Thread safety: none; its own thread forwards.
class Link
{
public:
    /// What is received over the link shares \a bytesPerSecond; zero means no limit.
    explicit Link(std::size_t bytesPerSecond = 0);
    ~Link();
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    /// Returns an address at which connections to \a target are accepted.
    Model::Address to(const Model::Address &target);
    /// Changes the state; open connections of a silent link stay silent.
    void setState(LinkState state);
    /// Returns the bytes that were received over the link. Thread safety: any thread.
    std::size_t received() const { return received_; }

private:
    using Socket = std::shared_ptr<Http::tcp::socket>;

    /// One address of the link.
    struct Door
    {
        Model::Address target_;
        Http::tcp::endpoint endpoint_;
        std::shared_ptr<Http::tcp::acceptor> acceptor_;
        /// Fill the queue of connections that a silent link does not accept.
        std::vector<Socket> queued_;
    };

    void runOnThread(const std::function<void()> &work);
    void open(Door &door);
    void openSilently(Door &door);
    Http::Task<void> acceptLoop(std::shared_ptr<Http::tcp::acceptor> acceptor,
                                Model::Address target);
    Http::Task<void> forward(Socket from, Socket to, bool isNarrow, std::uint64_t silences);

    const std::size_t bytesPerSecond_;
    Http::asio::io_context context_{1};
    Http::asio::executor_work_guard<Http::asio::io_context::executor_type> work_;
    LinkState state_ = LinkState::Open;
    /// Connections that were open in a silent period stay silent.
    std::uint64_t silences_ = 0;
    std::list<Door> doors_;
    std::vector<std::weak_ptr<Http::tcp::socket>> sockets_;
    /// When the link has carried everything that was put on it.
    Model::SteadyTime freeAt_;
    std::atomic<std::size_t> received_{0};
    std::thread thread_;
};

} // namespace PlatformStandIns
