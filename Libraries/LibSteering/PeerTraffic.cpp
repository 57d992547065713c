#include "PeerTraffic.h"

namespace Steering {

Reach reachOf(const Model::Instance &own, const Model::Instance &peer)
{
    if (own.region_ != peer.region_)
        return Reach::Fleet;
    return own.domain_ == peer.domain_ ? Reach::Domain : Reach::Region;
}

void countBytes(PeerTraffic &traffic, PeerCall call, Reach reach, std::size_t bytes)
{
    traffic.bytes_[{call, reach}] += bytes;
}

const char *nameOf(PeerCall call)
{
    switch (call) {
    case PeerCall::Gossip:
        return "gossip";
    case PeerCall::Announcement:
        return "announcement";
    case PeerCall::Knowledge:
        break;
    }
    return "knowledge";
}

const char *nameOf(Reach reach)
{
    switch (reach) {
    case Reach::Domain:
        return "domain";
    case Reach::Region:
        return "region";
    case Reach::Fleet:
        break;
    }
    return "fleet";
}

} // namespace Steering
