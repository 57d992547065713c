#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <map>
#include <utility>

namespace Steering {

/// The kinds of calls between instances.
enum class PeerCall { Gossip, Announcement, PlatformState, Quota };

/// The smallest scope that contains both ends of a call.
enum class CallScope { Domain, Region, Fleet };

/// Body bytes, in both directions, of the calls that one instance has made. Calls that it has
/// received are counted by their senders, so the fleet's sum includes each byte once.
struct PeerTraffic
{
    std::map<std::pair<PeerCall, CallScope>, std::uint64_t> bytes_;
};

/// Returns the scope of a call from \a own to \a peer. Thread safety: any thread.
CallScope scopeOf(const Model::Instance &own, const Model::Instance &peer);

/// Adds \a bytes. Thread safety: \a traffic belongs to the calling thread.
void countBytes(PeerTraffic &traffic, PeerCall call, CallScope scope, std::size_t bytes);

/// Returns the label value for metrics. Thread safety: any thread.
const char *nameOf(PeerCall call);
const char *nameOf(CallScope scope);

} // namespace Steering
