#include "StoreCall.h"

namespace Platform {

using Http::Task;

namespace {

constexpr std::size_t storeConnectionLimit = 4;
constexpr const char *hexDigits = "0123456789ABCDEF";
/// Intermediaries may have dropped a connection that was idle for longer.
constexpr Model::Milliseconds maxIdleTime{2000};

} // namespace

Task<Http::ExchangeResult> call(Store &store, Http::http::verb method, std::string target,
                                std::string body, Model::Milliseconds timeout,
                                Http::ExchangeControl *control)
{
    Http::Request request(method, target, 11);
    request.set(Http::http::field::host, Model::toText(store.address_));
    request.body() = std::move(body);
    request.prepare_payload();

    const auto limit = timeout.count() > 0 ? timeout : store.timeout_;
    Http::ExchangeOptions options;
    options.address_ = store.address_;
    options.connectTimeout_ = store.timeout_;
    options.deadline_ = std::chrono::steady_clock::now() + limit;
    options.maxSilence_ = store.timeout_;
    options.maxIdle_ = maxIdleTime;
    options.connectionLimit_ = storeConnectionLimit;
    options.control_ = control;
    co_return co_await Http::exchange(*store.pool_, options, request, Http::acceptAnyAnswer);
}

std::string escaped(const std::string &text)
{
    std::string result;
    for (unsigned char character : text) {
        if (std::isalnum(character) || character == '-' || character == '_' || character == '.'
            || character == '/') {
            result += static_cast<char>(character);
            continue;
        }
        result += '%';
        result += hexDigits[character >> 4];
        result += hexDigits[character & 15];
    }
    return result;
}

} // namespace Platform
