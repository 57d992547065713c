#pragma once

#include <LibHttp/LibHttp.h>
#include <LibModel/LibModel.h>

#include <thread>

namespace PlatformStandIns {

/// A link of limited bandwidth: forwards connections, and everything that they receive shares its
/// rate.
///
/// Thread safety: none; its own thread forwards.
class NarrowLink
{
public:
    explicit NarrowLink(std::size_t bytesPerSecond);
    ~NarrowLink();
    NarrowLink(const NarrowLink &) = delete;
    NarrowLink &operator=(const NarrowLink &) = delete;

    /// Returns an address at which connections to \a target are accepted.
    Model::Address to(const Model::Address &target);
    /// Returns the bytes that were received over the link. Thread safety: any thread.
    std::size_t received() const { return received_; }

private:
    using Socket = std::shared_ptr<Http::tcp::socket>;

    Http::Task<void> acceptLoop(std::shared_ptr<Http::tcp::acceptor> acceptor,
                                Model::Address target);
    Http::Task<void> forward(Socket from, Socket to, bool isNarrow);

    const std::size_t bytesPerSecond_;
    Http::asio::io_context context_{1};
    Http::asio::executor_work_guard<Http::asio::io_context::executor_type> work_;
    /// When the link has carried everything that was put on it.
    Model::SteadyTime freeAt_;
    std::atomic<std::size_t> received_{0};
    std::thread thread_;
};

} // namespace PlatformStandIns
