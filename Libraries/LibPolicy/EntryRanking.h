#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Policy {

/// An entry instance and its state as known to a look-up.
struct EntryCandidate
{
    Model::Instance instance_;
    /// It is ready and its last heartbeat is recent.
    bool isAlive_ = false;
};

/// The caller that looks up an entry.
struct LookupQuery
{
    Model::CallerId caller_;
    /// The caller's region.
    Model::RegionId origin_;
    /// The failure domain closest to the caller, if known.
    Model::FailureDomainId nearDomain_;
};

/// Returns the entries that the caller should try, best first, at most \a most.
///
/// Entries of the caller's region come first, those closest to the caller before others, each group
/// in rendezvous order: spread over callers and stable for one caller, so that adding or removing
/// an entry moves only that entry's callers. Failed entries are omitted, and so are leaving ones,
/// which still serve for a while, unless the caller's region has no others. If \a most is more than
/// one, the last place goes to an entry of another region, if there is one.
/// Empty if no entry is alive. Thread safety: any thread.
std::vector<Model::Instance> rankEntries(const LookupQuery &query,
                                         const std::vector<EntryCandidate> &candidates,
                                         std::size_t most);

/// Returns the entries among which a caller may choose freely: those of its region that are alive
/// and not leaving, or those of all other regions if its own has none.
///
/// For callers that draw one of the returned entries at random instead of trying them in order.
/// Thread safety: any thread.
std::vector<Model::Instance> entriesOfRegion(const LookupQuery &query,
                                             const std::vector<EntryCandidate> &candidates);

/// Returns the rendezvous hash of a pair of names, the same on every instance.
///
/// Thread safety: any thread.
std::uint64_t rendezvousScore(const std::string &first, const std::string &second);

} // namespace Policy
