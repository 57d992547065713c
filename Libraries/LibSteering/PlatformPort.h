#pragma once

#include <LibHttp/LibHttp.h>
#include <LibModel/LibModel.h>
#include <LibPlatform/LibPlatform.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace Steering {

/// The tables of the platform's store that an instance reads.
enum class StoreTable {
    /// What operators wrote: the table and which failure domains to keep free.
    Operators,
    /// What targets say of themselves.
    Targets,
};

/// What operators wrote, as rows of the product's own table.
struct OperatorRows
{
    Model::TableVersion version_;
    /// Rows of services, routes and limits.
    std::vector<Model::Row> rows_;
    /// Failure domains whose targets are to get nothing for now.
    std::set<Model::FailureDomainId> drained_;
};

/// What the platform promises and asks of everyone.
struct PlatformTerms
{
    /// A stopped process is killed after this time.
    Model::Milliseconds stopGrace_{6000};
    /// Callers keep an answer of a look-up no longer than this.
    Model::Milliseconds longestLookupLife_{5000};
    /// All instances together may send this part of a service's requests a second time ...
    double retryShare_ = 0.2;
    /// ... and so many more in a window.
    double retryExtra_ = 64;
    /// Part of a region's traffic that may change the region in which it runs in a second.
    Model::SharePerSecond regionShiftCap_{0.05};
};

/// What a target said of its load in an answer.
struct LoadReport
{
    std::int64_t running_ = 0;
    std::int64_t waiting_ = 0;
};

/// Names of the header fields that callers and targets use.
struct HeaderNames
{
    /// Each attempt of a caller has its own id; the target echoes it.
    std::string_view requestId_;
    /// Milliseconds that the sender will still wait.
    std::string_view timeLeft_;
    /// Requests about one object carry one value.
    std::string_view affinityKey_;
    /// The run of the target that may work on the request; any other one refuses.
    std::string_view expectedTarget_;
    /// In an answer: the target has not worked on the request.
    std::string_view notRun_;
    /// Names the caller, where callers have names.
    std::string_view caller_;
};

/// The platform as the product sees it: calls that only translate. Whoever implements it decides,
/// keeps and repeats nothing.
///
/// Thread safety: every function is called on one thread.
struct PlatformPort
{
    /// Returns all rows of a table as they stood together. Nothing, with the last reason set, if
    /// the store does not serve the call.
    std::function<Http::Task<std::optional<Platform::StoredRows>>(StoreTable)> readAll_;

    /// Waits at most the given time for rows that changed after a revision; none is an answer too.
    /// PlatformHistoryGone as the last reason means that everything has to be read anew. The
    /// control, which outlives the call, may end it.
    std::function<Http::Task<std::optional<Platform::StoredRows>>(
        StoreTable, Platform::Revision, Model::Milliseconds, Http::ExchangeControl &)>
        awaitChanges_;

    /// Writes what an instance says of itself, or removes it; returns whether the store took it.
    std::function<Http::Task<bool>(std::string instance, std::optional<std::string> record)>
        writeInstance_;
    /// Returns what all instances said of themselves.
    std::function<Http::Task<std::optional<std::vector<std::string>>>()> readInstances_;

    /// Writes or removes the record of a request in quarantine; returns whether the store took it.
    std::function<Http::Task<bool>(std::string print, std::optional<std::string> record)>
        writeQuarantine_;
    /// Returns all such records, by print.
    std::function<Http::Task<std::optional<std::map<std::string, std::string>>>()> readQuarantines_;

    /// Reads the operators' rows. Nothing, with the last reason set, if they cannot be understood
    /// or nothing was written yet.
    std::function<std::optional<OperatorRows>(const std::vector<Platform::StoredRow> &)>
        decodeOperators_;
    /// Reads one target's row. Nothing, with the last reason set, if it cannot be understood.
    std::function<std::optional<Model::TargetRecord>(const Platform::StoredRow &)> decodeTarget_;

    /// Reads a caller's question which entries it may use. Nothing, with the last reason set, if it
    /// is no such question.
    std::function<std::optional<Policy::LookupQuery>(const Http::Request &)> readLookup_;
    /// Returns the answer that names \a entries for a time.
    std::function<Http::Response(const std::vector<Model::Instance> &entries,
                                 Model::Milliseconds life)>
        lookupAnswer_;
    /// Tells whether a request asks if callers may be sent here.
    std::function<bool(const Http::Request &)> asksReadiness_;

    /// Reads the load report in a target's answer, if there is one.
    std::function<std::optional<LoadReport>(const Http::Response &)> loadIn_;

    HeaderNames headers_;
    PlatformTerms terms_;
};

} // namespace Steering
