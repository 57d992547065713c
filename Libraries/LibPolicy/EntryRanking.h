#pragma once

#include <LibModel/LibModel.h>

#include <cstdint>
#include <string>
#include <vector>

namespace Policy {

/// An entry instance as a look-up sees it.
struct EntryCandidate
{
    Model::Instance instance_;
    /// It is ready and was heard of lately.
    bool isAlive_ = false;
};

/// Who asks for an entry.
struct LookupQuery
{
    Model::CallerId caller_;
    /// Where the caller is.
    Model::RegionId origin_;
    /// The failure domain near the caller, if known.
    Model::FailureDomainId nearDomain_;
};

/// Returns the entries that the caller should try, best first, at most \a most.
///
/// Entries of the caller's own region come first, near ones before others, each group in an order
/// that is spread over callers and stays the same for one caller (weighted rendezvous), so that an
/// entry that comes or goes moves only its own callers. Dead entries are left out, and leaving ones
/// too, unless the caller's own region has no others: they still serve for a while. The last of
/// more than one place goes to an entry of another region, if there is one.
/// Empty if no entry is alive. Thread safety: any thread.
std::vector<Model::Instance> rankEntries(const LookupQuery &query,
                                         const std::vector<EntryCandidate> &candidates,
                                         std::size_t most);

/// Returns the entries among which a caller may choose freely: the living ones of its own region
/// that stay, or of all other regions where its own has none.
///
/// For callers that draw one of the entries named by chance instead of trying them in order.
/// Thread safety: any thread.
std::vector<Model::Instance> entriesOfRegion(const LookupQuery &query,
                                             const std::vector<EntryCandidate> &candidates);

/// Returns a well-mixed number for a pair of names, the same on every instance.
///
/// Thread safety: any thread.
std::uint64_t rendezvousScore(const std::string &first, const std::string &second);

} // namespace Policy
