#include "BlockingClient.h"

#include "Exchange.h"

namespace Http {

std::optional<Response> sendAndWait(const SimpleRequest &request)
{
    asio::io_context context;
    ConnectionPool pool(context);
    Request message(request.method_, request.target_, 11);
    message.set(http::field::host, Model::toText(request.address_));
    for (const auto &[name, value] : request.fields_)
        message.set(name, value);
    message.keep_alive(false);
    message.body() = request.body_;
    message.prepare_payload();

    ExchangeOptions options;
    options.address_ = request.address_;
    options.connectTimeout_ = request.timeout_;
    options.deadline_ = std::chrono::steady_clock::now() + request.timeout_;

    ExchangeResult result;
    const auto run = [&]() -> Task<void> {
        result = co_await exchange(pool, options, message, acceptAnyAnswer);
    };
    asio::co_spawn(context, run(), asio::detached);
    context.run();

    if (result.answer_)
        return std::move(result.answer_);
    const bool isUnsent = result.stage_ == ExchangeStage::NotConnected;
    return Model::fail(isUnsent ? Model::ResultCode::PlatformUnreachable
                                : Model::ResultCode::CommitOutcomeUnknown,
                       Model::toText(request.address_));
}

} // namespace Http
