#pragma once

#include <LibHttp/LibHttp.h>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace Harness {

/// A target that answers each request with a beginning and a part that it repeats until the
/// connection closes. It ends when all connections to it have closed. Thread safety: any thread.
class EndlessTarget
{
public:
    /// Listens at a free port of the loopback address, or at \a address.
    EndlessTarget(std::string beginning, const std::string &repeated,
                  const Model::Address &address = {"127.0.0.1", 0})
        : beginning_(std::move(beginning))
        , acceptor_(context_, Http::endpointOf(address))
    {
        while (part_.size() < 65536)
            part_ += repeated;
        thread_ = std::thread([this] {
            run();
        });
    }

    ~EndlessTarget()
    {
        isStopping_ = true;
        Http::ErrorCode ignored;
        Http::tcp::socket(context_).connect(acceptor_.local_endpoint(), ignored);
        thread_.join();
        for (auto &connection : connections_)
            connection.join();
    }
    EndlessTarget(const EndlessTarget &) = delete;
    EndlessTarget &operator=(const EndlessTarget &) = delete;

    Model::Address address() const
    {
        const auto endpoint = acceptor_.local_endpoint();
        return {endpoint.address().to_string(), endpoint.port()};
    }
    int requests() const { return requests_; }

private:
    /// What is sent on a connection at the most, so that a test ends where nothing stops it.
    static constexpr std::size_t maxSentBytes = std::size_t(64) * 1024 * 1024;

    void run()
    {
        while (!isStopping_) {
            auto socket = std::make_shared<Http::tcp::socket>(context_);
            acceptor_.accept(*socket);
            connections_.emplace_back([this, socket] {
                answer(*socket);
            });
        }
    }

    void answer(Http::tcp::socket &socket)
    {
        char buffer[4096];
        Http::ErrorCode error;
        if (socket.read_some(Http::asio::buffer(buffer), error) == 0)
            return;
        ++requests_;
        Http::asio::write(socket, Http::asio::buffer(beginning_), error);
        std::size_t sent = 0;
        while (!error && sent < maxSentBytes && !isStopping_)
            sent += Http::asio::write(socket, Http::asio::buffer(part_), error);
        socket.read_some(Http::asio::buffer(buffer), error);
    }

    const std::string beginning_;
    std::string part_;
    Http::asio::io_context context_;
    Http::tcp::acceptor acceptor_;
    std::atomic<bool> isStopping_{false};
    std::atomic<int> requests_{0};
    std::vector<std::thread> connections_;
    std::thread thread_;
};

} // namespace Harness
