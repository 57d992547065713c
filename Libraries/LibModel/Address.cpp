#include "Address.h"

#include "ResultCode.h"

#include <arpa/inet.h>
#include <charconv>

namespace Model {

namespace {

bool isIpAddress(const std::string &host)
{
    in6_addr buffer;
    return inet_pton(AF_INET, host.c_str(), &buffer) == 1
           || inet_pton(AF_INET6, host.c_str(), &buffer) == 1;
}

} // namespace

std::optional<Address> addressFromText(const std::string &text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string::npos)
        return fail(ResultCode::BadValue, "'" + text + "' is not IP:port");

    Address address;
    address.host_ = text.substr(0, colon);
    if (address.host_.size() > 2 && address.host_.front() == '[' && address.host_.back() == ']')
        address.host_ = address.host_.substr(1, address.host_.size() - 2);

    const char *first = text.data() + colon + 1;
    const char *last = text.data() + text.size();
    const auto [end, error] = std::from_chars(first, last, address.port_);
    if (error != std::errc() || end != last || address.port_ == 0 || !isIpAddress(address.host_))
        return fail(ResultCode::BadValue, "'" + text + "' is not IP:port");
    return address;
}

std::string toText(const Address &address)
{
    const bool isIpv6 = address.host_.find(':') != std::string::npos;
    const std::string host = isIpv6 ? "[" + address.host_ + "]" : address.host_;
    return host + ":" + std::to_string(address.port_);
}

} // namespace Model
