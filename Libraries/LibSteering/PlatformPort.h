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
    /// The operators' configuration: the table and the drained failure domains.
    Operators,
    /// The targets' registrations.
    Targets,
};

/// The operators' configuration, translated into rows of the internal table.
struct OperatorRows
{
    Model::TableVersion version_;
    /// Rows of services, routes and limits.
    std::vector<Model::Row> rows_;
};

/// Limits that the platform guarantees or requires.
struct PlatformTerms
{
    /// Time from the stop signal until the platform kills the process.
    Model::Milliseconds stopGrace_{6000};
    /// Callers cache a look-up's answer for at most this long.
    Model::Milliseconds maxLookupTtl_{5000};
    /// All instances together may retry this fraction of a service's requests ...
    double retryShare_ = 0.2;
    /// ... plus this many requests in a window.
    double retryExtra_ = 64;
    /// Fraction of a region's traffic that may move to another region per second.
    Model::SharePerSecond regionShiftCap_{0.05};
    /// The platform's names of the terms that it states in no usable form; they have their default.
    std::vector<std::string> defaulted_;
};

/// The load that a target has reported in an answer.
struct LoadReport
{
    std::int64_t running_ = 0;
    std::int64_t waiting_ = 0;
    /// std::nullopt if the target does not report it.
    std::optional<Model::Pace> pace_;
};

/// Names of the header fields in the exchanges with callers and targets.
struct HeaderNames
{
    /// The id of one attempt of a caller; the target echoes it.
    std::string_view requestId_;
    /// Milliseconds that the sender will continue to wait.
    std::string_view timeLeft_;
    /// Identifies the object; the same in all requests about it.
    std::string_view affinityKey_;
    /// The target incarnation that may process the request; any other one refuses it.
    std::string_view expectedTarget_;
    /// In an answer: the target has not executed the request.
    std::string_view notRun_;
    /// The key that the caller presents; it is not passed on.
    std::string_view callerKey_;
    /// To the target: the workspace of the caller.
    std::string_view workspace_;
};

/// The adapter to a platform: functions that only translate. An implementation makes no decisions,
/// keeps no state and retries nothing.
///
/// Thread safety: every function is called on one thread.
struct PlatformPort
{
    /// Returns a consistent snapshot of all rows of a table; std::nullopt, with the last reason
    /// set, if the store does not serve the call.
    std::function<Http::Task<std::optional<Platform::StoredRows>>(StoreTable)> readAll_;

    /// Waits at most the given time for rows that changed after a revision; an empty list is a
    /// valid answer. PlatformHistoryGone as the last reason means that all rows have to be read
    /// again. The control, which outlives the call, may cancel it.
    std::function<Http::Task<std::optional<Platform::StoredRows>>(
        StoreTable, Platform::Revision, Model::Milliseconds, Http::ExchangeControl &)>
        awaitChanges_;

    /// Writes or removes an instance's record; returns whether the store accepted the change.
    std::function<Http::Task<bool>(std::string instance, std::optional<std::string> record)>
        writeInstance_;
    /// Returns the records of all instances.
    std::function<Http::Task<std::optional<std::vector<std::string>>>()> readInstances_;

    /// Writes or removes the record of a quarantined request; returns whether the store accepted
    /// the change.
    std::function<Http::Task<bool>(std::string fingerprint, std::optional<std::string> record)>
        writeQuarantine_;
    /// Returns the records of all quarantined requests, by fingerprint.
    std::function<Http::Task<std::optional<std::map<std::string, std::string>>>()> readQuarantines_;

    /// Parses the operators' rows. Returns std::nullopt, with the last reason set, if they are
    /// invalid or there are none yet.
    std::function<std::optional<OperatorRows>(const std::vector<Platform::StoredRow> &)>
        decodeOperators_;
    /// Parses the drained failure domains, whose targets receive no requests. They hold also if the
    /// other rows are invalid.
    std::function<std::set<Model::FailureDomainId>(const std::vector<Platform::StoredRow> &)>
        decodeDrains_;
    /// Parses one target's row. Returns std::nullopt, with the last reason set, if it is invalid.
    std::function<std::optional<Model::TargetRecord>(const Platform::StoredRow &)> decodeTarget_;

    /// Parses a caller's look-up of entries. Returns std::nullopt, with the last reason set, if the
    /// request is not a valid look-up.
    std::function<std::optional<Policy::LookupQuery>(const Http::Request &)> parseLookup_;
    /// Returns the answer that lists \a entries, which callers may cache for \a life.
    std::function<Http::Response(const std::vector<Model::Instance> &entries,
                                 Model::Milliseconds ttl)>
        lookupAnswer_;
    /// Tells whether a request is a readiness probe.
    std::function<bool(const Http::Request &)> isReadinessProbe_;

    /// Parses the load report in a target's answer, if there is one.
    std::function<std::optional<LoadReport>(const Http::Response &)> parseLoad_;
    /// Parses the rate limit in a target's answer, for all instances together, if there is one.
    std::function<std::optional<Model::RequestsPerSecond>(const Http::Response &)> parseLimit_
        = [](const Http::Response &) {
              return std::nullopt;
          };
    /// Parses the pause that a target's answer asks for; zero if it asks for none. Returns
    /// std::nullopt, with the last reason set, if it is invalid.
    std::function<std::optional<Model::Microseconds>(const Http::Response &)> parsePause_
        = [](const Http::Response &) {
              return Model::Microseconds(0);
          };

    /// Removes the announcement in a target's answer that it leaves, which does not concern the
    /// caller. Returns whether there was one.
    std::function<bool(Http::Response &)> takeLeave_ = [](Http::Response &) {
        return false;
    };

    HeaderNames headers_;
    /// Parses the setting that states the platform's terms.
    std::function<PlatformTerms(const std::string &)> parseTerms_;
    PlatformTerms terms_;
};

} // namespace Steering
