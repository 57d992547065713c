#include "RequestContext.h"

namespace Steering {

namespace {

std::string_view textOf(Http::beast::string_view text)
{
    return {text.data(), text.size()};
}

Policy::RequestText textOf(const RequestContext &request, const HeaderNames &names)
{
    const Http::Request &message = request.incoming_->message_;
    const auto caller = textOf(
        message[Http::beast::string_view(names.callerKey_.data(), names.callerKey_.size())]);
    Policy::RequestText text;
    text.method_ = textOf(message.method_string());
    text.host_ = textOf(message[Http::http::field::host]);
    text.target_ = textOf(message.target());
    text.body_ = message.body();
    text.caller_ = caller.empty() ? std::string_view(request.incoming_->remoteHost_) : caller;
    return text;
}

} // namespace

std::uint32_t fingerprintPrefixFor(RequestContext &request, const HeaderNames &names)
{
    if (!request.cachedPrefix_)
        request.cachedPrefix_ = Policy::fingerprintPrefixOf(textOf(request, names));
    return *request.cachedPrefix_;
}

const Policy::RequestFingerprint &fingerprintFor(RequestContext &request, const HeaderNames &names)
{
    if (!request.cachedFingerprint_) {
        request.cachedFingerprint_
            = Policy::fingerprintOf(textOf(request, names), fingerprintPrefixFor(request, names));
    }
    return *request.cachedFingerprint_;
}

} // namespace Steering
