#pragma once

#include <LibHttp/LibHttp.h>
#include <LibObserve/LibObserve.h>
#include <LibPeers/LibPeers.h>
#include <optional>
#include <string>

namespace Lookupd {

/// The state that a look-up reads; immutable once published.
struct LookupSnapshot
{
    Peers::InstanceView view_;
    std::vector<Policy::EntryCandidate> candidates_;
    Model::RegionId localRegion_;
    std::size_t maxEntries_ = 4;
    Model::Milliseconds timeToLive_{2000};
};

/// Parses the path "/v1/entry?service=...&caller=...&origin=...".
///
/// The caller's origin is the one in the query, else the location of \a remoteHost in the map of
/// client blocks, else the local region. Returns std::nullopt, with BadLookupQuery or
/// UnknownService as the last reason, for an invalid query. Thread safety: any thread.
std::optional<Policy::LookupQuery>
readQuery(const LookupSnapshot &snapshot, const std::string &path, const std::string &remoteHost);

/// Returns the JSON answer: entries in order of preference, time to live, version, reason.
///
/// Returns std::nullopt, with NotReady as the last reason, while no serving entry is known: a
/// caller that accepted an empty list would discard the entries that it knows. Thread safety: any
/// thread.
std::optional<std::string> answerText(const LookupSnapshot &snapshot,
                                      const Policy::LookupQuery &query);

} // namespace Lookupd
