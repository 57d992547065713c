#include "Refusal.h"

#include "HeaderNames.h"

namespace Http {

using Model::ResultCode;

http::status statusOf(ResultCode code)
{
    switch (code) {
    case ResultCode::HeadTooLarge:
        return http::status::request_header_fields_too_large;
    case ResultCode::BodyTooLarge:
        return http::status::payload_too_large;
    case ResultCode::RequestTooSlow:
        return http::status::request_timeout;
    case ResultCode::UnknownService:
    case ResultCode::UnknownRoute:
        return http::status::not_found;
    case ResultCode::KeyReusedWithOtherBody:
        return http::status::unprocessable_entity;
    case ResultCode::KeyOutcomeUnknown:
        return http::status::conflict;
    case ResultCode::UnsupportedExpectation:
        return http::status::expectation_failed;
    case ResultCode::UnknownCallerKey:
        return http::status::unauthorized;
    case ResultCode::QuotaExceeded:
    case ResultCode::ClassLimited:
    case ResultCode::DisplacedByFairShare:
        return http::status::too_many_requests;
    case ResultCode::TargetTimeout:
        return http::status::gateway_timeout;
    default:
        break;
    }
    const int value = Model::number(code);
    if (value >= 200 && value < 300)
        return http::status::service_unavailable;
    if (value >= 300 && value < 400)
        return http::status::bad_gateway;
    return http::status::bad_request;
}

Response textAnswer(http::status status, std::string type, std::string body, unsigned httpVersion)
{
    Response answer(status, httpVersion);
    answer.set(http::field::content_type, type);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

Response refusal(const Model::Reason &reason, unsigned httpVersion)
{
    const std::string code = std::to_string(Model::number(reason.code_));
    std::string body = "{\"code\":" + code + ",\"meaning\":\""
                       + std::string(Model::describe(reason.code_)) + "\"}\n";
    Response answer
        = textAnswer(statusOf(reason.code_), "application/json", std::move(body), httpVersion);
    answer.set(beast::string_view(codeHeader.data(), codeHeader.size()), code);
    return answer;
}

} // namespace Http
