#include "Job.h"

namespace Steering {

namespace {

std::string_view textOf(Http::beast::string_view text)
{
    return {text.data(), text.size()};
}

Policy::RequestText textOf(const Job &job, const HeaderNames &names)
{
    const Http::Request &message = job.incoming_.message_;
    const auto caller
        = textOf(message[Http::beast::string_view(names.caller_.data(), names.caller_.size())]);
    Policy::RequestText text;
    text.method_ = textOf(message.method_string());
    text.host_ = textOf(message[Http::http::field::host]);
    text.target_ = textOf(message.target());
    text.body_ = message.body();
    text.caller_ = caller.empty() ? std::string_view(job.incoming_.remoteHost_) : caller;
    return text;
}

} // namespace

std::uint32_t headOf(Job &job, const HeaderNames &names)
{
    if (!job.head_)
        job.head_ = Policy::headOf(textOf(job, names));
    return *job.head_;
}

const Policy::RequestPrint &printOf(Job &job, const HeaderNames &names)
{
    if (!job.print_)
        job.print_ = Policy::printOf(textOf(job, names), headOf(job, names));
    return *job.print_;
}

} // namespace Steering
