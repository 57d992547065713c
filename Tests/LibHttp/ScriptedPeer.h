#pragma once

#include <LibHttp/LibHttp.h>

#include <thread>

namespace HttpStandIns {

using Http::tcp;
using Model::Milliseconds;

/// A peer that accepts one connection after another and sends a fixed text on each.
class ScriptedPeer
{
public:
    explicit ScriptedPeer(std::vector<std::string> answers)
        : answers_(std::move(answers))
        , acceptor_(context_, {Http::asio::ip::make_address("127.0.0.1"), 0})
    {
        thread_ = std::thread([this] {
            run();
        });
    }

    ~ScriptedPeer() { thread_.join(); }

    Model::Address address() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

private:
    void run()
    {
        for (const auto &answer : answers_) {
            tcp::socket socket(context_);
            acceptor_.accept(socket);
            char buffer[4096];
            Http::ErrorCode error;
            socket.read_some(Http::asio::buffer(buffer), error);
            if (answer.empty()) {
                // Stays silent until the other end closes the connection.
                socket.read_some(Http::asio::buffer(buffer), error);
                continue;
            }
            Http::asio::write(socket, Http::asio::buffer(answer), error);
        }
    }

    std::vector<std::string> answers_;
    Http::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::thread thread_;
};

/// Sends a request with the id "mine" and returns what became of it.
inline Http::ExchangeResult exchangeWith(const Model::Address &address,
                                         Http::ExchangeOptions options = {})
{
    Http::asio::io_context context;
    Http::ConnectionPool pool(context);
    Http::Request request(Http::http::verb::get, "/", 11);
    request.set(Http::http::field::host, "h");
    request.set("Cassiacrank-Request-Id", "mine");
    options.address_ = address;
    options.deadline_ = std::chrono::steady_clock::now() + Milliseconds(300);
    Http::ExchangeResult result;
    const auto isOwn = [](const Http::RequestHead &sent, const Http::Response &answer) {
        return sent["Cassiacrank-Request-Id"] == answer["Cassiacrank-Request-Id"];
    };
    const auto run = [&]() -> Http::Task<void> {
        result = co_await Http::exchange(pool, options, request, isOwn);
    };
    Http::asio::co_spawn(context, run(), Http::asio::detached);
    context.run();
    return result;
}

} // namespace HttpStandIns
