#pragma once

#include <LibHttp/LibHttp.h>
#include <LibObserve/LibObserve.h>
#include <LibPeers/LibPeers.h>
#include <optional>
#include <string>

namespace Lookupd {

/// Everything that a look-up reads; immutable once published.
struct LookupSnapshot
{
    Peers::InstanceView view_;
    std::vector<Policy::EntryCandidate> candidates_;
    Model::RegionId ownRegion_;
    std::size_t mostEntries_ = 4;
    Model::Milliseconds timeToLive_{2000};
};

/// Reads the path "/v1/entry?service=...&caller=...&origin=...".
///
/// The caller's place is the origin that it names, else where \a remoteHost lies by the map of
/// client blocks, else the own region. Returns nothing, with BadLookupQuery or UnknownService as
/// the last reason, for a query that cannot be answered. Thread safety: any thread.
std::optional<Policy::LookupQuery>
readQuery(const LookupSnapshot &snapshot, const std::string &path, const std::string &remoteHost);

/// Returns the JSON answer: entries in the order to try them, time to live, version, reason.
///
/// Returns nothing, with NotReady as the last reason, while no entry is known that serves: a caller
/// that took an empty list for an answer would forget the entries that it knows.
/// Thread safety: any thread.
std::optional<std::string> answerText(const LookupSnapshot &snapshot,
                                      const Policy::LookupQuery &query);

} // namespace Lookupd
