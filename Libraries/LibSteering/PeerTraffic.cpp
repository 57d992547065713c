#include "PeerTraffic.h"

namespace Steering {

CallScope scopeOf(const Model::Instance &own, const Model::Instance &peer)
{
    if (own.region_ != peer.region_)
        return CallScope::Fleet;
    return own.domain_ == peer.domain_ ? CallScope::Domain : CallScope::Region;
}

void countBytes(PeerTraffic &traffic, PeerCall call, CallScope scope, std::size_t bytes)
{
    traffic.bytes_[{call, scope}] += bytes;
}

const char *nameOf(PeerCall call)
{
    switch (call) {
    case PeerCall::Gossip:
        return "gossip";
    case PeerCall::Announcement:
        return "announcement";
    case PeerCall::Quota:
        return "quota";
    case PeerCall::PlatformState:
        break;
    }
    return "knowledge";
}

const char *nameOf(CallScope scope)
{
    switch (scope) {
    case CallScope::Domain:
        return "domain";
    case CallScope::Region:
        return "region";
    case CallScope::Fleet:
        break;
    }
    return "fleet";
}

} // namespace Steering
