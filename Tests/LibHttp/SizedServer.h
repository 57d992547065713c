#pragma once

#include <LibHttp/LibHttp.h>
#include <boost/asio/read_until.hpp>

#include <future>
#include <thread>

namespace HttpStandIns {

using Http::tcp;
using Model::Milliseconds;
using Model::ResultCode;

constexpr std::size_t megabyte = 1024 * 1024;

/// A server on a separate thread whose answers have as many bytes as the path says.
class SizedServer
{
public:
    explicit SizedServer(std::size_t byteLimit, std::size_t connectionLimit = 1000)
        : server_(context_, limits(), [this](Http::IncomingRequest request) {
            return answer(std::move(request));
        })
    {
        Http::ServerBounds bounds;
        bounds.mayHold_ = [this, byteLimit](std::size_t more) {
            return server_.heldBytes() + more <= byteLimit;
        };
        bounds.mayOpen_ = [this, connectionLimit] {
            return server_.openSessions() < connectionLimit;
        };
        bounds.onRefused_ = [this](ResultCode code) {
            refused_.push_back(code);
        };
        bounds.lingeringRefusals_ = 3;
        server_.setBounds(bounds);
        for (std::uint16_t port = 23000; port < 24000; ++port) {
            address_ = {"127.0.0.1", port};
            tcp::acceptor probe(context_);
            Http::ErrorCode error;
            probe.open(tcp::v4(), error);
            probe.bind(Http::endpointOf(address_), error);
            if (error)
                continue;
            probe.close();
            if (server_.listen(address_))
                break;
        }
        thread_ = std::thread([this] {
            context_.run();
        });
    }

    ~SizedServer()
    {
        context_.stop();
        thread_.join();
    }

    static Http::ServerLimits limits()
    {
        Http::ServerLimits limits;
        limits.idle_ = Milliseconds(20000);
        limits.request_ = Milliseconds(20000);
        limits.pipelineDepth_ = 16;
        return limits;
    }

    Http::Task<Http::Response> answer(Http::IncomingRequest request)
    {
        ++handled_;
        const std::string path(request.message_.target());
        if (keepsRequests_)
            kept_.push_back(request);
        std::string body(std::stoul("0" + path.substr(1)), 'x');
        co_return Http::textAnswer(Http::http::status::ok, "text/plain", std::move(body), 11);
    }

    /// Returns what \a read returns on the server's thread.
    template <typename Read>
    std::size_t ask(Read read)
    {
        std::promise<std::size_t> result;
        Http::asio::post(context_, [&] {
            result.set_value(read());
        });
        return result.get_future().get();
    }
    std::size_t held()
    {
        return ask([this] {
            return server_.heldBytes();
        });
    }
    std::size_t handled()
    {
        return ask([this] {
            return handled_;
        });
    }
    std::size_t sessions()
    {
        return ask([this] {
            return server_.openSessions();
        });
    }
    /// Waits until \a isTrue, for at most 5 s.
    template <typename Condition>
    static bool waitUntil(Condition isTrue)
    {
        const auto end = std::chrono::steady_clock::now() + Milliseconds(5000);
        while (!isTrue() && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(Milliseconds(2));
        return isTrue();
    }

    Http::asio::io_context context_{1};
    Http::Server server_;
    Model::Address address_;
    std::size_t handled_ = 0;
    bool keepsRequests_ = false;
    std::vector<Http::IncomingRequest> kept_;
    std::vector<ResultCode> refused_;
    std::thread thread_;
};

/// A caller whose receive buffer is small, so that unread answers wait at the server.
class Caller
{
public:
    explicit Caller(const SizedServer &server)
    {
        socket_.open(tcp::v4());
        socket_.set_option(Http::asio::socket_base::receive_buffer_size(4096));
        socket_.connect(Http::endpointOf(server.address_));
    }
    void send(const std::string &text) { Http::asio::write(socket_, Http::asio::buffer(text)); }
    void ask(std::size_t bytes, const std::string &fields = "")
    {
        send("GET /" + std::to_string(bytes) + " HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n");
    }
    /// Reads until \a end has arrived.
    std::string readUntil(const std::string &end)
    {
        std::string text;
        Http::asio::read_until(socket_, Http::asio::dynamic_buffer(text), end);
        return text;
    }
    /// Reads until the server closes the connection.
    std::string readAll()
    {
        std::string text;
        Http::ErrorCode error;
        std::vector<char> buffer(65536);
        while (!error) {
            const auto received = socket_.read_some(Http::asio::buffer(buffer), error);
            text.append(buffer.data(), received);
        }
        return text;
    }
    void close() { socket_.close(); }

private:
    Http::asio::io_context context_;
    tcp::socket socket_{context_};
};

inline bool hasCode(const std::string &answer, int code)
{
    return answer.find("Cassiacrank-Code: " + std::to_string(code) + "\r\n") != std::string::npos;
}

} // namespace HttpStandIns
