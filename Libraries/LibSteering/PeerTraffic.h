#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <utility>

namespace Steering {

/// What instances call each other for.
enum class PeerCall { Gossip, Announcement, Knowledge };

/// The smallest place that holds both ends of a call.
enum class Reach { Domain, Region, Fleet };

/// Bytes of bodies, both ways, of the calls that one instance made. Those that it took are counted
/// by the others, so the fleet's sum has each byte once.
struct PeerTraffic
{
    std::map<std::pair<PeerCall, Reach>, std::uint64_t> bytes_;
};

/// Returns how far a call from \a own to \a peer goes. Thread safety: any thread.
Reach reachOf(const Model::Instance &own, const Model::Instance &peer);

/// Adds \a bytes. Thread safety: \a traffic belongs to the calling thread.
void countBytes(PeerTraffic &traffic, PeerCall call, Reach reach, std::size_t bytes);

/// Names for metrics. Thread safety: any thread.
const char *nameOf(PeerCall call);
const char *nameOf(Reach reach);

} // namespace Steering
