#include "ConnectionFields.h"

#include <string>
#include <vector>

namespace Http {

namespace {

bool isHopByHop(http::field field)
{
    switch (field) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::expect:
        return true;
    default:
        return false;
    }
}

} // namespace

void stripConnectionFields(http::fields &message)
{
    std::vector<std::string> names;
    for (const auto token : http::token_list(message[http::field::connection]))
        names.emplace_back(token.data(), token.size());
    for (const auto &field : message) {
        if (isHopByHop(field.name()))
            names.emplace_back(field.name_string().data(), field.name_string().size());
    }
    for (const auto &name : names)
        message.erase(name);
}

} // namespace Http
