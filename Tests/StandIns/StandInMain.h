#pragma once

#include <LibHttp/LibHttp.h>
#include <LibObserve/LibObserve.h>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

namespace StandIns {

/// Serves \a handler on \a address until SIGTERM. Returns the exit code of the process.
inline int serveUntilStopped(Http::asio::io_context &context, const std::string &address,
                             Http::Handler handler)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto listen = Model::addressFromText(address);
    if (!listen) {
        std::cerr << toText(Model::lastReason()) << "\n";
        return 3;
    }
    Http::ServerLimits limits;
    limits.bodyBytes_ = 64 * 1024 * 1024;
    limits.idle_ = Model::Milliseconds(600000);
    Http::Server server(context, limits, std::move(handler));
    if (!server.listen(*listen)) {
        std::cerr << toText(Model::lastReason()) << "\n";
        return 4;
    }
    Http::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const Http::ErrorCode &, int) {
        context.stop();
    });
    context.run();
    return 0;
}

inline Http::Response jsonAnswer(const nlohmann::json &body,
                                 Http::http::status status = Http::http::status::ok)
{
    return Http::textAnswer(status, "application/json", body.dump(), 11);
}

/// Returns the value of \a name in the query of \a target, or std::nullopt.
inline std::optional<std::string> queryValue(const std::string &target, const std::string &name)
{
    const auto question = target.find('?');
    if (question == std::string::npos)
        return std::nullopt;
    std::size_t start = question + 1;
    while (start < target.size()) {
        const auto end = std::min(target.find('&', start), target.size());
        const std::string item = target.substr(start, end - start);
        if (item.starts_with(name + "="))
            return item.substr(name.size() + 1);
        start = end + 1;
    }
    return std::nullopt;
}

inline std::string unescaped(const std::string &text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

} // namespace StandIns
