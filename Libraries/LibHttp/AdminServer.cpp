#include "AdminServer.h"

#include "Refusal.h"

namespace Http {

AdminServer::AdminServer(AdminPages pages)
    : pages_(std::move(pages))
    , server_(context_, ServerLimits(), [this](IncomingRequest request) {
        return answer(std::move(request));
    })
{
}

AdminServer::~AdminServer()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

bool AdminServer::start(const Model::Address &address)
{
    if (!server_.listen(address))
        return false;
    thread_ = std::thread([this] {
        context_.run();
    });
    return true;
}

Task<Response> AdminServer::answer(IncomingRequest request)
{
    const std::string path(request.message_.target());
    const unsigned version = request.message_.version();
    if (request.message_.method() == http::verb::delete_) {
        if (pages_.remove_ && pages_.remove_(path))
            co_return textAnswer(http::status::ok, "application/json", "{}\n", version);
        if (pages_.remove_)
            co_return refusal(Model::lastReason(), version);
        co_return refusal({Model::ResultCode::MalformedRequest, ""}, version);
    }
    if (path == "/metrics") {
        co_return textAnswer(http::status::ok, "text/plain; version=0.0.4", pages_.metrics_(),
                             version);
    }
    if (path == "/status")
        co_return textAnswer(http::status::ok, "application/json", pages_.status_(), version);
    if (pages_.fallback_) {
        if (auto body = pages_.fallback_(path))
            co_return textAnswer(http::status::ok, "application/json", std::move(*body), version);
    }
    co_return textAnswer(http::status::not_found, "text/plain", "known here: /metrics /status\n",
                         version);
}

} // namespace Http
